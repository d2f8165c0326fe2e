package source

// This file decides on the next call to the platform from the results of the previous ones.
//
// A call that has failed must not be repeated forever if it cannot succeed. A watch from a
// revision that the platform has forgotten, or whose response exceeds a limit, fails in the same
// way each time, and the response grows while it is retried. It is therefore followed by a full
// read at once. A response that began and could not be used may have been too long for its
// time-out, so the next call is a full read with twice the time-out, and watches and full reads
// alternate from then on until one succeeds. A platform that does not respond at all is called
// with the same short time-out again, because a longer one would delay the detection of its
// recovery.

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrHistoryLost is returned by Store.Watch if the platform's history no longer reaches back
	// to the given revision, or does not contain it because the platform was restored from an
	// older copy. A full read is required then.
	ErrHistoryLost = errors.New("source: history is no longer available")
	// ErrTooLarge is returned by Store.Watch if the response exceeds the client's limit. A full
	// read is required then.
	ErrTooLarge = errors.New("source: response is too large")
	// ErrUnreadable is returned by a Store if a response has begun and is incomplete, invalid or
	// too slow.
	ErrUnreadable = errors.New("source: response cannot be used")
)

const (
	// responseTimeout is the time that the platform has for a response, in addition to the
	// time for which it holds a watch back. It usually responds in 4 ms, at worst in 64 times
	// that.
	responseTimeout = 700 * time.Millisecond
	// maxTimeoutDoublings limits the time-out to 5.6 s, in which a link of 10 Mbit/s transfers
	// 7 MB.
	maxTimeoutDoublings = 3
)

// call is a kind of call to the platform.
type call string

// The calls.
const (
	watchCall call = "Watch"
	readCall  call = "Read"
)

// plan is the state from which the next call follows. The zero value is ready to use.
type plan struct {
	// historyLost is set while a watch cannot succeed.
	historyLost bool
	// alternate is set if the next call is to be the other one than usual, because the last
	// response could not be used.
	alternate bool
	// timeoutDoublings is how often the time-out has been doubled.
	timeoutDoublings int
}

// next returns the next call and its time-out, without the time for which a watch is held back.
func (p *plan) next(hasRevision bool) (call, time.Duration) {
	timeout := responseTimeout << p.timeoutDoublings
	if !hasRevision || p.historyLost || p.alternate {
		return readCall, timeout
	}
	return watchCall, timeout
}

// record updates the plan with the result of a call. It reports whether the next call is to
// follow at once.
func (p *plan) record(made call, err error) (atOnce bool) {
	switch {
	case err == nil:
		*p = plan{}
		return false
	case made == watchCall && (errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrTooLarge)):
		p.historyLost = true
		return true
	case errors.Is(err, ErrUnreadable):
		p.alternate = made == watchCall
		if errors.Is(err, context.DeadlineExceeded) {
			p.timeoutDoublings = min(p.timeoutDoublings+1, maxTimeoutDoublings)
		}
	}
	return false
}
