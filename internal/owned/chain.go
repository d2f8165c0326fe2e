package owned

// The chain: an exception's packet travels owner, replica, replica, backend server,
// and each of them records the exception before it passes the packet on.

import (
	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/wire"
)

// sendAlong sends an exception's packet to its backend server by way of the
// slot's replicas.
func (c *Core) sendAlong(p *passage, backend *config.CompiledBackend) {
	install := wire.Install{Backend: backend.Key}
	for _, replica := range p.view.owners[p.number].Replicas {
		if replica != c.key && p.view.peers[replica].reachable {
			install.Chain[install.Length] = replica
			install.Length++
		}
	}
	c.passAlong(p, install, backend)
}

// passAlong sends an exception's packet to the next replica of its chain that
// can be reached, or at the chain's end to the backend server.
func (c *Core) passAlong(p *passage, install wire.Install, backend *config.CompiledBackend) {
	for install.Length > 0 {
		next := p.view.peers[install.PopReplica()]
		if !next.reachable {
			continue
		}
		p.out.install(next.address, install, p.packet.Bytes)
		action := &p.out.List[len(p.out.List)-1]
		c.spend(action.headerLength - wire.ForwardHeaderBytes)
		return
	}
	c.forward(p, backend)
}

// install takes an exception on record and sends its packet on.
func (c *Core) install(p *packet.Packet, install wire.Install, out *Actions) {
	pass, ok := c.start(p, out)
	if !ok {
		return
	}
	defer pass.slot.mutex.Unlock()
	backend := pass.service.ByKey(install.Backend)
	if backend == nil {
		// The configuration that names the backend server has not arrived here.
		// The caller sends its first packet again.
		c.Counters.DroppedBackend.Add(1)
		return
	}
	record, known := pass.slot.flows.Get(pass.id)
	if known && pass.slot.held && record.Owned() && record.Backend != install.Backend && record.State != flow.Closed {
		// This balancer has decided for the flow as its owner since.
		c.Counters.Conflicts.Add(1)
		if decided := pass.service.ByKey(record.Backend); decided != nil {
			c.forward(&pass, decided)
		}
		return
	}
	kind := flow.Replica
	if pass.slot.held {
		kind = flow.Exception
	}
	c.put(pass.slot, pass.id, flow.Record{
		Backend:  install.Backend,
		Service:  pass.service.Key,
		LastSeen: c.second(pass.now),
		Kind:     kind,
	})
	c.passAlong(&pass, install, backend)
}
