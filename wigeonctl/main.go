// Command wigeonctl is the operator's command line. It checks and plans what is to
// be published and asks balancers what they see; it changes nothing but files
// that it is given.
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
	for _, command := range slices.Concat(fileCommands(), fleetCommands(), logCommands()) {
		subcommands.Register(command, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// command is a subcommand with its own flags and arguments.
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

// usageError is returned for wrong arguments.
type usageError string

func (u usageError) Error() string { return string(u) }

func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, flags.Args())
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	if _, wrong := err.(usageError); wrong {
		fmt.Fprint(os.Stderr, "usage: wigeonctl ", c.Usage())
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}
