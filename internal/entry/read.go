package entry

// This file decides when and how this balancer reads the platform. The readers, which the
// gossip node elects, watch it for the whole fleet. Other balancers get changes from their
// peers and poll the platform only if their replica has not been confirmed for a while.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
)

const (
	// minStaleAge is the minimum age of the last confirmation at which a balancer that is
	// not a reader polls the platform. It allows for the duration of a reader's watch (2 s),
	// a few rounds of gossip and a lost datagram.
	minStaleAge = 2700 * time.Millisecond
	// staleAgeJitter, plus staleAgeJitterPerMember for each live member, is the range of the
	// random time that is added to minStaleAge. The first balancers that poll confirm the
	// revision to their peers, which then need not poll.
	staleAgeJitter          = 400 * time.Millisecond
	staleAgeJitterPerMember = 2 * time.Millisecond
	// failedPollIntervalPerMember, multiplied by the number of live members, is the minimum
	// time between two polls of a balancer while the platform is unreachable. The whole
	// fleet then makes up to 20 polls per second.
	failedPollIntervalPerMember = 50 * time.Millisecond
	// readerStartupTimeout is how long a starting balancer waits for a peer that has the
	// published state before it reads the platform: a round trip and the response time of a
	// busy peer.
	readerStartupTimeout = 15 * time.Millisecond
	// nonReaderStartupTimeout is the same if other balancers are the readers.
	nonReaderStartupTimeout = 60 * time.Millisecond
	// transferTimeout is the time after the start by which a transfer from a peer must be
	// complete. Otherwise the balancer reads the platform.
	transferTimeout = 500 * time.Millisecond
)

// Approximate sizes of a published route and of a server's entry in a response of the platform,
// where values are encoded as base64.
const (
	routeResponseBytes  = 240
	serverResponseBytes = 400
)

// startWatcher starts the goroutine that reads the platform.
func (b *Balancer) startWatcher(ctx context.Context) {
	source.New(ctx, source.Config{
		Store: b.config.Store,
		Mode:  b.readMode,
		Revision: func() (state.Revision, bool) {
			return state.Revision(b.revision.Load()), b.loaded.Load()
		},
		OnResult: func(result source.Result) {
			b.enqueue(func() { b.handleResult(result) })
		},
		StateBytes:         b.stateBytes.Load,
		FailedPollInterval: func() time.Duration { return time.Duration(b.memberCount.Load()) * failedPollIntervalPerMember },
		OnCall:             func(duration time.Duration) { b.metrics.platformCall.Update(duration.Seconds()) },
		OnUnreachable: func(err error) {
			b.log.Info("source: platform is unreachable", "Problem", err.Error())
			b.enqueue(func() { b.sendMessages(b.node.SetPlatformUnreachable(true, time.Now())) })
		},
		OnReachable: func() {
			b.log.Info("source: platform is reachable again")
			b.enqueue(func() { b.sendMessages(b.node.SetPlatformUnreachable(false, time.Now())) })
		},
	})
}

// readMode returns how this balancer is to read the platform now.
func (b *Balancer) readMode() source.Mode {
	switch {
	case !b.loaded.Load():
		return b.startupReadMode(time.Since(b.startedAt))
	case b.isReader.Load():
		return source.ModeWatch
	case b.replicaAge() > b.staleAge():
		return source.ModePoll
	}
	return source.ModeIdle
}

// startupReadMode returns how a balancer whose replica is still empty is to read the
// platform. In a running fleet, peers transfer their replica within a few round trips, which
// saves a call to the platform. If the whole fleet has just started, no peer can do that, and
// the readers call the platform before the others.
func (b *Balancer) startupReadMode(uptime time.Duration) source.Mode {
	timeout := readerStartupTimeout
	switch {
	case b.fetching.Load():
		timeout = transferTimeout
	case !b.isReader.Load():
		timeout = nonReaderStartupTimeout
	}
	if uptime < timeout {
		return source.ModeAwaitPeers
	}
	return source.ModeWatch
}

// staleAge returns the age of the replica above which this balancer polls the platform even
// if it is not a reader.
func (b *Balancer) staleAge() time.Duration {
	jitter := staleAgeJitter + time.Duration(b.memberCount.Load())*staleAgeJitterPerMember
	return minStaleAge + time.Duration(b.staleAgeJitterFraction*float64(jitter))
}

// replicaAge returns the time since the replica was last known to be current.
func (b *Balancer) replicaAge() time.Duration {
	return time.Since(b.startedAt) - time.Duration(b.confirmedNanoseconds.Load())
}

// handleResult applies a response of the platform to the replica.
func (b *Balancer) handleResult(result source.Result) {
	for _, name := range b.replica.RejectUnnamedServices(&result.Delta) {
		result.Problems = append(result.Problems, &source.ValueError{
			Reason: source.UnknownName,
			Err:    fmt.Errorf("entry of %s: the configuration does not name its service", name),
		})
	}
	b.reportProblems(result.Problems, time.Now())
	to := result.Delta.To
	if epoch := state.Epoch(b.platformEpoch.Swap(uint32(to.Epoch()))); epoch != to.Epoch() {
		b.log.Info("source: platform is in another epoch", "Epoch", to.Epoch(), "Before", epoch, "Revision", to.Counter(), "Full", result.Delta.Full)
	}
	b.sendMessages(b.node.ApplyPlatformDelta(result.Delta, time.Now()))
}

// maxProblemLinesPerSecond limits the log lines about invalid published items. A writer at fault
// may write every entry several times per second; all items are counted.
const maxProblemLinesPerSecond = 10

// reportProblems counts invalid published items by reason and logs some of them.
func (b *Balancer) reportProblems(problems []error, now time.Time) {
	for _, problem := range problems {
		reason := source.Malformed
		if value := (*source.ValueError)(nil); errors.As(problem, &value) {
			reason = value.Reason
		}
		b.metrics.rejectedItems[reason].Inc()
		if !now.Before(b.problemLinesResetAt) {
			b.problemLinesLeft, b.problemLinesResetAt = maxProblemLinesPerSecond, now.Add(time.Second)
		}
		if b.problemLinesLeft > 0 {
			b.problemLinesLeft--
			b.log.Info("source: ignored an invalid published item", "Reason", reason, "Problem", problem.Error())
		}
	}
}
