package owned

// Chain replication of exceptions. The owner sends an exception's packet to the first
// replica, which sends it to the next one, and the last replica sends it to the
// backend server. Each balancer records the exception before it forwards the packet.

import (
	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/wire"
)

// sendThroughReplicas sends an exception's packet to its backend server through the
// reachable replicas of the slot.
func (c *Core) sendThroughReplicas(p *packetContext, backend *config.CompiledBackend) {
	install := wire.Install{Backend: backend.Key}
	for _, replica := range p.view.owners[p.slotNumber].Replicas {
		if replica != c.key && p.view.peers[replica].reachable {
			install.Chain[install.Length] = replica
			install.Length++
		}
	}
	c.sendToNextReplica(p, install, backend)
}

// sendToNextReplica sends an exception's packet to the next reachable replica of its
// chain, or to the backend server if there is none left. Only the bytes beyond those
// of an ordinary hand-over are charged to the control budget.
func (c *Core) sendToNextReplica(p *packetContext, install wire.Install, backend *config.CompiledBackend) {
	for install.Length > 0 {
		next := p.view.peers[install.PopReplica()]
		if !next.reachable {
			continue
		}
		p.out.install(next.address, install, p.packet.Bytes)
		action := &p.out.List[len(p.out.List)-1]
		c.chargeBudget(action.headerLength - wire.HandOverHeaderBytes)
		return
	}
	c.forward(p, backend)
}

// install records an exception that another balancer has sent with its packet,
// and sends the packet to the next replica or to the backend server.
func (c *Core) handleInstall(parsed *packet.Packet, install wire.Install, out *Actions) {
	pc, ok := c.lookUpAndLock(parsed, out)
	if !ok {
		return
	}
	defer pc.slot.mutex.Unlock()
	backend := pc.service.ByKey(install.Backend)
	if backend == nil {
		// The configuration that contains the backend server has not arrived here
		// yet. The caller retransmits its first packet.
		c.Counters.DroppedBackend.Add(1)
		return
	}
	record, known := pc.slot.flows.Get(pc.id)
	if known && pc.slot.held && record.Owned() && record.Backend != install.Backend && record.State != flow.Closed {
		// This balancer has since become the owner and placed the flow elsewhere.
		c.Counters.Conflicts.Add(1)
		if decided := pc.service.ByKey(record.Backend); decided != nil {
			c.forward(&pc, decided)
		}
		return
	}
	kind := flow.Replica
	if pc.slot.held {
		kind = flow.Exception
	}
	c.putRecord(pc.slot, pc.id, flow.Record{
		Backend:  install.Backend,
		Service:  pc.service.Key,
		LastSeen: c.recordSecond(pc.now),
		Kind:     kind,
	})
	c.sendToNextReplica(&pc, install, backend)
}
