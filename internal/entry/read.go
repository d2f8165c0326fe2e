package entry

// When this balancer reads the platform: for the fleet, for itself, or not at all.

import (
	"context"
	"time"

	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
)

const (
	// staleSpan is the age of the view's last confirmation at which a balancer that
	// does not read for its failure domain asks the platform itself: a watch (2 s),
	// a few rounds of gossip and a lost datagram.
	staleSpan = 2700 * time.Millisecond
	// staleSpread and staleSpreadEach, for each member, vary that: the first to ask tell
	// the others, who then need not.
	staleSpread     = 400 * time.Millisecond
	staleSpreadEach = 2 * time.Millisecond
	// failedPauseEach, for each member, lies between two glances at a platform that is
	// away: 20 a second of the whole fleet.
	failedPauseEach = 50 * time.Millisecond
	// aloneWait is how long a balancer that starts waits to hear of a peer with a view
	// before it reads the platform: a round trip, and the time of a busy peer.
	// othersWait is the same for one that knows of others that are to read, and fedWait
	// the time in which a peer that has begun must have sent its view.
	aloneWait  = 15 * time.Millisecond
	othersWait = 60 * time.Millisecond
	fedWait    = 500 * time.Millisecond
)

// follow starts to read the platform.
func (e *Entry) follow(ctx context.Context) {
	source.New(ctx, source.Config{
		Store: e.config.Store,
		Mode:  e.need,
		Revision: func() (state.Revision, bool) {
			return state.Revision(e.reached.Load()), e.loaded.Load()
		},
		OnResult: func(reading source.Result) {
			e.do(func() { e.take(reading) })
		},
		FailedPollInterval: func() time.Duration { return time.Duration(e.members.Load()) * failedPauseEach },
		OnCall:             func(span time.Duration) { e.meters.call.Update(span.Seconds()) },
		OnUnreachable: func(err error) {
			e.log.Info("source: platform lost", "Problem", err.Error())
			e.do(func() { e.send(e.node.SetPlatformUnreachable(true, time.Now())) })
		},
		OnReachable: func() {
			e.log.Info("source: platform regained")
			e.do(func() { e.send(e.node.SetPlatformUnreachable(false, time.Now())) })
		},
	})
}

// need says how this balancer is to read the platform now.
func (e *Entry) need() source.Mode {
	switch {
	case !e.loaded.Load():
		return e.firstNeed(time.Since(e.started))
	case e.reader.Load():
		return source.ModeWatch
	case e.age() > e.staleAfter():
		return source.ModePoll
	}
	return source.ModeIdle
}

// firstNeed says how a balancer is to read that knows nothing yet. In a fleet that runs
// peers feed it within a few round trips, and the platform is spared a call. Where nobody
// does, as all have just started, those that would read for the fleet do so first.
func (e *Entry) firstNeed(uptime time.Duration) source.Mode {
	wait := aloneWait
	switch {
	case e.fed.Load():
		wait = fedWait
	case !e.reader.Load():
		wait = othersWait
	}
	if uptime < wait {
		return source.ModeAwaitPeers
	}
	return source.ModeWatch
}

// staleAfter returns the age of the view at which this balancer asks the platform itself.
func (e *Entry) staleAfter() time.Duration {
	spread := staleSpread + time.Duration(e.members.Load())*staleSpreadEach
	return staleSpan + time.Duration(e.staleShare*float64(spread))
}

// age returns how long ago the view was last known to be the newest.
func (e *Entry) age() time.Duration {
	return time.Since(e.started) - time.Duration(e.confirmed.Load())
}

func (e *Entry) take(reading source.Result) {
	for _, problem := range reading.Problems {
		e.log.Info("source: published item refused", "Problem", problem.Error())
	}
	e.send(e.node.ApplyPlatformDelta(reading.Delta, time.Now()))
}
