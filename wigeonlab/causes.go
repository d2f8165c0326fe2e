package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"wigeonmoor.example/platform/report"
)

// causesCommand says where the callers of a day lost.
type causesCommand struct {
	most int
}

func (*causesCommand) Name() string { return "causes" }
func (*causesCommand) Synopsis() string {
	return "say from reports of the users' bench when callers lost, and what went on meanwhile"
}
func (*causesCommand) Usage() string { return "causes [flags] REPORT...\n" }
func (c *causesCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.most, "most", 6, "number of windows and of prices to show")
}

func (c *causesCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "causes: name at least one report")
		return subcommands.ExitUsageError
	}
	for _, path := range flags.Args() {
		if err := c.show(path); err != nil {
			fmt.Fprintf(os.Stderr, "causes: %s: %v\n", path, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *causesCommand) show(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	day, err := report.Read(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	fmt.Printf("%s: ", path)
	return day.Write(os.Stdout, max(c.most, 0))
}
