package model

import (
	"encoding/binary"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/core"
	"wigeonmoor.example/internal/packet"
)

// server is one backend server, a small TCP: it accepts connections, runs each
// request once, and resets what it does not know.
type server struct {
	backend     config.Backend
	service     config.Service
	connections map[netip.AddrPort]*connection
	// NewAt lists when new connections arrived.
	newAt []time.Time
	dead  bool
}

type connection struct {
	callerISN uint32
	serverISN uint32
	ran       map[uint64]bool
}

func (b *Bench) addServers(documents config.Documents) {
	for _, service := range documents.Services {
		for _, backend := range service.Backends {
			if known, ok := b.servers[backend.Address]; ok {
				known.backend = backend
				continue
			}
			b.servers[backend.Address] = &server{
				backend:     backend,
				service:     service,
				connections: make(map[netip.AddrPort]*connection),
			}
		}
	}
}

// StopServer ends a backend server without a word.
func (b *Bench) StopServer(name string) {
	for _, server := range b.servers {
		if server.backend.Name == name {
			server.dead = true
		}
	}
}

// Open returns the number of connections of each backend server of a service.
func (b *Bench) Open(service string) map[string]int {
	open := make(map[string]int)
	for _, server := range b.servers {
		if server.service.Name == service {
			open[server.backend.Name] = len(server.connections)
		}
	}
	return open
}

// NewSince returns how many connections a backend server got since a time.
func (b *Bench) NewSince(name string, since time.Time) int {
	count := 0
	for _, server := range b.servers {
		for _, at := range server.newAt {
			if server.backend.Name == name && at.After(since) {
				count++
			}
		}
	}
	return count
}

// toServer carries a packet to a backend server.
func (b *Bench) toServer(from *Node, action core.Action) {
	target := b.servers[action.To]
	domain := config.Instance{Domain: target.backend.Domain}
	if target.dead || b.separated(from.Instance, domain) || b.lost() {
		return
	}
	b.after(b.settings.Delay, func() { target.receive(b, action.Packet) })
}

func (s *server) receive(b *Bench, data []byte) {
	var parsed packet.Packet
	if err := b.scratch.Parse(data, &parsed); err != nil {
		b.Callers.Misrouted++
		return
	}
	segment := b.scratch.Segment(parsed)
	if parsed.Key.Service != s.service.Address {
		b.Callers.Misrouted++
		return
	}
	caller := parsed.Key.Caller
	open := s.connections[caller]
	switch {
	case segment.RST:
		delete(s.connections, caller)
	case segment.SYN:
		if open == nil || open.callerISN != segment.Seq {
			open = &connection{callerISN: segment.Seq, serverISN: b.random.Uint32(), ran: make(map[uint64]bool)}
			s.connections[caller] = open
			s.newAt = append(s.newAt, time.Now())
			b.Callers.accepted(caller, segment.Seq, s.backend.Name)
		}
		s.reply(b, segment, packet.Segment{SYN: true, ACK: true, Seq: open.serverISN, AckSeq: segment.Seq + 1})
	case open == nil || segment.AckSeq != open.serverISN+1:
		s.reply(b, segment, packet.Segment{RST: true, Seq: segment.AckSeq})
	case segment.FIN:
		delete(s.connections, caller)
		s.reply(b, segment, packet.Segment{FIN: true, ACK: true, Seq: open.serverISN + 1, AckSeq: segment.Seq + 1})
	case len(segment.Payload) > 0:
		request := binary.BigEndian.Uint64(segment.Payload)
		if !open.ran[request] {
			open.ran[request] = true
			b.Callers.ran(request)
		}
		s.reply(b, segment, packet.Segment{ACK: true, Seq: open.serverISN + 1, Payload: segment.Payload})
	}
}

// reply sends an answer straight to the caller, as direct server return does.
func (s *server) reply(b *Bench, to packet.Segment, answer packet.Segment) {
	answer.From, answer.To = to.To, to.From
	data, err := answer.Bytes()
	if err != nil || b.lost() {
		return
	}
	b.after(b.settings.Delay, func() { b.Callers.receive(data) })
}

// Callers are all callers and what they saw.
type Callers struct {
	Started   int
	Finished  int
	Broken    int
	Refused   int
	Misrouted int
	Doubled   int
	TwoServed int
	// RefusedAfterForward counts refusals of flows that a backend server had seen.
	RefusedAfterForward int
	// Unanswered counts requests that were given up.
	Unanswered int
	// BrokenWhy tells of the first broken flows.
	BrokenWhy []string

	bench    *Bench
	flows    map[netip.AddrPort]*caller
	nextPort uint32
	requests uint64
	runs     map[uint64]int
	accepts  map[acceptKey]string
}

type acceptKey struct {
	caller netip.AddrPort
	isn    uint32
}

// Line describes one group of flows.
type Line struct {
	Service config.Service
	// Life is how long a flow stays open; zero leaves it open.
	Life time.Duration
	// Talk is the time between two requests of a flow; zero is silence.
	Talk time.Duration
}

type caller struct {
	line        Line
	from        netip.AddrPort
	isn         uint32
	serverISN   uint32
	established bool
	over        bool
	waiting     uint64
	tries       int
	ending      bool
	// late: the request that waits was sent more than once.
	late bool
}

const (
	firstRetry = time.Second
	maxTries   = 9
)

func (c *Callers) init(b *Bench) {
	c.bench = b
	c.flows = make(map[netip.AddrPort]*caller)
	c.runs = make(map[uint64]int)
	c.accepts = make(map[acceptKey]string)
}

// Start opens a flow.
func (c *Callers) Start(line Line) {
	c.nextPort++
	address := netip.AddrFrom4([4]byte{10, byte(c.nextPort >> 24), byte(c.nextPort >> 16), byte(c.nextPort >> 8)})
	from := netip.AddrPortFrom(address, 1024+uint16(c.nextPort&0xff))
	flow := &caller{line: line, from: from, isn: c.bench.random.Uint32()}
	c.flows[from] = flow
	c.Started++
	c.connect(flow)
}

// StartMany opens flows evenly over a span.
func (c *Callers) StartMany(count int, span time.Duration, line Line) {
	for index := range count {
		c.bench.after(span*time.Duration(index)/time.Duration(count), func() { c.Start(line) })
	}
}

func (c *Callers) send(flow *caller, segment packet.Segment) {
	segment.From, segment.To = flow.from, flow.line.Service.Address
	data, err := segment.Bytes()
	if err != nil {
		panic(err)
	}
	c.bench.spray(data)
}

// connect sends first packets until one is answered.
func (c *Callers) connect(flow *caller) {
	if flow.established || flow.over {
		return
	}
	if flow.tries == maxTries {
		flow.over = true
		c.Unanswered++
		return
	}
	c.send(flow, packet.Segment{SYN: true, Seq: flow.isn})
	wait := firstRetry << flow.tries
	flow.tries++
	c.bench.after(wait, func() { c.connect(flow) })
}

// request sends a request until it is answered.
func (c *Callers) request(flow *caller, number uint64, try int) {
	if flow.over || flow.waiting != number {
		return
	}
	flow.late = try > 0
	if try == maxTries {
		c.breakFlow(flow, "request was never answered")
		return
	}
	payload := binary.BigEndian.AppendUint64(nil, number)
	c.send(flow, packet.Segment{ACK: true, Seq: flow.isn + 1, AckSeq: flow.serverISN + 1, Payload: payload})
	c.bench.after(min(firstRetry<<try, 8*time.Second), func() { c.request(flow, number, try+1) })
}

func (c *Callers) talk(flow *caller) {
	if flow.over || flow.ending || flow.waiting != 0 {
		return
	}
	c.requests++
	flow.waiting = c.requests
	c.request(flow, flow.waiting, 0)
}

// Ask has every open flow send one request now.
func (c *Callers) Ask() {
	for port := range c.nextPort {
		number := port + 1
		address := netip.AddrFrom4([4]byte{10, byte(number >> 24), byte(number >> 16), byte(number >> 8)})
		flow := c.flows[netip.AddrPortFrom(address, 1024+uint16(number&0xff))]
		if flow != nil && flow.established {
			c.talk(flow)
		}
	}
}

func (c *Callers) finish(flow *caller, try int) {
	if flow.over || try == maxTries {
		return
	}
	flow.ending = true
	c.send(flow, packet.Segment{FIN: true, ACK: true, Seq: flow.isn + 1, AckSeq: flow.serverISN + 1})
	c.bench.after(firstRetry<<try, func() { c.finish(flow, try+1) })
}

func (c *Callers) breakFlow(flow *caller, reason string) {
	flow.over = true
	delete(c.flows, flow.from)
	c.Broken++
	if len(c.BrokenWhy) < 10 {
		c.BrokenWhy = append(c.BrokenWhy, flow.from.String()+": "+reason)
	}
}

// receive takes an answer to a caller.
func (c *Callers) receive(data []byte) {
	var parsed packet.Packet
	if err := c.bench.scratch.Parse(data, &parsed); err != nil {
		return
	}
	segment := c.bench.scratch.Segment(parsed)
	flow := c.flows[segment.To]
	if flow == nil || flow.over {
		return
	}
	switch {
	case segment.RST && !flow.established:
		flow.over = true
		delete(c.flows, flow.from)
		c.Refused++
		if _, seen := c.accepts[acceptKey{flow.from, flow.isn}]; seen {
			c.RefusedAfterForward++
		}
	case segment.RST:
		if segment.Seq == flow.serverISN+1 {
			c.breakFlow(flow, "reset at "+time.Now().Format("05.000"))
		}
	case segment.SYN && !flow.established:
		c.establish(flow, segment.Seq)
	case segment.SYN && segment.Seq != flow.serverISN:
		// A second backend server answered; this connection is not taken up.
		return
	case segment.FIN && flow.ending:
		flow.over = true
		delete(c.flows, flow.from)
		c.Finished++
	case len(segment.Payload) > 0:
		c.answered(flow, binary.BigEndian.Uint64(segment.Payload))
	}
}

func (c *Callers) establish(flow *caller, serverISN uint32) {
	flow.established = true
	flow.serverISN = serverISN
	c.talk(flow)
	if flow.line.Life > 0 {
		c.bench.after(flow.line.Life, func() { c.finish(flow, 0) })
	}
}

func (c *Callers) answered(flow *caller, number uint64) {
	if flow.waiting != number {
		return
	}
	flow.waiting = 0
	flow.late = false
	if flow.line.Talk > 0 {
		c.bench.after(flow.line.Talk, func() { c.talk(flow) })
	}
}

// accepted notes which backend server saw a flow's first packet.
func (c *Callers) accepted(from netip.AddrPort, isn uint32, backend string) {
	key := acceptKey{from, isn}
	if before, seen := c.accepts[key]; seen && before != backend {
		c.TwoServed++
	}
	c.accepts[key] = backend
}

// ran notes that a request was run.
func (c *Callers) ran(request uint64) {
	c.runs[request]++
	if c.runs[request] > 1 {
		c.Doubled++
	}
}

// OpenFlows returns the number of established flows.
func (c *Callers) OpenFlows() int {
	open := 0
	for _, flow := range c.flows {
		if flow.established && !flow.over {
			open++
		}
	}
	return open
}

// Waiting returns the number of flows that had to send something again and still
// have no answer.
func (c *Callers) Waiting() int {
	waiting := 0
	for _, flow := range c.flows {
		if !flow.over && (!flow.established && flow.tries > 1 || flow.late) {
			waiting++
		}
	}
	return waiting
}
