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

// fileCommands work on directories of published values.
func fileCommands() []subcommands.Command {
	var assume plans.Assumptions
	force := false
	return []subcommands.Command{
		&command{
			name:     "check",
			usage:    "DIRECTORY...",
			synopsis: "check directories of values to publish",
			run:      check,
		},
		&command{
			name:     "plan",
			usage:    "[flags] OLD-DIRECTORY NEW-DIRECTORY",
			synopsis: "show what publishing would do to open flows",
			flags: func(flags *flag.FlagSet) {
				flags.IntVar(&assume.OpenFlows, "open-flows", defaultOpenFlows, "open flows of each service")
				flags.IntVar(&assume.NewPerSecond, "new-per-second", defaultNewPerSecond, "new flows a second of each service")
				flags.BoolVar(&force, "force", false, "accept a service that is left without capacity")
			},
			run: func(_ context.Context, arguments []string) error { return plan(arguments, assume, force) },
		},
		&command{
			name:     "mark",
			usage:    "DIRECTORY BACKEND-SERVER Active|Leaving",
			synopsis: "change a backend server's state in its service's file",
			run:      mark,
		},
		&command{
			name:     "import",
			usage:    "DIRECTORY FILE.csv",
			synopsis: "take backend servers from an asset register's export",
			run:      importCSV,
		},
	}
}

func check(_ context.Context, arguments []string) error {
	if len(arguments) == 0 {
		return usageError("check: name at least one directory")
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

func plan(arguments []string, assume plans.Assumptions, force bool) error {
	if len(arguments) != 2 {
		return usageError("plan: name the old and the new directory")
	}
	before, err := config.ReadDirectory(arguments[0])
	if err != nil {
		return err
	}
	after, err := config.ReadDirectory(arguments[1])
	if err != nil {
		return err
	}
	effects, err := plans.Compute(before, after, assume)
	if err != nil {
		return err
	}
	if err := plans.Write(os.Stdout, effects); err != nil {
		return err
	}
	for _, effect := range effects {
		if effect.NoCapacity && !force {
			return fmt.Errorf("plan: service %s would have no backend server for new flows; use -force if that is meant", effect.Service)
		}
	}
	return nil
}

func mark(_ context.Context, arguments []string) error {
	if len(arguments) != 3 {
		return usageError("mark: name a directory, a backend server and its state")
	}
	documents, err := readDocuments(arguments[0])
	if err != nil {
		return err
	}
	for index := range documents.Services {
		service := &documents.Services[index]
		for number := range service.Backends {
			if service.Backends[number].Name == arguments[1] {
				service.Backends[number].State = config.State(arguments[2])
				return write(arguments[0], *documents)
			}
		}
	}
	return fmt.Errorf("mark: no service in %s has a backend server %q", arguments[0], arguments[1])
}

func importCSV(_ context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return usageError("import: name a directory and a CSV file")
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
	return write(arguments[0], *documents)
}

// write checks documents and puts them into their files. Nothing is written if
// they have problems.
func write(directory string, documents config.Documents) error {
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
