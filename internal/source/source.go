// Package source follows what the platform publishes, with as few calls as keep the
// balancer's view fresh.
//
// A balancer that reads for its failure domain always has one watch open. The others
// are fed by peers, and call only when nobody has confirmed their view for a while:
// their readers are dead, cut off, or refused by the platform. A watch in every
// balancer was rejected, since each call is paid for, and polling, since a change
// would wait for the next poll.
package source

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"wigeonmoor.example/internal/state"
)

// ErrHistoryLost is returned by a watch whose start is no longer in the platform's
// history. Everything has to be read again.
var ErrHistoryLost = errors.New("source: history is no longer available")

const (
	// watchSpan is how long a watch waits. It bounds how late it is noticed that a
	// connection is silent. Other failure domains' readers tell of changes meanwhile.
	watchSpan = 2 * time.Second
	// glanceSpan is the wait of a call that only asks whether there is news.
	glanceSpan = time.Millisecond
	// answerLimit is added for the call itself. The platform answers in 4 ms; slow
	// days have 64 times that.
	answerLimit = 700 * time.Millisecond
	// readLimit bounds the reading of everything, which may take several calls.
	readLimit = 1500 * time.Millisecond
	// retryFirst and retryMost bound the pause after failures.
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// glancePause lies between two calls of a balancer that only glances.
	glancePause = time.Second
	// changePause lies between a change and the next watch, as changes come in groups.
	changePause = 200 * time.Millisecond
	// idlePause is how often a balancer that does not read looks whether it must.
	idlePause = 100 * time.Millisecond
	// soonPause is the same while a balancer that starts waits for its peers, a round
	// trip between failure domains.
	soonPause = 5 * time.Millisecond
)

// Need says how a balancer is to read.
type Need string

// The needs.
const (
	// Nothing: peers feed this balancer.
	Nothing Need = "Nothing"
	// Soon: nothing yet, as peers may be about to feed this balancer for the first time.
	Soon Need = "Soon"
	// Glance: ask once whether there is news.
	Glance Need = "Glance"
	// Follow: keep a watch open.
	Follow Need = "Follow"
)

// Reading is what the platform has answered.
type Reading struct {
	Delta state.Delta
	// Problems name published items that cannot be used.
	Problems []error
}

// Store is the platform's store.
type Store interface {
	// Read returns everything published.
	Read(ctx context.Context) (Reading, error)
	// Watch returns what has changed since a revision, after waiting for it.
	Watch(ctx context.Context, since state.Revision, wait time.Duration) (Reading, error)
}

// Config sets a follower up. The callbacks are called from its goroutine.
type Config struct {
	Store Store
	// Need says how this balancer is to read now.
	Need func() Need
	// Since returns the revision reached, false if nothing has been read yet.
	Since func() (state.Revision, bool)
	Take  func(Reading)
	// FailedPause, if set, says how long to wait after a glance that failed.
	FailedPause func() time.Duration
	// Called, if set, gets the time of each call that did not wait for changes.
	Called func(time.Duration)
	// Failed and Regained tell of the platform getting out of reach and back.
	Failed   func(error)
	Regained func()
}

// Follower reads until its context ends.
type Follower struct {
	settings Config
	reread   bool
	failing  bool
}

// New starts to follow the platform.
func New(ctx context.Context, settings Config) *Follower {
	f := &Follower{settings: settings}
	go func() { f.follow(ctx) }()
	return f
}

func (f *Follower) follow(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		need := f.settings.Need()
		switch need {
		case Nothing:
			sleep(ctx, idlePause)
			continue
		case Soon:
			sleep(ctx, soonPause)
			continue
		}
		since, _ := f.settings.Since()
		reading, err := f.call(ctx, need)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.succeed(reading)
			pause = retryFirst
			if reading.Delta.To > since {
				sleep(ctx, changePause)
			}
		case errors.Is(err, ErrHistoryLost) && !f.reread:
			f.reread = true
			continue
		default:
			f.fail(err)
			sleep(ctx, vary(pause))
			pause = min(2*pause, retryMost)
		}
		if need == Glance {
			f.rest(ctx, vary(f.glancePause(err)))
		}
	}
}

// glancePause returns the time until a balancer that does not read for the fleet asks
// again. While the platform is away the whole fleet would, and the readers ask anyway.
func (f *Follower) glancePause(err error) time.Duration {
	if err == nil || f.settings.FailedPause == nil {
		return glancePause
	}
	return max(glancePause, f.settings.FailedPause())
}

// rest sleeps for a span, or until more than a glance is needed.
func (f *Follower) rest(ctx context.Context, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end) && f.settings.Need() != Follow && ctx.Err() == nil; {
		sleep(ctx, min(idlePause, time.Until(end)))
	}
}

// vary returns a span that differs by up to a half, so that balancers do not call at
// the same time.
func vary(span time.Duration) time.Duration {
	return span/2 + time.Duration(rand.Int64N(int64(span)))
}

// call reads everything once, and from then on what has changed. While calls fail it
// does not wait for changes, so that the platform's return is noticed at once.
func (f *Follower) call(ctx context.Context, need Need) (Reading, error) {
	since, loaded := f.settings.Since()
	if !loaded || f.reread {
		ctx, cancel := context.WithTimeout(ctx, readLimit)
		defer cancel()
		defer f.time(time.Now())
		reading, err := f.settings.Store.Read(ctx)
		if err != nil {
			return Reading{}, fmt.Errorf("source: read everything: %w", err)
		}
		f.reread = false
		return reading, nil
	}
	wait := watchSpan
	if need == Glance || f.failing {
		wait = glanceSpan
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerLimit)
	defer cancel()
	if wait == glanceSpan {
		defer f.time(time.Now())
	}
	reading, err := f.settings.Store.Watch(ctx, since, wait)
	if err != nil {
		return Reading{}, fmt.Errorf("source: watch since %d: %w", since, err)
	}
	return reading, nil
}

func (f *Follower) time(began time.Time) {
	if f.settings.Called != nil {
		f.settings.Called(time.Since(began))
	}
}

func (f *Follower) succeed(reading Reading) {
	if f.failing {
		f.failing = false
		f.settings.Regained()
	}
	f.settings.Take(reading)
}

func (f *Follower) fail(err error) {
	if !f.failing {
		f.failing = true
		f.settings.Failed(err)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
