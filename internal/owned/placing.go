package owned

// New flows: where they are placed, and what is put on record of them before they leave.

import (
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/place"
)

// placeNew decides for a flow that nobody has decided for.
func (c *Core) placeNew(p *passage) {
	base := p.slot.base(p.service, p.number)
	choice := c.placer.Choose(place.Request{
		Service:     p.service,
		Default:     c.defaultFor(p, base),
		Flow:        p.id,
		DefaultOnly: p.ambiguous(),
	})
	if choice.Backend == nil {
		c.refuse(p, string(choice.Reason))
		return
	}
	record := flow.Record{
		Backend:  choice.Backend.Key,
		Service:  p.service.Key,
		LastSeen: c.second(p.now),
		Kind:     flow.Default,
	}
	if choice.Backend.Key != base || p.slot.rebasing == p.service.Key {
		record.Kind = flow.Exception
	}
	c.Counters.Placed.Add(1)
	c.logFlow("place: flow placed", p, choice.Backend, string(choice.Reason))
	if record.Kind == flow.Exception {
		c.Counters.Exceptions.Add(1)
		c.put(p.slot, p.id, record)
		c.sendAlong(p, choice.Backend)
		return
	}
	c.recordDefault(p, record)
	c.forward(p, choice.Backend)
}

// ambiguous reports whether a flow that is not on record may have been decided for
// by the owner before: for TCP while first packets may be retransmitted, for UDP,
// which has no first packets, until a silent flow would have been forgotten.
func (p *passage) ambiguous() bool {
	if p.service.Protocol == flow.UDP {
		return p.now.Sub(p.slot.knownSince) < time.Duration(p.service.IdleTimeout)
	}
	return p.now.Before(p.slot.settledAt)
}

// defaultFor returns the default that new flows are compared with. While the flow
// may be an older one it is the base, if that may get new flows at all.
func (c *Core) defaultFor(p *passage, base flow.BackendKey) flow.BackendKey {
	if p.ambiguous() && p.service.Eligible(base) {
		return base
	}
	return p.service.Defaults[p.number]
}

// adopt treats a packet of an open flow that is not on record: it is on its
// slot's base, as all others are on record, or its record is lost.
func (c *Core) adopt(p *passage) {
	if p.now.Before(p.slot.doubtUntil) {
		// A balancer that cannot be reached may know the flow's exception. The
		// caller's retransmission may reach it through the fabric.
		c.Counters.DroppedDoubt.Add(1)
		return
	}
	backend := p.service.ByKey(p.slot.base(p.service, p.number))
	if backend == nil || c.deadServer(p.service, backend, p.now) {
		c.reject(p, "nobody knows the flow")
		return
	}
	if p.packet.Last {
		c.forward(p, backend)
		return
	}
	c.Counters.Adopted.Add(1)
	c.logFlow("route: flow adopted", p, backend, "unrecorded flows are on the slot's default")
	c.recordDefault(p, flow.Record{
		Backend:  backend.Key,
		Service:  p.service.Key,
		LastSeen: c.second(p.now),
		Kind:     flow.Default,
		State:    flow.Open,
	})
	c.forward(p, backend)
}

// recordDefault records a default-placed flow if the table has room. Without the
// record the flow can still be computed, but the slot's base can't be moved.
func (c *Core) recordDefault(p *passage, record flow.Record) {
	if c.settings.MaxFlows > 0 && c.records.Load() >= int64(c.settings.MaxFlows) {
		c.Counters.Unrecorded.Add(1)
		p.slot.knownSince = p.now
		return
	}
	c.put(p.slot, p.id, record)
}
