// Package health judges a backend server from what one balancer observes of it.
//
// A server is suspected after a passive failure: the first packet of a flow or a
// retransmitted packet gets no answer. It is dead if two active checks in a row then
// fail as well. Any passive success since the failure makes it alive again. Passive
// failures alone were rejected as proof of death: a lossy link causes them for live
// servers, and the flows of a dead server are reset. Active checks alone were
// rejected because each costs a connection, and they would run all the time.
//
// A check without an answer may also be due to the balancer's own link or processor.
// The caller reports this as an inconclusive check, and the server is then only
// unreachable: it gets no new flows and keeps its open ones.
package health

import "time"

// State is the state of a backend server as known to a balancer.
type State string

// The states of a backend server.
const (
	Alive     State = "Alive"
	Suspected State = "Suspected"
	// Unreachable servers do not answer this balancer but may be alive.
	Unreachable State = "Unreachable"
	Dead        State = "Dead"
)

// Result is the outcome of an active check.
type Result string

// The outcomes of an active check.
const (
	// Answered means that the server accepted a connection.
	Answered Result = "Answered"
	// Refused means that the instance answered, but nothing listens on the port.
	Refused Result = "Refused"
	// Silent means that there was no answer within the timeout of the check.
	Silent Result = "Silent"
)

const (
	// failuresUntilDead is the number of active checks in a row that must fail. A
	// single check may fail because of a lost packet.
	failuresUntilDead = 2
	// checkInterval is the time between two checks of a suspected server, so that one
	// burst of packet loss does not fail both.
	checkInterval = 50 * time.Millisecond
	// unreachableCheckInterval is the time between two checks of an unreachable
	// server. The fault that made its checks inconclusive may be short.
	unreachableCheckInterval = 200 * time.Millisecond
	// deadCheckInterval is the time between two checks of a dead server, which detect
	// its return.
	deadCheckInterval = 700 * time.Millisecond
	// recoveryDelay is how long a server that answered a check stays suspected
	// without a passive success: a full server answers no flows for a while. The
	// delay doubles each time that flows then get no answer after all, as the address
	// may belong to another server by now.
	recoveryDelay = 400 * time.Millisecond
	// maxRecoveryDoublings limits the delay to 6.4 s.
	maxRecoveryDoublings = 4
)

// Health is the state of one backend server. The zero value is alive.
type Health struct {
	state        State
	processEnded bool
	failedChecks int
	checking     bool
	lastSuccess  time.Time
	// suspectedAt is the time at which the server last became suspected.
	suspectedAt time.Time
	nextCheck   time.Time
	recoverAt   time.Time
	// unconfirmedRecoveries is the number of answered checks since the last passive
	// success.
	unconfirmedRecoveries int
}

// State returns the current state.
func (h *Health) State() State {
	if h.state == "" {
		return Alive
	}
	return h.state
}

// ProcessEnded reports whether a dead server's process is known to have ended, as
// opposed to being out of reach.
func (h *Health) ProcessEnded() bool { return h.state == Dead && h.processEnded }

// LastSuccess returns the time of the last passive success, or the zero time.
func (h *Health) LastSuccess() time.Time { return h.lastSuccess }

// RecordSuccess records a passive success: the end of a handshake, or an answer that
// a caller acknowledged.
func (h *Health) RecordSuccess(now time.Time) {
	h.lastSuccess = now
	h.unconfirmedRecoveries = 0
	if h.state != Alive && h.state != "" {
		h.markAlive()
	}
}

// SuspectedAt returns the time at which the server last became suspected, or the zero time.
func (h *Health) SuspectedAt() time.Time { return h.suspectedAt }

func (h *Health) markAlive() {
	h.state = Alive
	h.failedChecks = 0
	h.processEnded = false
	h.recoverAt = time.Time{}
}

// RecordFailure records a passive failure: a packet sent at sentAt got no answer. It
// reports whether the server has become suspected. A packet that was sent before the
// last success is ignored.
func (h *Health) RecordFailure(sentAt, now time.Time) bool {
	if !h.lastSuccess.IsZero() && h.lastSuccess.After(sentAt) || h.State() != Alive {
		return false
	}
	h.state = Suspected
	h.suspectedAt = now
	h.failedChecks = 0
	h.nextCheck = now
	h.recoverAt = time.Time{}
	return true
}

// StartCheckIfDue reports whether an active check must start now. If so, no other
// check is due until its result is recorded with RecordCheck. A suspected server that
// answered a check becomes alive here when its recovery delay is over.
func (h *Health) StartCheckIfDue(now time.Time) bool {
	if h.State() == Alive || h.checking || now.Before(h.nextCheck) {
		return false
	}
	if h.state == Suspected && !h.recoverAt.IsZero() {
		if !now.Before(h.recoverAt) {
			h.markAlive()
		}
		return false
	}
	h.checking = true
	return true
}

// FailedChecks returns the number of failed checks in a row since the server became
// suspected.
func (h *Health) FailedChecks() int { return h.failedChecks }

// RecordPeerSuccess records that another balancer reaches the server. It reports
// whether the server was dead and has become unreachable.
func (h *Health) RecordPeerSuccess() bool {
	if h.state != Dead || h.processEnded {
		return false
	}
	h.state = Unreachable
	return true
}

// ConfirmDead records that the failed checks of an unreachable server were conclusive after all,
// because another balancer gets no answer from it either. It reports whether the server has become
// dead.
func (h *Health) ConfirmDead(now time.Time) bool {
	if h.state != Unreachable || h.failedChecks < failuresUntilDead {
		return false
	}
	h.state, h.processEnded = Dead, false
	h.nextCheck = now.Add(deadCheckInterval)
	return true
}

// RecordCheck records the result of a check. It reports whether the server has become
// dead. If inconclusive is set, a check without an answer may be due to a fault of
// this balancer.
func (h *Health) RecordCheck(result Result, inconclusive bool, now time.Time) bool {
	h.checking = false
	if result == Answered {
		if h.State() != Alive {
			h.state, h.failedChecks, h.processEnded = Suspected, 0, false
			h.recoverAt = now.Add(recoveryDelay << min(h.unconfirmedRecoveries, maxRecoveryDoublings))
			h.unconfirmedRecoveries++
		}
		return false
	}
	if h.State() == Alive {
		return false
	}
	if h.state == Dead {
		h.processEnded = h.processEnded || result == Refused
		h.nextCheck = now.Add(deadCheckInterval)
		return false
	}
	h.failedChecks++
	h.nextCheck = now.Add(checkInterval)
	if h.failedChecks < failuresUntilDead {
		return false
	}
	if inconclusive && result != Refused {
		h.state = Unreachable
		h.nextCheck = now.Add(unreachableCheckInterval)
		return false
	}
	h.state, h.processEnded = Dead, result == Refused
	h.nextCheck = now.Add(deadCheckInterval)
	return true
}
