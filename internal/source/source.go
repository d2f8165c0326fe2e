// Package source reads what the platform publishes, with as few calls as keep a balancer's
// replica up to date.
//
// Two balancers of the fleet, in different failure domains if possible, are readers, and
// each reader always has one watch (a long poll) open. All other balancers receive changes
// from their peers. They poll the platform only if no peer has confirmed their revision for
// a while, because the readers have crashed, are partitioned off, or are rejected by the
// platform.
//
// Two alternatives were rejected: a watch in every balancer, because each call has a cost,
// and periodic polling, because changes would be delayed until the next poll.
package source

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"wigeonmoor.example/internal/state"
)

const (
	// watchTimeout is how long the platform holds back the response to a watch if nothing
	// changes. A dead connection goes unnoticed for this long; meanwhile the other
	// reader still reports changes.
	watchTimeout = 2 * time.Second
	// pollTimeout is the same for a poll, which does not wait for changes.
	pollTimeout = time.Millisecond
	// minRetryDelay and maxRetryDelay limit the exponential backoff after failed calls.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// pollInterval is the time between two polls.
	pollInterval = time.Second
	// changeDelay is the time between a change and the next watch. Changes often come in
	// groups, and the delay lets one call return a whole group.
	changeDelay = 200 * time.Millisecond
	// idleCheckInterval is how often a balancer that makes no calls checks its mode.
	idleCheckInterval = 100 * time.Millisecond
	// startupCheckInterval is the same while a starting balancer waits for its peers. It is
	// about the round trip time between failure domains.
	startupCheckInterval = 5 * time.Millisecond
)

// Mode is how a balancer reads the platform.
type Mode string

// The modes.
const (
	// ModeIdle makes no calls, because peers keep this balancer up to date.
	ModeIdle Mode = "Nothing"
	// ModeAwaitPeers makes no calls yet, because peers may be about to send this balancer
	// its first state.
	ModeAwaitPeers Mode = "Soon"
	// ModePoll polls for changes.
	ModePoll Mode = "Glance"
	// ModeWatch keeps a watch open.
	ModeWatch Mode = "Follow"
)

// Result is a response of the platform.
type Result struct {
	Delta state.Delta
	// Problems describe published items that are invalid and not part of Delta. They wrap
	// ValueErrors.
	Problems []error
}

// Store is a client of the platform's store.
type Store interface {
	// Read returns all published items, as a full delta. The time-out is that of each of the
	// calls that it takes.
	Read(ctx context.Context, timeout time.Duration) (Result, error)
	// Watch returns the changes since a revision. If there are none, it waits for them, up
	// to the given time, and then returns an empty delta. The time-out is added to that time.
	// It returns ErrHistoryLost if the revision is too old, and ErrTooLarge if there are more
	// changes than the limits allow.
	Watch(ctx context.Context, since state.Revision, limits WatchLimits) (Result, error)
}

// WatchLimits limits one watch.
type WatchLimits struct {
	// Wait is how long the platform holds the response back if there are no changes, and Timeout
	// how long it may take beyond that.
	Wait, Timeout time.Duration
	// Bytes is the maximum size of the response.
	Bytes int64
}

const (
	// A response to a watch may be watchSizeFactor times as large as that to a full read, which
	// costs less from there on: the watch may hold the same item many times.
	watchSizeFactor = 1.5
	// minWatchBytes is allowed in any case, so that a growing configuration fits.
	minWatchBytes = 512 << 10
)

// Config configures a Watcher. The callbacks are called from its goroutine.
type Config struct {
	Store Store
	// Mode returns the mode in which this balancer is to read now.
	Mode func() Mode
	// Revision returns the current revision, and false if there is none yet.
	Revision func() (state.Revision, bool)
	// OnResult receives the result of each successful call.
	OnResult func(Result)
	// StateBytes, if set, returns the approximate size of the response to a full read. It limits
	// responses to watches.
	StateBytes func() int64
	// FailedPollInterval, if set, returns the minimum time between two polls while they
	// fail.
	FailedPollInterval func() time.Duration
	// OnCall, if set, receives the duration of each call that did not wait for changes.
	OnCall func(time.Duration)
	// OnUnreachable is called with the error of the first of several failed calls,
	// OnReachable when calls succeed again.
	OnUnreachable func(error)
	OnReachable   func()
}

// Watcher reads the platform until its context is done.
type Watcher struct {
	config      Config
	plan        plan
	unreachable bool
}

// New starts a Watcher.
func New(ctx context.Context, config Config) *Watcher {
	w := &Watcher{config: config}
	go func() { w.run(ctx) }()
	return w
}

// run reads the platform until the context is done.
func (w *Watcher) run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		mode := w.config.Mode()
		switch mode {
		case ModeIdle:
			sleep(ctx, idleCheckInterval)
			continue
		case ModeAwaitPeers:
			sleep(ctx, startupCheckInterval)
			continue
		}
		since, _ := w.config.Revision()
		result, made, err := w.call(ctx, mode)
		if ctx.Err() != nil {
			return
		}
		callAtOnce := w.plan.record(made, err)
		switch {
		case err == nil:
			w.handleResult(result)
			retryDelay = minRetryDelay
			if result.Delta.To > since {
				sleep(ctx, changeDelay)
			}
		case callAtOnce:
			continue
		default:
			w.handleError(err)
			sleep(ctx, jitter(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
		if mode == ModePoll {
			w.waitForNextPoll(ctx, jitter(w.pollDelay(err)))
		}
	}
}

// pollDelay returns the time until the next poll. While the platform is unreachable, every
// balancer of the fleet polls, so the delay is longer; the readers keep retrying anyway.
func (w *Watcher) pollDelay(err error) time.Duration {
	if err == nil || w.config.FailedPollInterval == nil {
		return pollInterval
	}
	return max(pollInterval, w.config.FailedPollInterval())
}

// waitForNextPoll sleeps for a duration, or until the mode changes to ModeWatch.
func (w *Watcher) waitForNextPoll(ctx context.Context, delay time.Duration) {
	for end := time.Now().Add(delay); time.Now().Before(end) && w.config.Mode() != ModeWatch && ctx.Err() == nil; {
		sleep(ctx, min(idleCheckInterval, time.Until(end)))
	}
}

// jitter returns a random duration between 50% and 150% of the given one, so that balancers
// do not call at the same time.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(rand.Int64N(int64(delay)))
}

// call makes the next call of the plan. While the platform is unreachable it polls even in
// ModeWatch, so that a recovery is detected at once.
func (w *Watcher) call(ctx context.Context, mode Mode) (Result, call, error) {
	since, hasRevision := w.config.Revision()
	made, timeout := w.plan.next(hasRevision)
	if made == readCall {
		defer w.reportCall(time.Now())
		result, err := w.config.Store.Read(ctx, timeout)
		if err != nil {
			return Result{}, made, fmt.Errorf("source: read all published items: %w", err)
		}
		if hasRevision && result.Delta.To < since {
			return Result{}, made, fmt.Errorf("source: read all published items: platform is at revision %d of epoch %d, which is older than revision %d of epoch %d",
				result.Delta.To.Counter(), result.Delta.To.Epoch(), since.Counter(), since.Epoch())
		}
		return result, made, nil
	}
	wait := watchTimeout
	if mode == ModePoll || w.unreachable {
		wait = pollTimeout
	}
	if wait == pollTimeout {
		defer w.reportCall(time.Now())
	}
	limits := WatchLimits{Wait: wait, Timeout: timeout, Bytes: minWatchBytes}
	if w.config.StateBytes != nil {
		limits.Bytes = max(limits.Bytes, int64(watchSizeFactor*float64(w.config.StateBytes())))
	}
	result, err := w.config.Store.Watch(ctx, since, limits)
	if err != nil {
		return Result{}, made, fmt.Errorf("source: watch since revision %d of epoch %d: %w", since.Counter(), since.Epoch(), err)
	}
	return result, made, nil
}

// reportCall passes the duration of a call to OnCall.
func (w *Watcher) reportCall(start time.Time) {
	if w.config.OnCall != nil {
		w.config.OnCall(time.Since(start))
	}
}

func (w *Watcher) handleResult(result Result) {
	if w.unreachable {
		w.unreachable = false
		w.config.OnReachable()
	}
	w.config.OnResult(result)
}

func (w *Watcher) handleError(err error) {
	if !w.unreachable {
		w.unreachable = true
		w.config.OnUnreachable(err)
	}
}

func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
