package source_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
)

// fault is what a faultyStore does to calls.
type fault string

const (
	noFault    fault = "none"
	refuses    fault = "refuses"
	hangs      fault = "hangs"
	cutsOff    fault = "cuts off"
	trickles   fault = "trickles"
	neverEnds  fault = "never ends"
	sendsOther fault = "sends garbage"
)

// faultyStore is a store with a limited history behind a slow link, whose responses fail as the
// test says. Sizes are in bytes.
type faultyStore struct {
	mu       sync.Mutex
	revision state.Revision
	// oldest is the oldest revision from which the history is complete.
	oldest state.Revision
	// sizes has the size of each change, stateSize is that of everything.
	sizes     map[state.Revision]int
	stateSize int
	fault     fault
}

const (
	linkBytesPerSecond  = 1_250_000 // 10 Mbit/s
	trickleBytesPerSec  = 20_000
	responseBytesAtOnce = 200
)

// change adds a change of a size.
func (s *faultyStore) change(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.sizes[s.revision] = size
}

func (s *faultyStore) set(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *faultyStore) forgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
}

// respond waits for as long as a response of a size takes, and returns its error.
func (s *faultyStore) respond(ctx context.Context, size int) error {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	rate := linkBytesPerSecond
	switch f {
	case refuses:
		return errors.New("connection refused")
	case hangs:
		<-ctx.Done()
		return ctx.Err()
	case cutsOff, sendsOther:
		return fmt.Errorf("%s: %w", f, source.ErrUnreadable)
	case trickles:
		rate = trickleBytesPerSec
	case neverEnds:
		<-ctx.Done()
		return fmt.Errorf("%w: %w", source.ErrUnreadable, ctx.Err())
	}
	select {
	case <-time.After(4*time.Millisecond + time.Second*time.Duration(size+responseBytesAtOnce)/time.Duration(rate)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", source.ErrUnreadable, ctx.Err())
	}
}

func (s *faultyStore) current() (revision, oldest state.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.oldest
}

// sizeSince returns the size of the changes since a revision.
func (s *faultyStore) sizeSince(since state.Revision) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for revision := since + 1; revision <= s.revision; revision++ {
		size += s.sizes[revision]
	}
	return size
}

func (s *faultyStore) Read(ctx context.Context, timeout time.Duration) (source.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, _ := s.current()
	if err := s.respond(ctx, s.stateSize); err != nil {
		return source.Result{}, err
	}
	return source.Result{Delta: state.Delta{Full: true, To: revision}}, nil
}

func (s *faultyStore) Watch(ctx context.Context, since state.Revision, limits source.WatchLimits) (source.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.Wait+limits.Timeout)
	defer cancel()
	revision, oldest := s.current()
	for end := time.Now().Add(limits.Wait); revision <= since && time.Now().Before(end) && ctx.Err() == nil; revision, oldest = s.current() {
		time.Sleep(10 * time.Millisecond)
	}
	if since < oldest {
		return source.Result{}, source.ErrHistoryLost
	}
	size := s.sizeSince(since)
	if int64(size) > limits.Bytes {
		return source.Result{}, source.ErrTooLarge
	}
	if err := s.respond(ctx, size); err != nil {
		return source.Result{}, err
	}
	return source.Result{Delta: state.Delta{From: since, To: revision}}, nil
}

// Bounds of the platform: a balancer is in touch again once the faults have ended for
// stableWindow, and has to be current within propagationBound from then on.
const (
	stableWindow     = 4 * time.Second
	propagationBound = 3 * time.Second
)

// Whatever the store's history and failures were, a reader is current within the bound after the
// faults have ended. Retries of a call that could not succeed broke this.
func TestPropertyReaderBecomesCurrent(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			store := &faultyStore{revision: 5, sizes: make(map[state.Revision]int), fault: noFault}
			store.stateSize = rapid.IntRange(1_000, 2_500_000).Draw(r, "state size")
			var mu sync.Mutex
			var reached state.Revision
			source.New(ctx, source.Config{
				Store: store, Mode: func() source.Mode { return source.ModeWatch },
				Revision: func() (state.Revision, bool) {
					mu.Lock()
					defer mu.Unlock()
					return reached, reached > 0
				},
				OnResult: func(result source.Result) {
					mu.Lock()
					defer mu.Unlock()
					reached = max(reached, result.Delta.To)
				},
				OnUnreachable: func(error) {}, OnReachable: func() {},
			})
			faults := []fault{noFault, refuses, hangs, cutsOff, trickles, neverEnds, sendsOther}
			for range rapid.IntRange(1, 8).Draw(r, "steps") {
				store.set(rapid.SampledFrom(faults).Draw(r, "fault"))
				for range rapid.IntRange(0, 12).Draw(r, "changes") {
					store.change(rapid.IntRange(100, 1_400_000).Draw(r, "size"))
				}
				if rapid.IntRange(0, 3).Draw(r, "history") == 0 {
					store.forgetHistory()
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 6000).Draw(r, "span")) * time.Millisecond)
			}
			store.set(noFault)
			time.Sleep(stableWindow)
			store.change(300)
			want, _ := store.current()
			time.Sleep(propagationBound)
			mu.Lock()
			got := reached
			mu.Unlock()
			cancel()
			time.Sleep(time.Minute)
			if got < want {
				r.Fatalf("the reader is at revision %d, the store at %d", got, want)
			}
		})
	})
}
