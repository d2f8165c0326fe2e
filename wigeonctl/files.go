package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/wigeonctl/internal/plans"
)

const (
	defaultOpenFlows    = 30000
	defaultNewPerSecond = 3000
	fileMode            = 0o644
)

// fileCommands returns the commands that work on directories of values to publish.
func fileCommands() []subcommands.Command {
	var assumptions plans.Assumptions
	force := false
	return []subcommands.Command{
		&command{
			name:     "check",
			usage:    "DIRECTORY...",
			synopsis: "validate directories of values to publish",
			run:      check,
		},
		&command{
			name:     "plan",
			usage:    "[flags] OLD-DIRECTORY NEW-DIRECTORY",
			synopsis: "show the effects of publishing NEW-DIRECTORY on open flows",
			flags: func(flags *flag.FlagSet) {
				flags.IntVar(&assumptions.OpenFlows, "open-flows", defaultOpenFlows, "expected open flows of each service")
				flags.IntVar(&assumptions.NewPerSecond, "new-per-second", defaultNewPerSecond, "expected new flows per second of each service")
				flags.BoolVar(&force, "force", false, "accept that no backend server of a service takes new flows")
			},
			run: func(_ context.Context, arguments []string) error { return plan(arguments, assumptions, force) },
		},
		&command{
			name:     "mark",
			usage:    "DIRECTORY BACKEND-SERVER Active|Leaving",
			synopsis: "set the state of a backend server in the file of its service",
			run:      mark,
		},
		&command{
			name:     "import",
			usage:    "DIRECTORY FILE.csv",
			synopsis: "update backend servers from a CSV export of an asset register",
			run:      importCSV,
		},
	}
}

func check(_ context.Context, arguments []string) error {
	if len(arguments) == 0 {
		return usageError("check: expected at least one directory")
	}
	var problems []error
	for _, directory := range arguments {
		if _, err := readDocuments(directory); err != nil {
			problems = append(problems, fmt.Errorf("%s: refused\n%w", directory, err))
			continue
		}
		fmt.Printf("%s: accepted\n", directory)
	}
	return errors.Join(problems...)
}

func readDocuments(directory string) (*config.Documents, error) {
	bundle, err := config.ReadDirectory(directory)
	if err != nil {
		return nil, err
	}
	return bundle.Decode()
}

func plan(arguments []string, assumptions plans.Assumptions, force bool) error {
	if len(arguments) != 2 {
		return usageError("plan: expected the old and the new directory")
	}
	before, err := config.ReadDirectory(arguments[0])
	if err != nil {
		return err
	}
	after, err := config.ReadDirectory(arguments[1])
	if err != nil {
		return err
	}
	effects, err := plans.Compute(before, after, assumptions)
	if err != nil {
		return err
	}
	if err := plans.Write(os.Stdout, effects); err != nil {
		return err
	}
	for _, effect := range effects {
		if effect.NoCapacity && !force {
			return fmt.Errorf("plan: service %s would have no backend server for new flows; use -force if this is intended", effect.Service)
		}
	}
	return nil
}

func mark(_ context.Context, arguments []string) error {
	if len(arguments) != 3 {
		return usageError("mark: expected a directory, a backend server and its new state")
	}
	documents, err := readDocuments(arguments[0])
	if err != nil {
		return err
	}
	for serviceIndex := range documents.Services {
		service := &documents.Services[serviceIndex]
		for backendIndex := range service.Backends {
			if service.Backends[backendIndex].Name == arguments[1] {
				service.Backends[backendIndex].State = config.State(arguments[2])
				return writeDocuments(arguments[0], *documents)
			}
		}
	}
	return fmt.Errorf("mark: no service in %s has a backend server %q", arguments[0], arguments[1])
}

func importCSV(_ context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return usageError("import: expected a directory and a CSV file")
	}
	documents, err := readDocuments(arguments[0])
	if err != nil {
		return err
	}
	file, err := os.Open(arguments[1])
	if err != nil {
		return fmt.Errorf("import: %w", err)
	}
	err = plans.Import(arguments[1], file, documents)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return writeDocuments(arguments[0], *documents)
}

// writeDocuments validates documents and writes them to their files in a directory. Nothing
// is written if they are invalid.
func writeDocuments(directory string, documents config.Documents) error {
	bundle, err := config.Render(documents, config.Bundle{}, max(documents.Index.Version, 1))
	if err != nil {
		return err
	}
	if _, err := bundle.Decode(); err != nil {
		return err
	}
	for _, value := range bundle.Values {
		path := filepath.Join(directory, filepath.FromSlash(string(value.Name))+".json")
		if err := os.WriteFile(path, append(value.Data, '\n'), fileMode); err != nil {
			return fmt.Errorf("write %s: %w", value.Name, err)
		}
	}
	return nil
}
