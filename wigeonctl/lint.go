package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform/lint"
	"wigeonmoor.example/wigeonctl/internal/fleet"
)

// lintFlags holds the flags of check-configuration.
type lintFlags struct {
	balancer string
	inForce  string
	json     bool
}

// lintCommands returns the commands that check configurations of the platform.
func lintCommands() []subcommands.Command {
	f := &lintFlags{}
	return []subcommands.Command{&command{
		name:     "check-configuration",
		usage:    "[flags] FILE",
		synopsis: "check a configuration of the platform before it is published, with Tagged only; exit status 1 if there are errors",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&f.balancer, "balancer", "", "address of the admin interface of a balancer that has the configuration in force")
			flags.StringVar(&f.inForce, "in-force", "", "file with the configuration in force, used without -balancer")
			flags.BoolVar(&f.json, "json", false, "print JSON")
		},
		run: f.run,
	}}
}

func (f *lintFlags) run(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return usageError("check-configuration: expected a file")
	}
	document, err := os.ReadFile(arguments[0])
	if err != nil {
		return fmt.Errorf("check-configuration: %w", err)
	}
	next, findings := lint.Check(document)
	if next != nil {
		inForce, err := f.readInForce(ctx)
		if err != nil {
			return fmt.Errorf("check-configuration: read the configuration in force: %w", err)
		}
		if inForce != nil {
			findings = append(findings, lint.Compare(inForce, next)...)
		}
	}
	if err := f.print(findings); err != nil {
		return err
	}
	for _, finding := range findings {
		if finding.Severity == lint.Error {
			return errors.New("check-configuration: there are errors")
		}
	}
	return nil
}

// readInForce returns the configuration in force, or nil if the flags do not name one.
func (f *lintFlags) readInForce(ctx context.Context) (*state.Configuration, error) {
	if f.balancer != "" {
		configuration := &state.Configuration{}
		return configuration, fleet.Get(ctx, f.balancer, "/configuration", nil, configuration)
	}
	if f.inForce == "" {
		return nil, nil
	}
	document, err := os.ReadFile(f.inForce)
	if err != nil {
		return nil, err
	}
	configuration, findings := lint.Check(document)
	if configuration == nil {
		return nil, errors.New(findings[0].Text)
	}
	return configuration, nil
}

func (f *lintFlags) print(findings []lint.Finding) error {
	if f.json {
		if findings == nil {
			findings = []lint.Finding{}
		}
		return printJSON(findings)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) == 0 {
		fmt.Println("no findings")
	}
	return nil
}
