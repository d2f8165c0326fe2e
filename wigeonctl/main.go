// Command wigeonctl is the operator's command-line tool. It checks configurations and
// their effects before they are published, queries the status of balancers, and reads
// their logs. It changes nothing but files in directories given as arguments.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, command := range slices.Concat(fileCommands(), lintCommands(), fleetCommands(), logCommands()) {
		subcommands.Register(command, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// command is a subcommand. It implements subcommands.Command. The function flags may be nil.
type command struct {
	name     string
	usage    string
	synopsis string
	flags    func(flags *flag.FlagSet)
	run      func(ctx context.Context, arguments []string) error
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return c.name + " " + c.usage + ": " + c.synopsis + "\n" }
func (c *command) SetFlags(flags *flag.FlagSet) {
	if c.flags != nil {
		c.flags(flags)
	}
}

// usageError is an error in the arguments. The command prints its usage and exits with
// status 2.
type usageError string

func (u usageError) Error() string { return string(u) }

func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, flags.Args())
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	if _, isUsage := err.(usageError); isUsage {
		fmt.Fprint(os.Stderr, "usage: wigeonctl ", c.Usage())
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}
