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

// maxViolationsPrinted limits how many violations are printed per run.
const maxViolationsPrinted = 8

// Consecutive seeds use different subnets, because runs may be concurrent and the sockets of a run
// may take a moment to close. A subnet is the second octet of the run's IP addresses.
const (
	firstSubnet = 40
	subnetCount = 200
)

// soakCommand runs the fault-injection test with several seeds.
type soakCommand struct {
	config   soak.Config
	count    int
	jobs     int
	keepLogs bool
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run balancers as processes, inject faults, and check what callers and backend servers observe"
}
func (*soakCommand) Usage() string {
	return "soak [flags]: run the fault-injection test with a sequence of seeds. Logs of failed runs are kept.\n"
}

func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.config.Seed, "seed", 1, "first seed")
	flags.IntVar(&c.count, "count", 1, "number of seeds")
	flags.IntVar(&c.jobs, "jobs", 1, "number of concurrent runs")
	flags.BoolVar(&c.keepLogs, "keep", false, "keep the logs of all runs")
	flags.StringVar(&c.config.Program, "program", "bin/wigeond", "path of the balancer's executable")
	flags.StringVar(&c.config.Directory, "directory", "out/soak", "directory for settings and logs")
	flags.IntVar(&c.config.Balancers, "balancers", 6, "number of balancers, at most 200; a run needs the square of this number in file descriptors")
	flags.IntVar(&c.config.Callers, "callers", 60, "number of callers")
	flags.DurationVar(&c.config.FaultWindow, "span", 15*time.Second, "time during which faults begin")
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds := make(chan uint64)
	var runs sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	for range max(c.jobs, 1) {
		runs.Go(func() {
			for seed := range seeds {
				config := c.config
				config.Seed, config.Subnet = seed, firstSubnet+int(seed%subnetCount)
				config.Directory = filepath.Join(c.config.Directory, fmt.Sprintf("seed-%d", seed))
				report, err := soak.Run(ctx, config)
				mutex.Lock()
				if !c.printReport(config, report, err) {
					failed++
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
	if failed > 0 {
		fmt.Printf("soak: %d of %d seeds failed\n", failed, c.count)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// printReport prints the result of a run, removes its logs unless it failed, and reports whether
// it succeeded.
func (c *soakCommand) printReport(config soak.Config, report soak.Report, err error) bool {
	fmt.Printf("soak: seed %d: %d steps, %d answers, %d failed calls, %d violations\n",
		config.Seed, len(report.Plan), report.Answers, report.FailedCalls, len(report.Violations))
	if err != nil {
		fmt.Printf("soak: seed %d: the run was not completed: %v\n", config.Seed, err)
		return false
	}
	if len(report.Violations) == 0 {
		if !c.keepLogs {
			if err := os.RemoveAll(config.Directory); err != nil {
				fmt.Printf("soak: seed %d: remove logs: %v\n", config.Seed, err)
			}
		}
		return true
	}
	for _, step := range report.Plan {
		fmt.Printf("  step: %s\n", step)
	}
	for index, v := range report.Violations {
		if index < maxViolationsPrinted {
			fmt.Printf("  %s at %.2fs: %s\n", v.Rule, v.At.Sub(report.Started).Seconds(), v.Text)
		}
	}
	fmt.Printf("  logs: %s\n", config.Directory)
	return false
}
