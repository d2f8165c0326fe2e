package tagged

// This file does the work that no packet triggers. It detects unanswered first packets,
// requests checks of suspected servers, resets the flows of dead servers and expires
// records.

import (
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

// Check is a request for an active check of a backend server.
type Check struct {
	Backend string
	Address netip.AddrPort
	Tag     state.Tag
}

// inFlightPerOpenFlowGain is the weight of one tick in the moving average of the in-flight
// requests per open flow, which converges within a second.
const inFlightPerOpenFlowGain = 0.05

// Tick reviews the flows and servers that are due and returns the active checks to
// start. The result is valid until the next call.
func (c *Core) Tick(now time.Time) []Check {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	c.checks = c.checks[:0]
	openFlows, inFlight := c.flows.count(), 0
	c.flows.eachActive(func(r *record) {
		switch {
		case !r.opened || r.closed:
			openFlows--
		case r.requestInFlight:
			inFlight++
		}
		c.reviewFlow(r, now)
	})
	c.flows.eachOfNextPart(idleScanTicks, func(r *record) { c.expireIdle(r, now) })
	if openFlows > 0 {
		c.inFlightPerOpenFlow += (float64(inFlight)/float64(openFlows) - c.inFlightPerOpenFlow) * inFlightPerOpenFlowGain
	}
	c.detectLocalFault(now)
	c.suspects = slices.DeleteFunc(c.suspects, func(t *target) bool {
		t.suspected = t.health.State() != health.Alive
		return !t.suspected
	})
	for _, t := range c.suspects {
		if !t.entry.AddressReused && t.health.StartCheckIfDue(now) {
			c.checks = append(c.checks, Check{Backend: t.entry.Name, Address: t.entry.Address, Tag: t.entry.Tag})
		}
	}
	c.expirePeerLoads(now)
	if c.config.LearnServers {
		c.learnOnTick(now)
	}
	return c.checks
}

// drainResets returns the resets that the current call has produced. They must be
// sent at once: meanwhile a retransmitted first packet may open the flow on another
// server, and a later reset would break it.
func (c *Core) drainResets() []Reset {
	resets := c.resets
	c.resets = nil
	return resets
}

// idleScanTicks is the number of ticks over which all flows are scanned once for idle
// timeouts. A scan takes a second; idle timeouts are many seconds.
const idleScanTicks = 20

// expireIdle removes the record of a flow that has been idle for longer than the
// table's idle timeout.
func (c *Core) expireIdle(r *record, now time.Time) {
	if c.table != nil && now.Sub(r.lastPacketAt) > c.table.IdleTimeout {
		c.removeFlow(r)
	}
}

// reviewFlow handles the timeouts of one active flow.
func (c *Core) reviewFlow(r *record, now time.Time) {
	silent := now.Sub(r.lastPacketAt)
	switch {
	case !r.opened && silent > unopenedFlowTTL, r.closed && silent > closedFlowTTL:
		c.removeFlow(r)
		return
	case !r.opened && !r.failureCounted && now.Sub(r.sentAt) > handshakeTimeout:
		r.failureCounted = true
		c.recordFailure(r.target, r.sentAt, now, "first packet was not answered")
	}
	if r.awaited {
		c.reviewAwaited(r, now)
		return
	}
	if r.requestInFlight && r.opened && now.Sub(r.sentAt) > c.routeStats[r.key.Listen].inFlightTimeout() {
		c.setRequestInFlight(r, false)
	}
}

// reviewAwaited updates the work of a request whose answer is awaited, or counts it as lost.
func (c *Core) reviewAwaited(r *record, now time.Time) {
	age := now.Sub(r.sentAt)
	if age > c.lostTime(r.key.Listen) {
		c.learnLost(r, now)
		c.setRequestInFlight(r, false)
		return
	}
	if r.requestInFlight {
		c.setWork(r, c.requestWeight(r, age))
	}
}

// suspect records that a packet sent to a server at the given time got no answer. It
// reports whether the server has become suspected.
func (c *Core) suspect(t *target, sentAt, now time.Time) bool {
	if !t.health.RecordFailure(sentAt, now) {
		return false
	}
	if !t.suspected {
		t.suspected = true
		c.suspects = append(c.suspects, t)
	}
	return true
}

// recordFailure records that a packet of a flow got no answer, for the server and for
// its failure domain.
func (c *Core) recordFailure(t *target, sentAt, now time.Time, reason string) {
	if !c.suspect(t, sentAt, now) {
		return
	}
	c.Counters.Suspected.Add(1)
	c.config.Log.Info("tagged: backend server suspected", "Backend", t.entry.Name, "Reason", reason,
		"Waited", now.Sub(sentAt).String(), "SinceSign", sinceSuccess(t, now))
	c.recordDomainFailure(t, sentAt, now)
}

// sinceSuccess returns the time since the server last responded, or "never", for the
// log.
func sinceSuccess(t *target, now time.Time) string {
	if t.health.LastSuccess().IsZero() {
		return "never"
	}
	return now.Sub(t.health.LastSuccess()).String()
}

// HandleCheckResult records the result of an active check and returns the flows to
// reset.
func (c *Core) HandleCheckResult(backend string, result health.Result, now time.Time) []Reset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	t := c.byName[backend]
	if t == nil {
		return nil
	}
	before := t.health.State()
	c.reachabilityStale = true
	died := t.health.RecordCheck(result, c.checkInconclusive(t, now), now)
	if result == health.Silent {
		c.queueReachabilityQuery(t, now)
	}
	if t.health.State() == health.Unreachable && before != health.Unreachable {
		c.config.Log.Info("tagged: backend server is unreachable from this balancer", "Backend", backend, "SinceSign", sinceSuccess(t, now),
			"Vouched", now.Sub(t.peerReachedAt) < peerReportTTL, "Doubt", c.selfCheck.localFaultSuspected)
	}
	if died {
		c.declareDead(t, result, now)
	}
	if before == health.Dead && t.health.State() != health.Dead {
		c.Counters.Returned.Add(1)
		c.config.Log.Info("tagged: backend server answers again", "Backend", backend)
	}
	return c.drainResets()
}

// declareDead resets the flows of a server that has become dead.
func (c *Core) declareDead(t *target, result health.Result, now time.Time) {
	c.Counters.Died.Add(1)
	c.config.Log.Info("tagged: backend server is dead", "Backend", t.entry.Name, "Check", result, "SinceSign", sinceSuccess(t, now))
	c.resetFlows(t, "backend server is dead")
}

// removeFlowsOf removes the records of the flows of a server that is no longer in the
// table.
func (c *Core) removeFlowsOf(t *target) {
	c.flows.each(func(r *record) {
		if r.target == t {
			c.flows.remove(r.key)
		}
	})
}
