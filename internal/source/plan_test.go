package source

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"
)

// A watch that failed because its response was too large was repeated until the platform's
// history ended, while the response grew. Each row is a result after which the next call has to
// be one that can succeed.
func TestNextCallCanSucceed(t *testing.T) {
	var (
		refused    = errors.New("connection refused")
		cutOff     = fmt.Errorf("read: %w", ErrUnreadable)
		slow       = fmt.Errorf("read: %w: %w", ErrUnreadable, context.DeadlineExceeded)
		noResponse = fmt.Errorf("do: %w", context.DeadlineExceeded)
		tooLarge   = fmt.Errorf("watch: %w", ErrTooLarge)
		lost       = fmt.Errorf("watch: %w", ErrHistoryLost)
	)
	type step struct {
		made    call
		err     error
		atOnce  bool
		next    call
		timeout time.Duration
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"success", []step{{watchCall, nil, false, watchCall, responseTimeout}}},
		{"no connection", []step{{watchCall, refused, false, watchCall, responseTimeout}}},
		{"no response", []step{{watchCall, noResponse, false, watchCall, responseTimeout}, {watchCall, noResponse, false, watchCall, responseTimeout}}},
		{"too large", []step{{watchCall, tooLarge, true, readCall, responseTimeout}, {readCall, nil, false, watchCall, responseTimeout}}},
		{"history lost", []step{{watchCall, lost, true, readCall, responseTimeout}, {readCall, refused, false, readCall, responseTimeout}, {readCall, nil, false, watchCall, responseTimeout}}},
		{"history lost, then cut off", []step{{watchCall, lost, true, readCall, responseTimeout}, {readCall, cutOff, false, readCall, responseTimeout}}},
		{"cut off", []step{{watchCall, cutOff, false, readCall, responseTimeout}, {readCall, cutOff, false, watchCall, responseTimeout}, {watchCall, cutOff, false, readCall, responseTimeout}}},
		{"slow", []step{{watchCall, slow, false, readCall, 2 * responseTimeout}, {readCall, slow, false, watchCall, 4 * responseTimeout}, {watchCall, slow, false, readCall, 8 * responseTimeout}, {readCall, slow, false, watchCall, 8 * responseTimeout}, {watchCall, nil, false, watchCall, responseTimeout}}},
		{"first read is slow", []step{{readCall, slow, false, watchCall, 2 * responseTimeout}}},
		{"full read is told that history is lost", []step{{readCall, lost, false, watchCall, responseTimeout}}},
	}
	for _, c := range cases {
		var p plan
		for index, s := range c.steps {
			atOnce := p.record(s.made, s.err)
			next, timeout := p.next(true)
			if atOnce != s.atOnce || next != s.next || timeout != s.timeout {
				t.Errorf("%s, step %d: got %v, %s within %s, want %+v", c.name, index, atOnce, next, timeout, s)
			}
		}
	}
}

func TestFirstCallIsAFullRead(t *testing.T) {
	var p plan
	for _, err := range []error{nil, errors.New("refused"), ErrUnreadable} {
		if next, _ := p.next(false); next != readCall {
			t.Errorf("the call after %v is a %s", err, next)
		}
		p.record(readCall, err)
	}
}
