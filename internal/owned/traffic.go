package owned

// The way of a packet, on a traffic goroutine. Its slot is locked from look-up to
// decision, which is short and touches nothing else, so that two packets of one
// flow are decided for one after the other. A lock for the whole table was
// rejected, as control walks all slots while packets flow.

import (
	"errors"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/wire"
)

// reuseIdle is the silence after which a first packet of an open flow is taken
// for a new flow if its backend server is leaving.
const reuseIdle flow.Second = 60

// ErrKind is returned by Datagram for kinds that the core does not take.
var ErrKind = errors.New("owned: datagram of unknown kind")

// ErrStranger is returned by Datagram for senders that are not on the list.
var ErrStranger = errors.New("owned: datagram of a sender that is not on the instance list")

// passage is one packet on its way through the core.
type passage struct {
	view    *view
	service *config.CompiledService
	packet  *packet.Packet
	id      flow.ID
	number  flow.Slot
	slot    *slot
	hops    uint8
	// from is the balancer that handed the packet over, invalid for the fabric.
	from netip.AddrPort
	now  time.Time
	out  *Actions
}

// Packet decides for a packet from the fabric.
func (c *Core) Packet(p *packet.Packet, out *Actions) {
	c.enter(p, 0, netip.AddrPort{}, out)
}

// Datagram takes a datagram of another balancer that is not a probe. Senders that
// are not on the platform's list are refused. The parsed packet is scratch.
func (c *Core) Datagram(parser *packet.Parser, scratch *packet.Packet, data []byte, from netip.AddrPort, out *Actions) error {
	if len(data) == 0 {
		return c.malformed(wire.ErrTruncated)
	}
	if !c.view.Load().listed[from] {
		c.Counters.DroppedStranger.Add(1)
		return ErrStranger
	}
	switch wire.DatagramKind(data[0]) {
	case wire.KindForward:
		hops, inner, err := wire.ReadForward(data)
		if err == nil {
			err = parser.Parse(inner, scratch)
		}
		if err != nil {
			return c.malformed(err)
		}
		c.enter(scratch, hops, from, out)
		return nil
	case wire.KindInstall:
		install, inner, err := wire.ReadInstall(data)
		if err == nil {
			err = parser.Parse(inner, scratch)
		}
		if err != nil {
			return c.malformed(err)
		}
		c.install(scratch, install, out)
		return nil
	case wire.KindAnswer:
		answer, err := wire.ReadAnswer(data)
		if err != nil {
			return c.malformed(err)
		}
		c.learn(answer)
		return nil
	}
	return c.malformed(ErrKind)
}

func (c *Core) malformed(err error) error {
	c.Counters.DroppedMalform.Add(1)
	return err
}

// start looks the packet's service and slot up and locks the slot. It returns
// false, with nothing locked, for packets of no service.
func (c *Core) start(p *packet.Packet, out *Actions) (passage, bool) {
	v := c.view.Load()
	if v.config == nil {
		c.Counters.DroppedNoConfig.Add(1)
		return passage{}, false
	}
	service := v.config.ByAddress(p.Key.Protocol, p.Key.Service)
	if service == nil {
		c.Counters.DroppedService.Add(1)
		return passage{}, false
	}
	id := flow.Hash(v.config.HashSeed, p.Key)
	number := id.Slot()
	s := &c.slots[number]
	s.mutex.Lock()
	return passage{
		view:    v,
		service: service,
		packet:  p,
		id:      id,
		number:  number,
		slot:    s,
		now:     time.Now(),
		out:     out,
	}, true
}

// enter decides for a packet of a caller, from the fabric or handed over.
func (c *Core) enter(p *packet.Packet, hops uint8, from netip.AddrPort, out *Actions) {
	pass, ok := c.start(p, out)
	if !ok {
		return
	}
	defer pass.slot.mutex.Unlock()
	pass.hops = hops
	pass.from = from
	record, known := pass.slot.flows.Get(pass.id)
	if known && record.Service != pass.service.Key {
		// Two flows of different services have one id: never send one of them to
		// the other's backend server.
		c.Counters.Conflicts.Add(1)
		known = false
	}
	switch {
	case pass.slot.held:
		c.decide(&pass, record, known)
	case pass.slot.claiming:
		c.await(&pass, record, known)
	default:
		c.pass(&pass, record, known)
	}
}

// pass treats a packet for whose flow another balancer decides: it goes to its
// backend server if the owner has answered lately, otherwise to the owner. First
// and last packets always go to the owner, which has to know of them.
func (c *Core) pass(p *passage, record flow.Record, known bool) {
	if known && record.Kind == flow.Cached && !p.packet.First && !p.packet.Last {
		age := c.second(p.now) - record.LastSeen
		backend := p.service.ByKey(record.Backend)
		if age < flow.Second(CacheLife/time.Second) && backend != nil {
			c.forward(p, backend)
			return
		}
		c.remove(p.slot, p.id)
	}
	owner := p.view.owners[p.number].Owner
	if owner == c.key {
		// The view has changed, and the control goroutine will claim the slot.
		c.await(p, record, known)
		return
	}
	c.handOver(p, owner)
}

// handOver sends the packet to another balancer.
func (c *Core) handOver(p *passage, to flow.MemberKey) {
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
	p.out.hand(target.address, p.hops+1, p.packet.Bytes)
}

// await keeps a packet until the slot's claim has ended, unless the flow is on
// record already.
func (c *Core) await(p *passage, record flow.Record, known bool) {
	if known && !p.packet.First {
		if backend := p.service.ByKey(record.Backend); backend != nil {
			c.forward(p, backend)
			return
		}
	}
	c.enqueue(p)
}

// enqueue keeps a copy of a packet in its slot, to be decided for again.
func (c *Core) enqueue(p *passage) {
	if c.queued.Load() >= maxQueuedPackets {
		c.Counters.DroppedQueue.Add(1)
		return
	}
	c.queued.Add(1)
	c.Counters.Queued.Add(1)
	kept := *p.packet
	kept.Bytes = append([]byte(nil), p.packet.Bytes...)
	p.slot.queue = append(p.slot.queue, kept)
}

// decide treats a packet of a slot that this balancer holds.
func (c *Core) decide(p *passage, record flow.Record, known bool) {
	if known && !record.Owned() {
		// What was remembered as a replica or ingress now is this owner's.
		record = c.own(p, record)
	}
	if (!known || p.packet.First) && !c.mayDecide(p.now) {
		c.keep(p)
		return
	}
	switch {
	case !known && (p.packet.First || p.service.Protocol == flow.UDP):
		c.placeNew(p)
	case !known:
		c.adopt(p)
	case p.packet.First:
		c.again(p, record)
	default:
		c.proceed(p, record)
	}
}

// keep makes a packet wait until the control goroutine knows whether this process
// may still decide: without a lease it may have been paused, another may own the
// slot, and even a flow that is not on record may have been placed there. Handing
// the packet to a replica was tried: while the others still take this balancer for
// the owner they hand it back, until it has come too far and is dropped.
func (c *Core) keep(p *passage) {
	c.kept.Store(true)
	c.enqueue(p)
}

// own turns a remembered record into an owned one.
func (c *Core) own(p *passage, record flow.Record) flow.Record {
	record.Kind = flow.Exception
	if record.Backend == p.slot.base(p.service, p.number) {
		record.Kind = flow.Default
	}
	if record.State == flow.Opening && !p.packet.First {
		record.State = flow.Open
	}
	c.put(p.slot, p.id, record)
	return record
}

// again treats a first packet of a flow on record: a retransmission, which gets
// the same answer, or a new flow between the same ports.
func (c *Core) again(p *passage, record flow.Record) {
	idle := c.second(p.now) - record.LastSeen
	ended := record.State == flow.Closed || idle > reuseIdle
	backend := p.service.ByKey(record.Backend)
	if backend == nil || ended && !p.service.Eligible(record.Backend) {
		c.forget(p.slot, p.id, record)
		c.placeNew(p)
		return
	}
	if ended {
		record.State = flow.Opening
		record.ForwardCount = 0
	}
	record.LastSeen = c.second(p.now)
	c.put(p.slot, p.id, record)
	if record.Kind == flow.Exception {
		c.sendAlong(p, backend)
		return
	}
	c.forward(p, backend)
}

// proceed sends a packet of an open flow on.
func (c *Core) proceed(p *passage, record flow.Record) {
	backend := p.service.ByKey(record.Backend)
	if backend == nil {
		c.reject(p, "backend server is gone")
		c.forget(p.slot, p.id, record)
		return
	}
	if backend.State == config.Leaving && c.drainEnded(p.service, backend, p.now) {
		c.reject(p, "drain deadline has passed")
		c.forget(p.slot, p.id, record)
		return
	}
	if c.deadServer(p.service, backend, p.now) {
		c.reject(p, "backend server is dead")
		c.forget(p.slot, p.id, record)
		return
	}
	opened := record.State == flow.Opening
	before := record
	record.LastSeen = c.second(p.now)
	if opened {
		record.State = flow.Open
	}
	if p.packet.Last {
		record.State = flow.Closed
	}
	if p.from.IsValid() {
		record.ForwardCount = min(record.ForwardCount, 254) + 1
	}
	c.tellIngress(p, &record)
	if record.State != before.State {
		c.put(p.slot, p.id, record)
	} else {
		*p.slot.flows.At(p.id) = record
	}
	if opened && record.Kind == flow.Exception && p.service.Protocol == flow.UDP {
		// Nothing acknowledges UDP here, so the second packet also visits the
		// replicas, in case the first one was lost on the way.
		c.sendAlong(p, backend)
		return
	}
	c.forward(p, backend)
}

// tellIngress answers a balancer that has handed a flow's packets over often.
func (c *Core) tellIngress(p *passage, record *flow.Record) {
	if record.ForwardCount < answerAfterHandOff || record.State == flow.Closed || p.hops != 1 {
		return
	}
	if !c.affordable(wire.AnswerBytes + wire.IPUDPHeaderBytes) {
		return
	}
	record.ForwardCount = 0
	c.spend(wire.AnswerBytes + wire.IPUDPHeaderBytes)
	c.Counters.Answered.Add(1)
	p.out.answer(p.from, wire.Answer{Flow: p.id, Backend: record.Backend, Service: record.Service})
}

// learn remembers an owner's answer.
func (c *Core) learn(answer wire.Answer) {
	compiled := c.Compiled()
	if compiled == nil {
		return
	}
	service := compiled.ByKey(answer.Service)
	if service == nil || service.ByKey(answer.Backend) == nil {
		return
	}
	if c.settings.MaxFlows > 0 && c.records.Load() >= int64(c.settings.MaxFlows) {
		return
	}
	s := &c.slots[answer.Flow.Slot()]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, known := s.flows.Get(answer.Flow)
	if s.held || known && record.Kind != flow.Cached {
		return
	}
	c.put(s, answer.Flow, flow.Record{
		Backend:  answer.Backend,
		Service:  answer.Service,
		LastSeen: c.second(time.Now()),
		Kind:     flow.Cached,
		State:    flow.Open,
	})
}

// forward sends the packet to a backend server of its own service.
func (c *Core) forward(p *passage, backend *config.CompiledBackend) {
	c.Counters.Forwarded.Add(1)
	p.out.forward(backend, p.packet.Bytes)
}

// logFlow writes the line of a decision.
func (c *Core) logFlow(message string, p *passage, backend *config.CompiledBackend, reason string) {
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
