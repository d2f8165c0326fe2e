package owned

// Packet handling on the traffic goroutines. A packet's slot is locked from the lookup of
// its record until the decision, so that two packets of one flow are decided one after
// the other. The lock is held for this short time only. A single lock for all records was
// rejected, because the control goroutine iterates over all slots while packets arrive.

import (
	"errors"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/wire"
)

// portReuseIdle is the idle time, in seconds, after which a first packet on the ports of
// an open flow starts a new flow. The new flow stays on the same backend server unless
// that one gets no new flows, for example because it is leaving.
const portReuseIdle flow.Second = 60

// ErrUnknownKind is returned by HandleDatagram for datagrams of an unknown kind.
var ErrUnknownKind = errors.New("owned: read datagram: unknown kind")

// ErrUnknownSender is returned by HandleDatagram for senders that are not on the
// platform's instance list.
var ErrUnknownSender = errors.New("owned: read datagram: sender is not on the instance list")

// packetContext holds a packet and what its handling needs: the view at its arrival, its
// service and its locked slot.
type packetContext struct {
	view       *view
	service    *config.CompiledService
	packet     *packet.Packet
	id         flow.ID
	slotNumber flow.Slot
	slot       *slot
	// hops is how often the packet has been handed over.
	hops uint8
	// from is the balancer that handed the packet over. It is invalid for packets that
	// came from the fabric.
	from netip.AddrPort
	now  time.Time
	out  *Actions
}

// HandlePacket decides for a packet from the fabric and adds the resulting actions to out.
// It copies the packet if it has to be queued. It may be called from any goroutine.
func (c *Core) HandlePacket(parsed *packet.Packet, out *Actions) {
	c.handleCallerPacket(parsed, 0, netip.AddrPort{}, out)
}

// HandleDatagram processes a datagram of another balancer that is not a probe, and adds the
// resulting actions to out. It uses scratch for the parsed packet. It may be called from
// any goroutine, with a parser and scratch of its own.
//
// It returns ErrUnknownSender for senders that are not on the platform's list,
// ErrUnknownKind for datagrams of an unknown kind, and the errors of packages wire and
// packet for malformed datagrams. It counts all of them.
func (c *Core) HandleDatagram(parser *packet.Parser, scratch *packet.Packet, data []byte, from netip.AddrPort, out *Actions) error {
	if len(data) == 0 {
		return c.countMalformed(wire.ErrTruncated)
	}
	if !c.view.Load().peerAddresses[from] {
		c.Counters.DroppedStranger.Add(1)
		return ErrUnknownSender
	}
	switch wire.DatagramKind(data[0]) {
	case wire.KindHandOver:
		hops, inner, err := wire.ReadHandOver(data)
		if err == nil {
			err = parser.Parse(inner, scratch)
		}
		if err != nil {
			return c.countMalformed(err)
		}
		c.handleCallerPacket(scratch, hops, from, out)
		return nil
	case wire.KindInstall:
		install, inner, err := wire.ReadInstall(data)
		if err == nil {
			err = parser.Parse(inner, scratch)
		}
		if err != nil {
			return c.countMalformed(err)
		}
		c.handleInstall(scratch, install, out)
		return nil
	case wire.KindAnswer:
		answer, err := wire.ReadAnswer(data)
		if err != nil {
			return c.countMalformed(err)
		}
		c.cacheAnswer(answer)
		return nil
	}
	return c.countMalformed(ErrUnknownKind)
}

// countMalformed counts a malformed datagram and returns its error.
func (c *Core) countMalformed(err error) error {
	c.Counters.DroppedMalform.Add(1)
	return err
}

// lookUpAndLock looks up the packet's service and slot and locks the slot. If there is no
// configuration or no such service, it counts the packet as dropped and returns false
// without locking anything.
func (c *Core) lookUpAndLock(parsed *packet.Packet, out *Actions) (packetContext, bool) {
	v := c.view.Load()
	if v.config == nil {
		c.Counters.DroppedNoConfig.Add(1)
		return packetContext{}, false
	}
	service := v.config.ByAddress(parsed.Key.Protocol, parsed.Key.Service)
	if service == nil {
		c.Counters.DroppedService.Add(1)
		return packetContext{}, false
	}
	id := flow.Hash(v.config.HashSeed, parsed.Key)
	number := id.Slot()
	s := &c.slots[number]
	s.mutex.Lock()
	return packetContext{
		view:       v,
		service:    service,
		packet:     parsed,
		id:         id,
		slotNumber: number,
		slot:       s,
		now:        time.Now(),
		out:        out,
	}, true
}

// handleCallerPacket decides for a packet of a caller, which came from the fabric or was
// handed over by another balancer.
func (c *Core) handleCallerPacket(parsed *packet.Packet, hops uint8, from netip.AddrPort, out *Actions) {
	pc, ok := c.lookUpAndLock(parsed, out)
	if !ok {
		return
	}
	defer pc.slot.mutex.Unlock()
	pc.hops = hops
	pc.from = from
	record, known := pc.slot.flows.Get(pc.id)
	if known && record.Service != pc.service.Key {
		// The IDs of two flows of different services collide. Ignore the record: a
		// flow must never reach a backend server of another service.
		c.Counters.Conflicts.Add(1)
		known = false
	}
	switch {
	case pc.slot.held:
		c.decideAsOwner(&pc, record, known)
	case pc.slot.claiming:
		c.forwardOrQueue(&pc, record, known)
	default:
		c.routeToOwner(&pc, record, known)
	}
}

// routeToOwner handles a packet of a slot that another balancer owns. The packet goes
// directly to its backend server if the owner's answer is cached, otherwise to the owner.
// First and last packets always go to the owner, which has to update its record.
func (c *Core) routeToOwner(p *packetContext, record flow.Record, known bool) {
	if known && record.Kind == flow.Cached && !p.packet.First && !p.packet.Last {
		age := c.recordSecond(p.now) - record.LastSeen
		backend := p.service.ByKey(record.Backend)
		if age < flow.Second(CacheTTL/time.Second) && backend != nil {
			c.forward(p, backend)
			return
		}
		c.removeRecord(p.slot, p.id)
	}
	owner := p.view.owners[p.slotNumber].Owner
	if owner == c.key {
		// The view names this balancer as the owner, and the control goroutine is about
		// to claim the slot.
		c.forwardOrQueue(p, record, known)
		return
	}
	c.handOver(p, owner)
}

// handOver hands the packet over to another balancer. It drops packets that have been
// handed over maxHops times, which happens while views differ.
func (c *Core) handOver(p *packetContext, to flow.MemberKey) {
	target, known := p.view.peers[to]
	if !known {
		c.Counters.DroppedNoOwner.Add(1)
		return
	}
	if p.hops >= maxHops {
		c.Counters.DroppedHops.Add(1)
		return
	}
	c.Counters.HandedOver.Add(1)
	p.out.handOver(target.address, p.hops+1, p.packet.Bytes)
}

// forwardOrQueue forwards a packet of a recorded flow. It queues other packets, and first
// packets, until the slot's claim is completed.
func (c *Core) forwardOrQueue(p *packetContext, record flow.Record, known bool) {
	if known && !p.packet.First {
		if backend := p.service.ByKey(record.Backend); backend != nil {
			c.forward(p, backend)
			return
		}
	}
	c.enqueue(p)
}

// enqueue adds a copy of a packet to its slot's queue. The packet is handled again when the
// queue is released.
func (c *Core) enqueue(p *packetContext) {
	if c.queuedCount.Load() >= maxQueuedPackets {
		c.Counters.DroppedQueue.Add(1)
		return
	}
	c.queuedCount.Add(1)
	c.Counters.Queued.Add(1)
	kept := *p.packet
	kept.Bytes = append([]byte(nil), p.packet.Bytes...)
	p.slot.queuedPackets = append(p.slot.queuedPackets, kept)
}

// decideAsOwner handles a packet of a slot that this balancer holds.
func (c *Core) decideAsOwner(p *packetContext, record flow.Record, known bool) {
	if known && !record.Owned() {
		// The record dates from when this balancer was a replica or an ingress balancer.
		record = c.promoteRecord(p, record)
	}
	if (!known || p.packet.First) && !c.leaseValid(p.now) {
		c.queueForLease(p)
		return
	}
	switch {
	case !known && (p.packet.First || p.service.Protocol == flow.UDP):
		c.placeNewFlow(p)
	case !known:
		c.adoptUnrecorded(p)
	case p.packet.First:
		c.handleKnownFirst(p, record)
	default:
		c.forwardOpenFlow(p, record)
	}
}

// queueForLease queues a packet until the lease is renewed or the slot is given up. Without
// a lease this process may have been paused, and another balancer may own the slot by now
// and may have placed the flow already. Handing the packet to a replica was rejected: as
// long as the other balancers consider this one the owner, they hand the packet back until
// it exceeds maxHops and is dropped.
func (c *Core) queueForLease(p *packetContext) {
	c.packetsAwaitLease.Store(true)
	c.enqueue(p)
}

// promoteRecord turns a replica record or a cached answer into an owned record.
func (c *Core) promoteRecord(p *packetContext, record flow.Record) flow.Record {
	record.Kind = flow.Exception
	if record.Backend == p.slot.baseBackend(p.service, p.slotNumber) {
		record.Kind = flow.Default
	}
	if record.State == flow.Opening && !p.packet.First {
		record.State = flow.Open
	}
	c.putRecord(p.slot, p.id, record)
	return record
}

// handleKnownFirst handles a first packet of a recorded flow. It is either a
// retransmission, which goes to the same backend server, or the start of a new flow on the
// same ports.
func (c *Core) handleKnownFirst(p *packetContext, record flow.Record) {
	idle := c.recordSecond(p.now) - record.LastSeen
	ended := record.State == flow.Closed || idle > portReuseIdle
	backend := p.service.ByKey(record.Backend)
	if backend == nil || ended && !p.service.Eligible(record.Backend) {
		c.removeEverywhere(p.slot, p.id, record)
		c.placeNewFlow(p)
		return
	}
	if ended {
		record.State = flow.Opening
		record.HandOverCount = 0
	}
	record.LastSeen = c.recordSecond(p.now)
	c.putRecord(p.slot, p.id, record)
	if record.Kind == flow.Exception {
		c.sendThroughReplicas(p, backend)
		return
	}
	c.forward(p, backend)
}

// forwardOpenFlow updates the record of an open flow and forwards the packet. It resets the
// flow if its backend server was removed, is dead or has passed its drain deadline.
func (c *Core) forwardOpenFlow(p *packetContext, record flow.Record) {
	backend := p.service.ByKey(record.Backend)
	if backend == nil {
		c.resetFlow(p, "backend server is gone")
		c.removeEverywhere(p.slot, p.id, record)
		return
	}
	if backend.State == config.Leaving && c.drainDeadlinePassed(p.service, backend, p.now) {
		c.resetFlow(p, "drain deadline has passed")
		c.removeEverywhere(p.slot, p.id, record)
		return
	}
	if c.backendDead(p.service, backend, p.now) {
		c.resetFlow(p, "backend server is dead")
		c.removeEverywhere(p.slot, p.id, record)
		return
	}
	opened := record.State == flow.Opening
	before := record
	record.LastSeen = c.recordSecond(p.now)
	if opened {
		record.State = flow.Open
	}
	if p.packet.Last {
		record.State = flow.Closed
	}
	if p.from.IsValid() {
		record.HandOverCount = min(record.HandOverCount, 254) + 1
	}
	c.answerIngress(p, &record)
	if record.State != before.State {
		c.putRecord(p.slot, p.id, record)
	} else {
		*p.slot.flows.At(p.id) = record
	}
	if opened && record.Kind == flow.Exception && p.service.Protocol == flow.UDP {
		// UDP has no acknowledgments, so the first packet may have been lost before it
		// reached the replicas. The second packet is sent through them as well.
		c.sendThroughReplicas(p, backend)
		return
	}
	c.forward(p, backend)
}

// answerIngress sends the flow's backend server to the ingress balancer after
// handOversPerAnswer of the flow's packets were handed over, if there is control budget.
func (c *Core) answerIngress(p *packetContext, record *flow.Record) {
	if record.HandOverCount < handOversPerAnswer || record.State == flow.Closed || p.hops != 1 {
		return
	}
	if !c.hasBudget(wire.AnswerBytes + wire.IPUDPHeaderBytes) {
		return
	}
	record.HandOverCount = 0
	c.chargeBudget(wire.AnswerBytes + wire.IPUDPHeaderBytes)
	c.Counters.Answered.Add(1)
	p.out.answer(p.from, wire.Answer{Flow: p.id, Backend: record.Backend, Service: record.Service})
}

// cacheAnswer records an owner's answer, so that further packets of the flow go directly
// to the backend server.
func (c *Core) cacheAnswer(answer wire.Answer) {
	compiled := c.Compiled()
	if compiled == nil {
		return
	}
	service := compiled.ByKey(answer.Service)
	if service == nil || service.ByKey(answer.Backend) == nil {
		return
	}
	if c.settings.MaxFlows > 0 && c.recordCount.Load() >= int64(c.settings.MaxFlows) {
		return
	}
	s := &c.slots[answer.Flow.Slot()]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, known := s.flows.Get(answer.Flow)
	if s.held || known && record.Kind != flow.Cached {
		return
	}
	c.putRecord(s, answer.Flow, flow.Record{
		Backend:  answer.Backend,
		Service:  answer.Service,
		LastSeen: c.recordSecond(time.Now()),
		Kind:     flow.Cached,
		State:    flow.Open,
	})
}

// forward sends the packet to a backend server.
func (c *Core) forward(p *packetContext, backend *config.CompiledBackend) {
	c.Counters.Forwarded.Add(1)
	p.out.forward(backend, p.packet.Bytes)
}

// logDecision logs a decision about a flow. The backend may be nil.
func (c *Core) logDecision(message string, p *packetContext, backend *config.CompiledBackend, reason string) {
	log := c.settings.Decisions
	if !log.Enabled() {
		return
	}
	name := "none"
	if backend != nil {
		name = backend.Name
	}
	log.Info(message,
		"Flow", p.packet.Key.String(),
		"Service", p.service.Name,
		"Backend", name,
		"Owner", c.settings.Self.Name,
		"Reason", reason,
		"ConfigVersion", p.view.config.Version)
}
