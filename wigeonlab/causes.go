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

// causesCommand prints, from reports of the platform's benchmark, when requests were lost, which
// events occurred at the time, and the highest prices.
type causesCommand struct {
	maxRows int
}

func (*causesCommand) Name() string { return "causes" }
func (*causesCommand) Synopsis() string {
	return "show from benchmark reports when callers lost requests, and the events at the time"
}
func (*causesCommand) Usage() string { return "causes [flags] REPORT...\n" }
func (c *causesCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.maxRows, "most", 6, "maximum number of windows of lost requests and of prices to show per report")
}

func (c *causesCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "causes: at least one report must be given")
		return subcommands.ExitUsageError
	}
	for _, path := range flags.Args() {
		if err := c.printReport(path); err != nil {
			fmt.Fprintf(os.Stderr, "causes: %s: %v\n", path, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *causesCommand) printReport(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	day, err := report.Read(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	fmt.Printf("%s: ", path)
	return day.Write(os.Stdout, max(c.maxRows, 0))
}
