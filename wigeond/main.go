// Command wigeond is the balancer daemon.
package main

import (
	"context"
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

// version is the release that this program belongs to.
const version = "0.1.0"

// Exit codes beside those of subcommands: 0 success, 1 failure, 2 usage.
const exitSettings subcommands.ExitStatus = 3

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// runCommand serves until a signal.
type runCommand struct {
	settings string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "serve until SIGTERM, then leave gracefully" }
func (*runCommand) Usage() string    { return "run [-settings FILE]\n" }
func (r *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.settings, "settings", defaultSettings(), "settings file")
}

// defaultSettings is where the platform has put the settings, if it has.
func defaultSettings() string {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return path
	}
	return "wigeond.ini"
}

func (r *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := setup.Load(r.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	log := logs.New(writer)
	if settings.Binding == setup.Tagged {
		log = logs.NewJSON(writer)
	}
	if err := r.serve(ctx, settings, log); err != nil {
		log.Error(err, "daemon: ended")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// garbagePercent is the garbage, in percent of the live heap, at which the runtime collects
// it, unless the environment says otherwise. The live heap is a few megabytes, so that
// collecting often costs little, and instances are small.
const garbagePercent = 40

// serve runs the balancer of the settings' binding.
func (r *runCommand) serve(ctx context.Context, settings setup.Settings, log logr.Logger) error {
	terminate := make(chan os.Signal, 2)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	if settings.Binding == setup.Owned {
		return daemon.Run(ctx, settings, log, terminate)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbagePercent)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return entry.Run(ctx, entry.Config{
		Settings:  settings,
		Reload:    func() (setup.Settings, error) { return setup.Load(r.settings) },
		Log:       log,
		Codec:     platform.Packets{},
		Store:     platform.NewStore(settings.Platform),
		ReadyPath: platform.ReadyPath,
	}, terminate, reload)
}

// checkCommand checks a settings file.
type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "check settings files" }
func (*checkCommand) Usage() string          { return "check FILE...\n" }
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "check: name at least one settings file")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range flags.Args() {
		if _, err := setup.Load(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = exitSettings
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
