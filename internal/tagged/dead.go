package tagged

// This file decides which flows of a dead server are reset.
//
// A reset lets the caller open another flow, and ends the request that is in progress, if any. The
// caller repeats an idempotent request. It does not repeat any other request that a server may have
// run, so such a request is ended only if it cannot be answered any more:
//
//	                      server's process    server out of reach
//	route, request        has ended           (checks get no answer)
//	idempotent, any       reset               reset
//	other, none           reset               reset
//	other, in progress    reset               kept until the caller gives up
//	other, new            reset               reset
//
// Flows without a request in progress are reset as soon as the server is dead, not when the next
// request arrives: that request would be lost, because the caller cannot know that it has not run.
// A request that arrives all the same is answered by a reset at once, as it cannot be served.
// Flows of servers that are suspected or unreachable, but not dead, are never reset.
//
// Whether a request is in progress is seen from the caller's packets only. An answer that fits one
// packet is acknowledged later, and the flow may have moved to another balancer meanwhile, so a
// missing acknowledgment says little. A request counts as answered if it was sent long enough before
// the last sign of life of the server or of its failure domain. Keeping all flows of routes that are not idempotent was rejected: their
// callers send the next request into the dead flow and wait for it until their deadline.

import "time"

// answerBound is the time within which servers answer nearly all requests: the longest ones take
// 430 ms.
const answerBound = 450 * time.Millisecond

// crashNoticeTime is the assumed time from a server's end to the first failure that is noticed.
const crashNoticeTime = 500 * time.Millisecond

// processEnded reports whether the server's process is known to have ended, so that it cannot answer
// any more.
func (t *target) processEnded() bool { return t.entry.AddressReused || t.health.ProcessEnded() }

// canReset reports whether a flow of a dead server may be reset.
func (c *Core) canReset(r *record, t *target) bool {
	return t.processEnded() || r.idempotent || !r.opened || !c.requestMayBeInProgress(r, t)
}

// requestMayBeInProgress reports whether a dead server may have a request of the flow that its
// caller still waits for.
func (c *Core) requestMayBeInProgress(r *record, t *target) bool {
	if !r.unanswered || r.sentAt.Add(answerBound).Before(c.lastSignOfLife(t)) {
		return false
	}
	// The caller has given up if the route's timeout has passed.
	route := c.table.Route(r.key.Listen)
	return route == nil || route.Timeout == 0 || c.now.Sub(r.sentAt) < route.Timeout
}

// lastSignOfLife returns the time until which a dead server is assumed to have lived: the last sign
// of life that this balancer has seen, or crashNoticeTime before the server was suspected. If its
// whole failure domain does not respond, signs of the domain's other servers count as well.
func (c *Core) lastSignOfLife(t *target) time.Time {
	last := t.health.SuspectedAt().Add(-crashNoticeTime)
	if t.health.LastSuccess().After(last) {
		last = t.health.LastSuccess()
	}
	if d := c.domainOf(t); d.failures >= domainFailureThreshold && d.lastSuccess.After(last) {
		last = d.lastSuccess
	}
	return last
}

// resetOnPacket answers a packet of a flow whose server is dead by a reset.
func (c *Core) resetOnPacket(p *Packet, r *record, t *target) Verdict {
	if r != nil {
		c.removeFlow(r)
	}
	if p.Abort {
		return Verdict{Action: Drop}
	}
	c.Counters.Resets.Add(1)
	c.logFlow("tagged: flow reset", p.Key, t, "backend server is dead")
	return Verdict{Action: Refuse}
}

// resetAllFlows resets all flows of a server whose process has ended.
func (c *Core) resetAllFlows(t *target, reason string) {
	c.flows.each(func(r *record) {
		if r.target == t && !r.closed {
			c.reset(r, t, reason)
		}
	})
}

// resetFlows resets the flows of a dead server that may be reset.
func (c *Core) resetFlows(t *target, reason string) {
	c.flows.each(func(r *record) {
		if r.target == t && !r.closed && c.canReset(r, t) {
			c.reset(r, t, reason)
		}
	})
}

// reset resets a flow without being asked.
func (c *Core) reset(r *record, t *target, reason string) {
	c.Counters.Resets.Add(1)
	c.resets = append(c.resets, Reset{Key: r.key, Sequence: r.acknowledged})
	c.logFlow("tagged: flow reset", r.key, t, reason)
	c.removeFlow(r)
}
