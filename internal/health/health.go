// Package health judges single backend servers from what a balancer sees of them.
//
// A server is suspected when a flow's first packet or a repeated packet finds no
// answer, and it is dead when an active check fails twice in a row besides. Any sign
// of life since the first strike withdraws both. Passive signs alone were rejected: a
// lossy link gives them of live servers, and flows of a dead server are reset. Active
// checks alone were rejected: they cost a connection each, all the time.
//
// A check without any answer may also mean that the balancer's own link or processor is
// the trouble. The caller says so, and the server is only unreachable then: it gets no
// new flows, and keeps those it has.
package health

import "time"

// State is what is believed of a backend server.
type State string

// The states of a backend server.
const (
	Alive     State = "Alive"
	Suspected State = "Suspected"
	// Unreachable servers do not answer here, but may well live.
	Unreachable State = "Unreachable"
	Dead        State = "Dead"
)

// Result is the outcome of an active check.
type Result string

// The outcomes of an active check.
const (
	Answered Result = "Answered"
	// Refused: the instance answered that nothing listens there.
	Refused Result = "Refused"
	Silent  Result = "Silent"
)

const (
	// failuresToDie is how many active checks in a row must fail. One may be lost
	// with a packet.
	failuresToDie = 2
	// checkPause lies between two checks of a suspected server, so that one burst of
	// lost packets does not fail both.
	checkPause = 50 * time.Millisecond
	// unreachablePause lies between two checks of an unreachable server: what kept the
	// balancer from judging it may be over.
	unreachablePause = 200 * time.Millisecond
	// deadPause lies between two checks of a dead server, to find its return.
	deadPause = 700 * time.Millisecond
	// calmSpan is how long a server that answered a check stays suspected without a
	// sign of life from a flow: it may be full, and sends nothing then. It doubles
	// each time that flows are not answered after all: the address may be another
	// server's by now.
	calmSpan = 400 * time.Millisecond
	// calmDoublings bounds that, at 6.4 s.
	calmDoublings = 4
)

// Health is what is known of one backend server. The zero value is alive.
type Health struct {
	state     State
	certain   bool
	failures  int
	checking  bool
	lastSign  time.Time
	since     time.Time
	nextCheck time.Time
	calmAt    time.Time
	// doubts counts answered checks since the last sign of life.
	doubts int
}

// State returns what is believed.
func (h *Health) State() State {
	if h.state == "" {
		return Alive
	}
	return h.state
}

// Certain reports whether a dead server's process has surely ended, rather than
// being out of reach.
func (h *Health) Certain() bool { return h.state == Dead && h.certain }

// LastSign returns when the server last showed life, or the zero time.
func (h *Health) LastSign() time.Time { return h.lastSign }

// Sign takes a sign of life in: a handshake that ended or an answer that a caller
// acknowledged.
func (h *Health) Sign(now time.Time) {
	h.lastSign = now
	h.doubts = 0
	if h.state != Alive && h.state != "" {
		h.revive()
	}
}

func (h *Health) revive() {
	h.state = Alive
	h.failures = 0
	h.certain = false
	h.calmAt = time.Time{}
}

// Strike takes in that a packet sent at the given time found no answer. It returns
// true if the server is suspected from now on. A packet that was sent before the
// last sign of life says nothing.
func (h *Health) Strike(sent, now time.Time) bool {
	if !h.lastSign.IsZero() && h.lastSign.After(sent) || h.State() != Alive {
		return false
	}
	h.state = Suspected
	h.since = now
	h.failures = 0
	h.nextCheck = now
	h.calmAt = time.Time{}
	return true
}

// NeedsCheck reports whether an active check is to start now, and notes that it has.
func (h *Health) NeedsCheck(now time.Time) bool {
	if h.State() == Alive || h.checking || now.Before(h.nextCheck) {
		return false
	}
	if h.state == Suspected && !h.calmAt.IsZero() {
		if !now.Before(h.calmAt) {
			h.revive()
		}
		return false
	}
	h.checking = true
	return true
}

// Failures returns how many checks in a row have failed since the server was suspected.
func (h *Health) Failures() int { return h.failures }

// Vouch takes in that another balancer reaches the server. It returns true if the server
// is no longer dead.
func (h *Health) Vouch() bool {
	if h.state != Dead || h.certain {
		return false
	}
	h.state = Unreachable
	return true
}

// Checked takes the outcome of a check in. It returns true if the server is dead from
// now on. With doubt set, a silent check may be due to this balancer.
func (h *Health) Checked(result Result, doubt bool, now time.Time) bool {
	h.checking = false
	if result == Answered {
		if h.State() != Alive {
			h.state, h.failures, h.certain = Suspected, 0, false
			h.calmAt = now.Add(calmSpan << min(h.doubts, calmDoublings))
			h.doubts++
		}
		return false
	}
	if h.State() == Alive {
		return false
	}
	if h.state == Dead {
		h.certain = h.certain || result == Refused
		h.nextCheck = now.Add(deadPause)
		return false
	}
	h.failures++
	h.nextCheck = now.Add(checkPause)
	if h.failures < failuresToDie {
		return false
	}
	if doubt && result != Refused {
		h.state = Unreachable
		h.nextCheck = now.Add(unreachablePause)
		return false
	}
	h.state, h.certain, h.since = Dead, result == Refused, now
	h.nextCheck = now.Add(deadPause)
	return true
}
