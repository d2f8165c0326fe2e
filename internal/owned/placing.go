package owned

// Placement of new flows, and of open flows without a record, at their owner.

import (
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/place"
)

// placeNewFlow chooses a backend server for a new flow, records the choice and forwards
// the packet. It refuses the flow if no backend server is eligible.
func (c *Core) placeNewFlow(p *packetContext) {
	base := p.slot.baseBackend(p.service, p.slotNumber)
	choice := c.placer.Choose(place.Request{
		Service:     p.service,
		Default:     c.defaultFor(p, base),
		Flow:        p.id,
		DefaultOnly: p.mayBePlacedAlready(),
	})
	if choice.Backend == nil {
		c.refuseFlow(p, string(choice.Reason))
		return
	}
	record := flow.Record{
		Backend:  choice.Backend.Key,
		Service:  p.service.Key,
		LastSeen: c.recordSecond(p.now),
		Kind:     flow.Default,
	}
	if choice.Backend.Key != base || p.slot.rebasingService == p.service.Key {
		record.Kind = flow.Exception
	}
	c.Counters.Placed.Add(1)
	c.logDecision("place: flow placed", p, choice.Backend, string(choice.Reason))
	if record.Kind == flow.Exception {
		c.Counters.Exceptions.Add(1)
		c.putRecord(p.slot, p.id, record)
		c.sendThroughReplicas(p, choice.Backend)
		return
	}
	c.recordDefault(p, record)
	c.forward(p, choice.Backend)
}

// mayBePlacedAlready reports whether the previous owner may have placed a flow that has no
// record here. For TCP this holds while first packets may be retransmitted. For UDP,
// which has no first packets, it holds until an idle flow would have timed out.
func (p *packetContext) mayBePlacedAlready() bool {
	if p.service.Protocol == flow.UDP {
		return p.now.Sub(p.slot.observedSince) < time.Duration(p.service.IdleTimeout)
	}
	return p.now.Before(p.slot.retransmitsEndAt)
}

// defaultFor returns the backend server that placement treats as the flow's default.
// While the flow may have been placed already, that is the base, provided that the base
// is eligible for new flows.
func (c *Core) defaultFor(p *packetContext, base flow.BackendKey) flow.BackendKey {
	if p.mayBePlacedAlready() && p.service.Eligible(base) {
		return base
	}
	return p.service.Defaults[p.slotNumber]
}

// adoptUnrecorded handles a packet of an open flow without a record. The flow is on the
// slot's base, because flows on other backend servers have a record, unless its record
// was lost.
func (c *Core) adoptUnrecorded(p *packetContext) {
	if p.now.Before(p.slot.unknownDroppedUntil) {
		// An unreachable balancer may have the record of an exception. The caller's
		// retransmission may reach that balancer through the fabric.
		c.Counters.DroppedDoubt.Add(1)
		return
	}
	backend := p.service.ByKey(p.slot.baseBackend(p.service, p.slotNumber))
	if backend == nil || c.backendDead(p.service, backend, p.now) {
		// No balancer has a record of the flow, and its slot's base cannot serve it.
		c.resetFlow(p, "nobody knows the flow")
		return
	}
	if p.packet.Last {
		c.forward(p, backend)
		return
	}
	c.Counters.Adopted.Add(1)
	// In the reason, the slot's default stands for its base.
	c.logDecision("route: flow adopted", p, backend, "unrecorded flows are on the slot's default")
	c.recordDefault(p, flow.Record{
		Backend:  backend.Key,
		Service:  p.service.Key,
		LastSeen: c.recordSecond(p.now),
		Kind:     flow.Default,
		State:    flow.Open,
	})
	c.forward(p, backend)
}

// recordDefault records a flow on its slot's base unless MaxFlows is reached. Without
// the record, balancers can still compute the flow's backend server, but the slot's base
// cannot be moved until the flow has timed out.
func (c *Core) recordDefault(p *packetContext, record flow.Record) {
	if c.settings.MaxFlows > 0 && c.recordCount.Load() >= int64(c.settings.MaxFlows) {
		c.Counters.Unrecorded.Add(1)
		p.slot.observedSince = p.now
		return
	}
	c.putRecord(p.slot, p.id, record)
}
