package owned

// Refusals and resets. A refusal answers a first packet and says that nothing was
// run, so it is given only where no balancer can have sent the packet on. A reset
// ends an open flow that cannot go on.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
)

// refuse tells the caller that its first packet was not sent on. It stays silent
// where an owner before this one may have sent it on.
func (c *Core) refuse(p *passage, reason string) {
	if p.now.Before(p.slot.refuseAt) || !p.packet.First && p.service.Protocol == flow.TCP {
		c.Counters.DroppedLimit.Add(1)
		c.logFlow("place: packet dropped", p, nil, reason)
		return
	}
	c.Counters.Refused.Add(1)
	c.logFlow("place: flow refused", p, nil, reason)
	c.reply(p)
}

// reject resets a flow that cannot go on, so that its caller need not wait.
func (c *Core) reject(p *passage, reason string) {
	c.Counters.Reset.Add(1)
	c.logFlow("route: flow reset", p, nil, reason)
	c.reply(p)
}

func (c *Core) reply(p *passage) {
	if p.packet.Last {
		return
	}
	data, err := packet.NewParser().Reject(p.packet.Bytes)
	if err != nil {
		c.Counters.DroppedMalform.Add(1)
		return
	}
	p.out.back(data)
}

// forget deletes a record and has the replicas delete an exception's copies.
func (c *Core) forget(s *slot, id flow.ID, record flow.Record) {
	if record.Kind == flow.Exception {
		s.removed = append(s.removed, uint32(id))
	}
	c.remove(s, id)
}

// drainEnded reports whether flows may be cut off a leaving backend server.
func (c *Core) drainEnded(service *config.CompiledService, backend *config.CompiledBackend, now time.Time) bool {
	if service.DrainDeadline == 0 {
		return false
	}
	gauge := c.placer.GaugeOf(service, backend)
	return now.Sub(gauge.LeavingSince(now)) > time.Duration(service.DrainDeadline)
}

// deadServer reports whether the rules have the flows of an unhealthy backend
// server reset.
func (c *Core) deadServer(service *config.CompiledService, backend *config.CompiledBackend, now time.Time) bool {
	if service.ResetAfter == 0 {
		return false
	}
	return c.placer.GaugeOf(service, backend).UnhealthyLongerThan(now, time.Duration(service.ResetAfter))
}
