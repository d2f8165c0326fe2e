// Package soak runs balancers as processes on one machine, harms them from outside, and
// checks what callers and backend servers see.
//
// A seed draws a plan of faults and of an operator's work. Callers keep flows open
// meanwhile. All that callers and backend servers have seen so far is judged every few
// seconds, by rules that know no sockets, and a broken promise ends the run. Judging each
// event by itself was rejected: whether a bound holds depends on what else went on. The
// system keeps nothing on disk and decides nothing by the time of day, so that neither is
// harmed.
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

// Config sets a run up.
type Config struct {
	Seed uint64
	// Slot is the second number of all IP numbers of the run, so that several can go
	// on at a time.
	Slot int
	// Program is the balancer's executable, Directory gets settings and logs.
	Program   string
	Directory string
	Balancers int
	Callers   int
	// Span is the time in which faults begin.
	Span time.Duration
}

const (
	// readySpan bounds the start of the fleet.
	readySpan = 20 * time.Second
	readyLook = 100 * time.Millisecond
	// balancersMost bounds the balancers: each has one number of four address spaces.
	balancersMost = 200
	// descriptorsSpare are for the store, servers, callers, logs and connections.
	descriptorsSpare = 600
	// inspectPeriod is how often the history is judged.
	inspectPeriod = 2 * time.Second
	// tailSpan follows the last fault: calm, and then some requests.
	tailSpan = calmSpan + 3*time.Second
)

// Report is the outcome of a run.
type Report struct {
	Plan       []Step
	Violations []Violation
	// Started is when the faults began, Answers what callers got.
	Started time.Time
	Answers int
	Failed  int
}

// check refuses what cannot be played on this machine.
func (c Config) check() error {
	if c.Balancers < 1 || c.Balancers > balancersMost {
		return fmt.Errorf("soak: %d balancers: must be from 1 to %d", c.Balancers, balancersMost)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("soak: read the limit of descriptors: %w", err)
	}
	// Each proxy between balancers has a socket for each of the others.
	if need := uint64(c.Balancers*c.Balancers + descriptorsSpare); need > limit.Cur {
		return fmt.Errorf("soak: %d balancers need %d descriptors, the limit is %d: use fewer", c.Balancers, need, limit.Cur)
	}
	return nil
}

// Run plays one seed. The error says why it could not be played.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.check(); err != nil {
		return Report{}, err
	}
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return Report{}, fmt.Errorf("soak: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := build(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer w.stop()
	for _, b := range w.balancers {
		if err := b.start(); err != nil {
			return Report{}, err
		}
	}
	if !w.awaitReady(ctx) {
		return Report{}, fmt.Errorf("soak: %d of %d balancers are ready after %s", w.fabric.InUse(), config.Balancers, readySpan)
	}
	report := Report{Plan: Plan(config.Seed, config.Span)}
	calling, hangUp := context.WithCancel(ctx)
	defer hangUp()
	var callers sync.WaitGroup
	for number := range config.Callers {
		callers.Go(func() { w.call(calling, rand.New(rand.NewPCG(config.Seed, uint64(2+number)))) })
	}
	pause(ctx, calmSpan)
	report.Started = time.Now()
	playing, halt := context.WithCancel(ctx)
	defer halt()
	go func() { w.inspect(playing, halt) }()
	if err := w.play(playing, report.Plan); err != nil {
		return report, err
	}
	pause(playing, tailSpan)
	hangUp()
	callers.Wait()
	w.stop()
	return report, w.conclude(&report)
}

// inspect judges now and then what has been seen so far, and ends the play when a promise
// is broken.
func (w *world) inspect(ctx context.Context, halt func()) {
	for ctx.Err() == nil {
		pause(ctx, inspectPeriod)
		if len(Judge(w.snapshot())) > 0 {
			halt()
		}
	}
}

// snapshot returns the history so far. What only grows is shared.
func (w *world) snapshot() *History {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h := w.history
	h.Spans, h.Lives, h.Routes = slices.Clone(h.Spans), slices.Clone(h.Lives), slices.Clone(w.routes)
	return &h
}

// play carries all steps out and returns when the last one is over, or when the context
// has ended.
func (w *world) play(ctx context.Context, plan []Step) error {
	var steps sync.WaitGroup
	problems := make(chan error, len(plan))
	began := time.Now()
	for _, step := range plan {
		pause(ctx, time.Until(began.Add(step.At)))
		if ctx.Err() != nil {
			break
		}
		steps.Go(func() {
			if err := w.perform(ctx, step); err != nil {
				problems <- fmt.Errorf("%s: %w", step, err)
			}
		})
	}
	steps.Wait()
	close(problems)
	return <-problems
}

// awaitReady waits until all balancers are in rotation.
func (w *world) awaitReady(ctx context.Context) bool {
	for end := time.Now().Add(readySpan); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, readyLook) {
		if w.fabric.InUse() == len(w.balancers) {
			return true
		}
	}
	return false
}

// stop ends all processes.
func (w *world) stop() {
	var ends sync.WaitGroup
	for _, b := range w.balancers {
		ends.Go(func() {
			b.signal(syscall.SIGCONT)
			b.signal(syscall.SIGTERM)
			// A second one ends a leaving balancer at once.
			b.end(syscall.SIGTERM)
		})
	}
	ends.Wait()
}

// conclude judges the run.
func (w *world) conclude(report *Report) error {
	h := w.snapshot()
	for _, s := range w.servers {
		if life := &h.Lives[s.number-1]; life.Ended.IsZero() {
			life.Strangers = s.MisroutedPackets.Load()
		}
	}
	for _, b := range w.balancers {
		lines, err := b.reverted()
		if err != nil {
			return err
		}
		h.Reverted = append(h.Reverted, lines...)
	}
	report.Violations = Judge(h)
	for _, c := range h.Calls {
		switch {
		case c.Err != nil:
			report.Failed++
		case !c.Opening:
			report.Answers++
		}
	}
	return nil
}
