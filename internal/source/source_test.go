package source_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
)

// platform is a store that misbehaves as told. It is used by the follower's goroutine
// and, between its calls, by the test.
type platform struct {
	revision state.Revision
	// answer, if set, takes the place of the usual answer.
	answer  func(ctx context.Context) error
	reads   int
	watches int
	took    []state.Delta
	loaded  bool
	need    source.Need
	lost    int
	back    int
}

func (p *platform) Read(ctx context.Context) (source.Reading, error) {
	p.reads++
	if p.answer != nil {
		return source.Reading{}, p.answer(ctx)
	}
	return source.Reading{Delta: state.Delta{Full: true, To: p.revision}}, nil
}

func (p *platform) Watch(ctx context.Context, since state.Revision, wait time.Duration) (source.Reading, error) {
	p.watches++
	if p.answer != nil {
		return source.Reading{}, p.answer(ctx)
	}
	for end := time.Now().Add(wait); p.revision <= since && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return source.Reading{Delta: state.Delta{From: since, To: p.revision}}, nil
}

func (p *platform) follow(ctx context.Context) {
	source.New(ctx, source.Config{
		Store: p,
		Need:  func() source.Need { return p.need },
		Since: func() (state.Revision, bool) {
			if len(p.took) == 0 {
				return 0, p.loaded
			}
			return p.took[len(p.took)-1].To, true
		},
		Take:     func(reading source.Reading) { p.took = append(p.took, reading.Delta) },
		Failed:   func(error) { p.lost++ },
		Regained: func() { p.back++ },
	})
}

func (p *platform) newest() state.Revision { return p.took[len(p.took)-1].To }

func silent(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func play(t *testing.T, need source.Need, test func(is *is.I, p *platform)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := &platform{revision: 5, need: need}
		p.follow(ctx)
		test(is.New(t), p)
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestReaderFollowsChanges(t *testing.T) {
	play(t, source.Follow, func(is *is.I, p *platform) {
		time.Sleep(time.Second)
		is.Equal(p.newest(), state.Revision(5))
		p.revision = 6
		time.Sleep(10 * time.Millisecond)
		is.Equal(p.newest(), state.Revision(6))
		p.revision = 7 // comes in a group with the one before
		time.Sleep(210 * time.Millisecond)
		is.Equal(p.newest(), state.Revision(7))
		before := p.watches
		time.Sleep(20 * time.Second)
		is.True(p.watches-before <= 11) // one each watch's span
	})
}

func TestSilentStoreIsNoticedAndItsReturnToo(t *testing.T) {
	play(t, source.Follow, func(is *is.I, p *platform) {
		time.Sleep(time.Second)
		p.answer = silent
		time.Sleep(10 * time.Second)
		is.Equal(p.lost, 1)
		p.revision, p.answer = 9, nil
		time.Sleep(1500 * time.Millisecond)
		is.Equal(p.newest(), state.Revision(9))
		is.Equal(p.back, 1)
	})
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	play(t, source.Follow, func(is *is.I, p *platform) {
		time.Sleep(time.Second)
		p.answer = func(context.Context) error { return source.ErrHistoryLost }
		time.Sleep(3 * time.Second)
		p.revision, p.answer = 40, nil
		time.Sleep(2 * time.Second)
		is.True(p.took[len(p.took)-1].Full || p.newest() == 40)
		is.True(p.reads >= 2)
		is.Equal(p.newest(), state.Revision(40))
	})
}

func TestRefusalsAreNotRepeatedInAHurry(t *testing.T) {
	play(t, source.Follow, func(is *is.I, p *platform) {
		p.answer = func(context.Context) error { return errors.New("status 503") }
		time.Sleep(10 * time.Second)
		is.True(p.reads > 10 && p.reads < 45)
	})
}

func TestGlancesAreFew(t *testing.T) {
	play(t, source.Glance, func(is *is.I, p *platform) {
		time.Sleep(10 * time.Second)
		calls := p.reads + p.watches
		is.True(calls >= 6 && calls <= 20)
	})
}

func TestNothingIsReadWithoutNeed(t *testing.T) {
	play(t, source.Nothing, func(is *is.I, p *platform) {
		time.Sleep(10 * time.Second)
		is.Equal(p.reads+p.watches, 0)
	})
}
