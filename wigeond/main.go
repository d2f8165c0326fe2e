// Command wigeond is the load balancer daemon.
//
//	wigeond run [-settings FILE]   runs a balancer until SIGTERM or SIGINT
//	wigeond check FILE...          validates settings files
//	wigeond version                prints the version
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"wigeonmoor.example/internal/daemon"
	"wigeonmoor.example/internal/entry"
	"wigeonmoor.example/internal/logs"
	"wigeonmoor.example/internal/setup"
	"wigeonmoor.example/platform"
)

// version is the release version.
const version = "0.1.0"

// exitInvalidSettings is the exit status for an invalid settings file. The statuses of package
// subcommands are 0 for success, 1 for failure and 2 for a usage error.
const exitInvalidSettings subcommands.ExitStatus = 3

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// runCommand runs a balancer until it receives a signal to terminate.
type runCommand struct {
	settingsPath string
	// overrides are assignments of settings that take precedence over the file.
	overrides []string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run until SIGTERM, then shut down gracefully" }
func (*runCommand) Usage() string    { return "run [-settings FILE] [-set Section.Key=VALUE ...]\n" }
func (r *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.settingsPath, "settings", defaultSettingsPath(), "settings file")
	flags.Func("set", "override a setting of the file, as Section.Key=VALUE; nothing is changed if VALUE is empty", func(assignment string) error {
		r.overrides = append(r.overrides, assignment)
		return nil
	})
}

// load reads the settings file and applies the overrides.
func (r *runCommand) load() (setup.Settings, error) {
	settings, err := setup.Load(r.settingsPath)
	for _, assignment := range r.overrides {
		err = errors.Join(err, settings.Override(assignment))
	}
	return settings, err
}

// defaultSettingsPath returns the settings file named by the platform's environment variable,
// or wigeond.ini in the working directory if that is not set.
func defaultSettingsPath() string {
	if path := os.Getenv(platform.SettingsPathVariable); path != "" {
		return path
	}
	return "wigeond.ini"
}

func (r *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := r.load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	log := logs.New(writer)
	if settings.Binding == setup.Tagged {
		log = logs.NewJSON(writer)
	}
	if err := r.serve(ctx, settings, log); err != nil {
		log.Error(err, "daemon: stopped by an error")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// gcPercent is the garbage collection target percentage for Tagged, unless GOGC is set. It is
// lower than the default of 100, because instances have little memory, and the live heap of a
// few megabytes makes frequent collections cheap.
const gcPercent = 40

// serve runs the balancer that implements the binding in the settings.
func (r *runCommand) serve(ctx context.Context, settings setup.Settings, log logr.Logger) error {
	terminate := make(chan os.Signal, 2)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	if settings.Binding == setup.Owned {
		return daemon.Run(ctx, settings, log, terminate)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return entry.Run(ctx, entry.Config{
		Settings:  settings,
		Reload:    r.load,
		Log:       log,
		Codec:     platform.PacketCodec{},
		Store:     platform.NewStore(settings.PlatformURL),
		ReadyPath: platform.ReadyPath,
		LearnServers: settings.Learn == setup.LearnOn ||
			settings.Learn == setup.LearnAuto && platform.AsksToLearn(settings.Contracts),
	}, terminate, reload)
}

// checkCommand validates settings files.
type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "validate settings files" }
func (*checkCommand) Usage() string          { return "check FILE...\n" }
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "check: at least one settings file is required")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range flags.Args() {
		if _, err := setup.Load(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = exitInvalidSettings
			continue
		}
		fmt.Printf("%s: accepted\n", path)
	}
	return status
}

// versionCommand prints the version.
type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("wigeond", version)
	return subcommands.ExitSuccess
}
