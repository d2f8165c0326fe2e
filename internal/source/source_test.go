package source_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
)

// fakeStore is a store whose responses the test controls. It also records the callbacks of
// the watcher that uses it.
type fakeStore struct {
	// mu guards all fields, which the watcher's goroutine and the test share.
	mu       sync.Mutex
	revision state.Revision
	// respond, if set, replaces the regular response.
	respond func(ctx context.Context) error
	reads   int
	watches int
	deltas  []state.Delta
	loaded  bool
	mode    source.Mode
	// failedPollInterval is the watcher's FailedPollInterval.
	failedPollInterval time.Duration
	unreachableCount   int
	reachableCount     int
}

// withLock calls a function while holding the mutex.
func (s *fakeStore) withLock(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run()
}

// countCall increments a call counter. It returns the current response function and revision.
func (s *fakeStore) countCall(count *int) (respond func(context.Context) error, revision state.Revision) {
	s.withLock(func() {
		*count++
		respond, revision = s.respond, s.revision
	})
	return respond, revision
}

func (s *fakeStore) Read(ctx context.Context, timeout time.Duration) (source.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	respond, revision := s.countCall(&s.reads)
	if respond != nil {
		return source.Result{}, respond(ctx)
	}
	return source.Result{Delta: state.Delta{Full: true, To: revision}}, nil
}

func (s *fakeStore) Watch(ctx context.Context, since state.Revision, limits source.WatchLimits) (source.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.Wait+limits.Timeout)
	defer cancel()
	respond, revision := s.countCall(&s.watches)
	if respond != nil {
		return source.Result{}, respond(ctx)
	}
	for end := time.Now().Add(limits.Wait); revision <= since && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		s.withLock(func() { revision = s.revision })
	}
	return source.Result{Delta: state.Delta{From: since, To: revision}}, nil
}

func (s *fakeStore) startWatcher(ctx context.Context) {
	source.New(ctx, source.Config{
		Store: s,
		Mode: func() (mode source.Mode) {
			s.withLock(func() { mode = s.mode })
			return mode
		},
		FailedPollInterval: func() time.Duration { return s.failedPollInterval },
		Revision: func() (state.Revision, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.deltas) == 0 {
				return 0, s.loaded
			}
			return s.deltas[len(s.deltas)-1].To, true
		},
		OnResult: func(result source.Result) {
			s.withLock(func() { s.deltas = append(s.deltas, result.Delta) })
		},
		OnUnreachable: func(error) { s.withLock(func() { s.unreachableCount++ }) },
		OnReachable:   func() { s.withLock(func() { s.reachableCount++ }) },
	})
}

// snapshot returns the number of calls and callbacks so far and the latest revision that the
// watcher received.
func (s *fakeStore) snapshot() (c counts) {
	s.withLock(func() {
		c = counts{reads: s.reads, watches: s.watches, unreachable: s.unreachableCount, reachable: s.reachableCount}
		if len(s.deltas) > 0 {
			c.revision = s.deltas[len(s.deltas)-1].To
		}
	})
	return c
}

type counts struct {
	reads, watches, unreachable, reachable int
	revision                               state.Revision
}

// setResponse sets the store's revision and response function. If the function is nil, the
// store responds regularly.
func (s *fakeStore) setResponse(revision state.Revision, respond func(context.Context) error) {
	s.withLock(func() { s.revision, s.respond = revision, respond })
}

func blockUntilTimeout(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// runWatcher runs a test with a watcher of a fakeStore at revision 5, with fake time.
func runWatcher(t *testing.T, mode source.Mode, test func(is *is.I, store *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := &fakeStore{revision: 5, mode: mode}
		store.startWatcher(ctx)
		test(is.New(t), store)
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestWatcherReportsChanges(t *testing.T) {
	runWatcher(t, source.ModeWatch, func(is *is.I, store *fakeStore) {
		time.Sleep(time.Second)
		is.Equal(store.snapshot().revision, state.Revision(5))
		store.setResponse(6, nil)
		time.Sleep(10 * time.Millisecond)
		is.Equal(store.snapshot().revision, state.Revision(6))
		store.setResponse(7, nil) // follows the previous change within changeDelay
		time.Sleep(210 * time.Millisecond)
		is.Equal(store.snapshot().revision, state.Revision(7))
		before := store.snapshot().watches
		time.Sleep(20 * time.Second)
		is.True(store.snapshot().watches-before <= 11) // one per watchTimeout
	})
}

func TestUnresponsiveStoreAndItsRecoveryAreReported(t *testing.T) {
	runWatcher(t, source.ModeWatch, func(is *is.I, store *fakeStore) {
		time.Sleep(time.Second)
		store.setResponse(5, blockUntilTimeout)
		time.Sleep(10 * time.Second)
		is.Equal(store.snapshot().unreachable, 1)
		store.setResponse(9, nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(store.snapshot().revision, state.Revision(9))
		is.Equal(store.snapshot().reachable, 1)
	})
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	runWatcher(t, source.ModeWatch, func(is *is.I, store *fakeStore) {
		time.Sleep(time.Second)
		store.setResponse(5, func(context.Context) error { return source.ErrHistoryLost })
		time.Sleep(3 * time.Second)
		store.setResponse(40, nil)
		time.Sleep(2 * time.Second)
		is.True(store.snapshot().reads >= 2)
		is.Equal(store.snapshot().revision, state.Revision(40))
	})
}

func TestErrorsAreRetriedWithBackoff(t *testing.T) {
	runWatcher(t, source.ModeWatch, func(is *is.I, store *fakeStore) {
		store.setResponse(5, func(context.Context) error { return errors.New("status 503") })
		time.Sleep(10 * time.Second)
		calls := store.snapshot().reads + store.snapshot().watches
		is.True(calls > 10 && calls < 45)
	})
}

func TestPollsAreRateLimited(t *testing.T) {
	runWatcher(t, source.ModePoll, func(is *is.I, store *fakeStore) {
		time.Sleep(10 * time.Second)
		calls := store.snapshot().reads + store.snapshot().watches
		is.True(calls >= 6 && calls <= 20)
	})
}

// While the platform is unreachable, FailedPollInterval limits the polls, because otherwise
// hundreds of balancers would poll every second. A balancer that becomes a reader meanwhile
// calls at once.
func TestFailedPollIntervalLimitsCalls(t *testing.T) {
	runWatcher(t, source.ModePoll, func(is *is.I, store *fakeStore) {
		time.Sleep(3 * time.Second)
		store.withLock(func() { store.failedPollInterval = 10 * time.Second })
		store.setResponse(5, func(context.Context) error { return errors.New("status 503") })
		before := store.snapshot().watches
		time.Sleep(20 * time.Second)
		is.True(store.snapshot().watches-before <= 6)
		store.setResponse(6, nil)
		store.withLock(func() { store.mode = source.ModeWatch })
		time.Sleep(300 * time.Millisecond)
		is.Equal(store.snapshot().revision, state.Revision(6))
	})
}

func TestIdleModeMakesNoCalls(t *testing.T) {
	runWatcher(t, source.ModeIdle, func(is *is.I, store *fakeStore) {
		time.Sleep(10 * time.Second)
		is.Equal(store.snapshot().reads+store.snapshot().watches, 0)
	})
}
