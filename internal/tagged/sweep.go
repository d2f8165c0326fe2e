package tagged

// What happens without a packet: unanswered first packets are noticed, servers are
// checked, flows of dead servers are reset, and records expire.

import (
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

// Check asks for an active check of a backend server.
type Check struct {
	Backend string
	Address netip.AddrPort
	Tag     state.Tag
}

// shareGain is the weight of one tick in the mean share of busy flows, which settles
// within a second.
const shareGain = 0.05

// Tick does what is due, and returns the checks to start. They are valid until the next
// call.
func (c *Core) Tick(now time.Time) []Check {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	c.checks = c.checks[:0]
	open, busy := c.flows.count(), 0
	c.flows.eachActive(func(r *record) {
		switch {
		case !r.opened || r.closed:
			open--
		case r.busy:
			busy++
		}
		c.review(r, now)
	})
	c.flows.eachInTurn(idleTicks, func(r *record) { c.expireIdle(r, now) })
	if open > 0 {
		c.openShare += (float64(busy)/float64(open) - c.openShare) * shareGain
	}
	c.watchSelf(now)
	c.suspects = slices.DeleteFunc(c.suspects, func(t *target) bool {
		t.suspected = t.health.State() != health.Alive
		return !t.suspected
	})
	for _, t := range c.suspects {
		if !t.entry.AddressReused && t.health.NeedsCheck(now) {
			c.checks = append(c.checks, Check{Backend: t.entry.Name, Address: t.entry.Address, Tag: t.entry.Tag})
		}
	}
	c.forgetTotals(now)
	return c.checks
}

// takeResets returns the resets that the call being served asks for. They are to be sent
// at once: a copy of a first packet may open the flow on another server meanwhile, and a
// reset that comes later would break it.
func (c *Core) takeResets() []Reset {
	resets := c.resets
	c.resets = nil
	return resets
}

// idleTicks is the number of ticks in which all flows are looked at once: a second, where
// idle timeouts are many.
const idleTicks = 20

// expireIdle forgets a flow that has been silent for long.
func (c *Core) expireIdle(r *record, now time.Time) {
	if c.table != nil && now.Sub(r.seen) > c.table.IdleTimeout {
		c.forget(r)
	}
}

// review looks at one flow that waits for something.
func (c *Core) review(r *record, now time.Time) {
	silent := now.Sub(r.seen)
	switch {
	case !r.opened && silent > placingLife, r.closed && silent > closedLife:
		c.forget(r)
		return
	case !r.opened && !r.struck && now.Sub(r.sent) > handshakeLimit:
		r.struck = true
		c.strike(r.target, r.sent, now, "first packet was not answered")
	}
	if r.busy && r.opened && now.Sub(r.sent) > c.classes[r.key.Listen].busyLimit() {
		c.setBusy(r, false)
	}
}

// suspect takes in that a packet to a server found no answer, and reports whether the
// server is suspected from now on.
func (c *Core) suspect(t *target, sent, now time.Time) bool {
	if !t.health.Strike(sent, now) {
		return false
	}
	if !t.suspected {
		t.suspected = true
		c.suspects = append(c.suspects, t)
	}
	return true
}

// strike counts something unanswered against a server.
func (c *Core) strike(t *target, sent, now time.Time, reason string) {
	if !c.suspect(t, sent, now) {
		return
	}
	c.Counters.Suspected.Add(1)
	c.settings.Log.Info("tagged: backend server suspected", "Backend", t.entry.Name, "Reason", reason,
		"Waited", now.Sub(sent).String(), "SinceSign", sinceSign(t, now))
	c.strikeDomain(t, sent, now)
}

func sinceSign(t *target, now time.Time) string {
	if t.health.LastSign().IsZero() {
		return "never"
	}
	return now.Sub(t.health.LastSign()).String()
}

// Checked takes the outcome of an active check in, and returns the flows to reset.
func (c *Core) Checked(backend string, result health.Result, now time.Time) []Reset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	t := c.targets[backend]
	if t == nil {
		return nil
	}
	before := t.health.State()
	c.reachStale = true
	died := t.health.Checked(result, c.doubts(t, now), now)
	if result == health.Silent {
		c.inquire(t, now)
	}
	if t.health.State() == health.Unreachable && before != health.Unreachable {
		c.settings.Log.Info("tagged: backend server is unreachable from here", "Backend", backend, "SinceSign", sinceSign(t, now),
			"Vouched", now.Sub(t.vouchedAt) < opinionLife, "Doubt", c.judge.doubtful)
	}
	if died {
		c.Counters.Died.Add(1)
		c.settings.Log.Info("tagged: backend server is dead", "Backend", backend, "Check", result, "SinceSign", sinceSign(t, now))
		c.resetFlows(t, "backend server is dead", t.certain())
	}
	if before == health.Dead && t.health.State() != health.Dead {
		c.Counters.Returned.Add(1)
		c.settings.Log.Info("tagged: backend server answers again", "Backend", backend)
	}
	return c.takeResets()
}

// resettable reports whether a dead server's flow is to be reset. A request that must
// not run twice may have run and be answered yet, unless the server surely has ended.
func (c *Core) resettable(r *record, certain bool) bool {
	return certain || r.idempotent || !r.opened
}

// resetFlows resets the flows of a dead server, so that their callers try again.
func (c *Core) resetFlows(t *target, reason string, certain bool) {
	c.flows.each(func(r *record) {
		if r.target != t || r.closed || !c.resettable(r, certain) {
			return
		}
		c.Counters.Resets.Add(1)
		c.resets = append(c.resets, Reset{Key: r.key, Sequence: r.acknowledged})
		c.logFlow("tagged: flow reset", r.key, t, reason)
		c.forget(r)
	})
}

// dropFlows forgets the flows of a server that is no longer in the table.
func (c *Core) dropFlows(t *target) {
	c.flows.each(func(r *record) {
		if r.target == t {
			c.flows.remove(r.key)
		}
	})
}
