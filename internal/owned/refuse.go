package owned

// Refusals and resets. A refusal answers a first packet and tells the caller that no
// request was run, so it is sent only if no balancer can have forwarded the packet. A
// reset ends an open flow that cannot continue.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
)

// refuseFlow refuses a flow whose first packet was not forwarded. It drops the packet
// without an answer if the previous owner may have forwarded an earlier copy, or if it
// is not the first packet of a TCP flow.
func (c *Core) refuseFlow(p *packetContext, reason string) {
	if p.now.Before(p.slot.refusalsAllowedAt) || !p.packet.First && p.service.Protocol == flow.TCP {
		c.Counters.DroppedLimit.Add(1)
		c.logDecision("place: packet dropped", p, nil, reason)
		return
	}
	c.Counters.Refused.Add(1)
	c.logDecision("place: flow refused", p, nil, reason)
	c.sendRejection(p)
}

// resetFlow resets a flow that cannot continue, so that its caller does not have to wait
// for a timeout.
func (c *Core) resetFlow(p *packetContext, reason string) {
	c.Counters.Reset.Add(1)
	c.logDecision("route: flow reset", p, nil, reason)
	c.sendRejection(p)
}

// sendRejection answers a packet with a TCP reset or an ICMP port unreachable. FIN and RST
// packets are not answered.
func (c *Core) sendRejection(p *packetContext) {
	if p.packet.Last {
		return
	}
	data, err := packet.NewParser().Reject(p.packet.Bytes)
	if err != nil {
		c.Counters.DroppedMalform.Add(1)
		return
	}
	p.out.returnToCaller(data)
}

// removeEverywhere deletes a record here and, if it is an exception, schedules the
// deletion of its copies on the replicas. The slot must be locked.
func (c *Core) removeEverywhere(s *slot, id flow.ID, record flow.Record) {
	if record.Kind == flow.Exception {
		s.removedExceptions = append(s.removedExceptions, uint32(id))
	}
	c.removeRecord(s, id)
}

// drainDeadlinePassed reports whether the drain deadline of a leaving backend server
// has passed, so that its open flows are reset.
func (c *Core) drainDeadlinePassed(service *config.CompiledService, backend *config.CompiledBackend, now time.Time) bool {
	if service.DrainDeadline == 0 {
		return false
	}
	gauge := c.placer.GaugeOf(service, backend)
	return now.Sub(gauge.LeavingSince(now)) > time.Duration(service.DrainDeadline)
}

// backendDead reports whether a backend server has been unhealthy for longer than the
// service's ResetAfter, so that its open flows are reset.
func (c *Core) backendDead(service *config.CompiledService, backend *config.CompiledBackend, now time.Time) bool {
	if service.ResetAfter == 0 {
		return false
	}
	return c.placer.GaugeOf(service, backend).UnhealthyLongerThan(now, time.Duration(service.ResetAfter))
}
