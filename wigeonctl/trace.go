package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"wigeonmoor.example/wigeonctl/internal/trace"
)

// logCommands returns the commands that read logs.
func logCommands() []subcommands.Command {
	return []subcommands.Command{
		&command{name: "trace", usage: "FLOW LOG...", synopsis: "show the history of a flow from the logs of balancers; FLOW is the address and port of the caller, LOG a file or - for standard input", run: traceFlow},
	}
}

func traceFlow(_ context.Context, arguments []string) error {
	if len(arguments) < 2 {
		return usageError("trace: expected a flow such as 100.64.0.38:1034 and at least one log")
	}
	var log trace.Log
	for _, path := range arguments[1:] {
		if err := readLog(&log, path); err != nil {
			return err
		}
	}
	if log.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "trace: skipped %d lines that are not log lines of a balancer\n", log.Skipped)
	}
	history := log.FlowHistory(arguments[0])
	if len(history) == 0 {
		return fmt.Errorf("trace: no line of flow %s in %d logs: it was placed by a balancer whose log is missing, or its first packets were dropped, which is only counted (wigeond_decisions_total)", arguments[0], len(arguments)-1)
	}
	for index := range history {
		fmt.Println(history[index].String())
	}
	fmt.Println("outcome:", trace.Outcome(history))
	return nil
}

func readLog(log *trace.Log, path string) error {
	if path == "-" {
		return log.Read("-", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	// The file is only read, so an error of Close has no effect.
	defer func() { _ = file.Close() }()
	return log.Read(filepath.Base(path), file)
}
