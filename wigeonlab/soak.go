package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/subcommands"

	"wigeonmoor.example/wigeonlab/internal/soak"
)

// violationsShown bounds the broken promises that are printed of a run.
const violationsShown = 8

// Runs take one slot after the other, as a run's sockets may take a moment to close. A
// slot is the second number of the run's IP numbers.
const (
	firstSlot = 40
	slots     = 200
)

// soakCommand plays seeds, several at a time.
type soakCommand struct {
	config soak.Config
	count  int
	jobs   int
	keep   bool
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run balancers as processes, harm them, and check what callers and backend servers see"
}
func (*soakCommand) Usage() string {
	return "soak [flags]: play seeds of faults. Logs of a run that broke a promise are kept.\n"
}

func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.config.Seed, "seed", 1, "first seed")
	flags.IntVar(&c.count, "count", 1, "number of seeds")
	flags.IntVar(&c.jobs, "jobs", 1, "runs at a time")
	flags.BoolVar(&c.keep, "keep", false, "keep the logs of all runs")
	flags.StringVar(&c.config.Program, "program", "bin/wigeond", "balancer to run")
	flags.StringVar(&c.config.Directory, "directory", "out/soak", "directory for settings and logs")
	flags.IntVar(&c.config.Balancers, "balancers", 6, "number of balancers, at most 200; their square in descriptors is needed")
	flags.IntVar(&c.config.Callers, "callers", 60, "number of callers")
	flags.DurationVar(&c.config.Span, "span", 15*time.Second, "time in which faults begin")
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds := make(chan uint64)
	var runs sync.WaitGroup
	var mutex sync.Mutex
	broken := 0
	for range max(c.jobs, 1) {
		runs.Go(func() {
			for seed := range seeds {
				config := c.config
				config.Seed, config.Slot = seed, firstSlot+int(seed%slots)
				config.Directory = filepath.Join(c.config.Directory, fmt.Sprintf("seed-%d", seed))
				report, err := soak.Run(ctx, config)
				mutex.Lock()
				if !c.show(config, report, err) {
					broken++
				}
				mutex.Unlock()
			}
		})
	}
	for offset := range c.count {
		if ctx.Err() == nil {
			seeds <- c.config.Seed + uint64(offset)
		}
	}
	close(seeds)
	runs.Wait()
	if broken > 0 {
		fmt.Printf("soak: %d of %d seeds broke a promise\n", broken, c.count)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// show prints a run's outcome and reports whether all promises held.
func (c *soakCommand) show(config soak.Config, report soak.Report, err error) bool {
	fmt.Printf("soak: seed %d: %d steps, %d answers, %d calls failed, %d promises broken\n",
		config.Seed, len(report.Plan), report.Answers, report.Failed, len(report.Violations))
	if err != nil {
		fmt.Printf("soak: seed %d: not played to its end: %v\n", config.Seed, err)
		return false
	}
	if len(report.Violations) == 0 {
		if !c.keep {
			if err := os.RemoveAll(config.Directory); err != nil {
				fmt.Printf("soak: seed %d: logs not removed: %v\n", config.Seed, err)
			}
		}
		return true
	}
	for _, step := range report.Plan {
		fmt.Printf("  step: %s\n", step)
	}
	for index, v := range report.Violations {
		if index < violationsShown {
			fmt.Printf("  %s at %.2fs: %s\n", v.Rule, v.At.Sub(report.Started).Seconds(), v.Text)
		}
	}
	fmt.Printf("  logs: %s\n", config.Directory)
	return false
}
