// Package soak is a fault-injection test: it runs balancers as processes on one machine,
// injects faults from outside the processes, and checks what callers and backend servers
// observe.
//
// The plan of a run, with faults and planned operator work, is drawn from a seed. Callers
// keep flows open while its steps are performed. Every few seconds the history of everything
// that callers and backend servers have observed is checked against rules that do not depend
// on sockets, and a violation ends the run. Checking each event in isolation was rejected:
// whether a time limit applies depends on the faults in effect at the time. Disk and clock
// faults are not injected, because balancers store nothing on disk and make no decisions by
// the time of day.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Config configures a run.
type Config struct {
	Seed uint64
	// Subnet is the second octet of all IP addresses of the run, 127.Subnet.x.y, so that
	// several runs can be in progress at a time.
	Subnet int
	// Program is the path of the balancer's executable. Settings and logs are written to
	// Directory.
	Program   string
	Directory string
	// Balancers is the number of balancer processes, Callers that of simulated callers.
	Balancers int
	Callers   int
	// FaultWindow is the time during which steps begin.
	FaultWindow time.Duration
}

const (
	// startupTimeout limits how long all balancers may take to become ready.
	startupTimeout = 20 * time.Second
	// readyPollInterval is how often awaitReady checks the number of ready balancers.
	readyPollInterval = 100 * time.Millisecond
	// maxBalancers keeps the number of a balancer within one octet of its IP addresses.
	maxBalancers = 200
	// reservedDescriptors is the number of file descriptors for the store, servers,
	// callers, logs and connections.
	reservedDescriptors = 600
	// checkInterval is the time between two checks of the history.
	checkInterval = 2 * time.Second
	// finalStableDuration is how long callers continue after the last step: until the time
	// limits apply again, and then long enough for some requests.
	finalStableDuration = stableWindow + 3*time.Second
)

// Report is the result of a run.
type Report struct {
	Plan       []Step
	Violations []Violation
	// Started is when the first step was due.
	Started time.Time
	// Answers is the number of answered requests. FailedCalls is the number of requests
	// and attempts to open a flow that failed, which faults may cause without a violation.
	Answers     int
	FailedCalls int
}

// validate returns an error if the run exceeds a limit of the package or of this machine.
func (c Config) validate() error {
	if c.Balancers < 1 || c.Balancers > maxBalancers {
		return fmt.Errorf("soak: %d balancers: must be from 1 to %d", c.Balancers, maxBalancers)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("soak: get the limit of file descriptors: %w", err)
	}
	// The proxy in front of each balancer has a socket for each of the other balancers.
	if need := uint64(c.Balancers*c.Balancers + reservedDescriptors); need > limit.Cur {
		return fmt.Errorf("soak: %d balancers need %d file descriptors, but the limit is %d: use fewer balancers", c.Balancers, need, limit.Cur)
	}
	return nil
}

// Run performs the run of one seed. The error reports that the run could not be set up or
// completed; violations are in the Report and cause no error.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.validate(); err != nil {
		return Report{}, err
	}
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return Report{}, fmt.Errorf("soak: create directory: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, err := newEnvironment(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer e.stopBalancers()
	for _, b := range e.balancers {
		if err := b.start(); err != nil {
			return Report{}, err
		}
	}
	if !e.awaitReady(ctx) {
		return Report{}, fmt.Errorf("soak: %d of %d balancers are ready after %s", e.router.InRotation(), config.Balancers, startupTimeout)
	}
	report := Report{Plan: DrawPlan(config.Seed, config.FaultWindow)}
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for number := range config.Callers {
		callers.Go(func() { e.runCaller(callerContext, rand.New(rand.NewPCG(config.Seed, uint64(2+number)))) })
	}
	pause(ctx, stableWindow)
	report.Started = time.Now()
	stepContext, stopSteps := context.WithCancel(ctx)
	defer stopSteps()
	go func() { e.checkUntilViolation(stepContext, stopSteps) }()
	if err := e.runSteps(stepContext, report.Plan); err != nil {
		return report, err
	}
	pause(stepContext, finalStableDuration)
	stopCallers()
	callers.Wait()
	e.stopBalancers()
	return report, e.completeReport(&report)
}

// checkUntilViolation checks the history so far and stops the steps when there is a violation.
func (e *environment) checkUntilViolation(ctx context.Context, stopSteps func()) {
	for ctx.Err() == nil {
		pause(ctx, checkInterval)
		if len(Check(e.snapshot())) > 0 {
			stopSteps()
		}
	}
}

// snapshot returns a copy of the history so far. Slices whose elements change later are
// cloned. The others are only appended to and share their array with the history.
func (e *environment) snapshot() *History {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	h := e.history
	h.Steps, h.Servers, h.Routes = slices.Clone(h.Steps), slices.Clone(h.Servers), slices.Clone(e.routes)
	if e.restores > 0 {
		e.exemptMisrouted(h.Servers)
	}
	return &h
}

// runSteps performs the plan's steps and returns when all have finished. If the context is
// canceled, no further steps begin. The error is that of the first step that failed.
func (e *environment) runSteps(ctx context.Context, plan []Step) error {
	var steps sync.WaitGroup
	failures := make(chan error, len(plan))
	start := time.Now()
	for _, step := range plan {
		pause(ctx, time.Until(start.Add(step.At)))
		if ctx.Err() != nil {
			break
		}
		steps.Go(func() {
			if err := e.runStep(ctx, step); err != nil {
				failures <- fmt.Errorf("%s: %w", step, err)
			}
		})
	}
	steps.Wait()
	close(failures)
	return <-failures
}

// awaitReady waits until all balancers are in rotation. It returns false after startupTimeout
// or if the context is canceled.
func (e *environment) awaitReady(ctx context.Context) bool {
	for deadline := time.Now().Add(startupTimeout); time.Now().Before(deadline) && ctx.Err() == nil; pause(ctx, readyPollInterval) {
		if e.router.InRotation() == len(e.balancers) {
			return true
		}
	}
	return false
}

// stopBalancers terminates all balancer processes and waits until they have exited.
func (e *environment) stopBalancers() {
	var stops sync.WaitGroup
	for _, b := range e.balancers {
		stops.Go(func() {
			// SIGCONT resumes a process that a Freeze step suspended.
			b.signal(syscall.SIGCONT)
			b.signal(syscall.SIGTERM)
			// A second SIGTERM ends a balancer that is leaving at once.
			b.signalAndWait(syscall.SIGTERM)
		})
	}
	stops.Wait()
}

// completeReport checks the full history and fills in the report.
func (e *environment) completeReport(report *Report) error {
	h := e.snapshot()
	for _, s := range e.servers {
		if server := &h.Servers[s.number-1]; server.Ended.IsZero() {
			server.MisroutedPackets = s.MisroutedPackets.Load()
		}
	}
	for _, b := range e.balancers {
		lines, err := b.findRevertedLines()
		if err != nil {
			return err
		}
		h.RevertedLines = append(h.RevertedLines, lines...)
	}
	report.Violations = Check(h)
	for _, c := range h.Calls {
		switch {
		case c.Err != nil:
			report.FailedCalls++
		case !c.Opening:
			report.Answers++
		}
	}
	return nil
}
