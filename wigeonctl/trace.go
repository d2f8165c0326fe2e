package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"wigeonmoor.example/wigeonctl/internal/trace"
)

// logCommands read logs.
func logCommands() []subcommands.Command {
	return []subcommands.Command{
		&command{name: "trace", usage: "FLOW LOG...", synopsis: "tell a flow's story from balancers' logs; FLOW is a caller's address and port, LOG a file or - for standard input", run: traceFlow},
	}
}

func traceFlow(_ context.Context, arguments []string) error {
	if len(arguments) < 2 {
		return usageError("trace: name a flow such as 100.64.0.38:1034, and at least one log")
	}
	var log trace.Log
	for _, path := range arguments[1:] {
		if err := readLog(&log, path); err != nil {
			return err
		}
	}
	if log.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "trace: %d lines are no log lines of a balancer and were skipped\n", log.Skipped)
	}
	story := log.Story(arguments[0])
	if len(story) == 0 {
		return fmt.Errorf("trace: no line of flow %s in %d logs: it was placed by a balancer whose log is missing, or its first packets were dropped, which is counted and not logged (wigeond_decisions_total)", arguments[0], len(arguments)-1)
	}
	for index := range story {
		fmt.Println(story[index].String())
	}
	fmt.Println("outcome:", trace.Outcome(story))
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
	// Nothing is written to it.
	defer func() { _ = file.Close() }()
	return log.Read(filepath.Base(path), file)
}
