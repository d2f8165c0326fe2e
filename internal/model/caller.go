package model

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/packet"
)

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
	// WrongAnswers counts answers that differ from what was asked for.
	WrongAnswers int
	Answered     int
	// BrokenWhy tells of the first broken flows.
	BrokenWhy []string

	settings CallersConfig
	parser   *packet.Parser
	flows    map[netip.AddrPort]*caller
	nextPort uint32
	requests uint64
	quiet    bool
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
	// Skewed draws each flow's life from an exponential distribution around Life.
	Skewed bool
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

// CallersConfig sets callers up.
type CallersConfig struct {
	Random *rand.Rand
	Loop   *Loop
	// Send gives a packet to the fabric.
	Send func(data []byte)
}

// NewCallers returns callers without flows.
func NewCallers(settings CallersConfig) *Callers {
	return &Callers{
		settings: settings,
		parser:   packet.NewParser(),
		flows:    make(map[netip.AddrPort]*caller),
		runs:     make(map[uint64]int),
		accepts:  make(map[acceptKey]string),
	}
}

// Start opens a flow.
func (c *Callers) Start(line Line) {
	c.nextPort++
	address := netip.AddrFrom4([4]byte{10, byte(c.nextPort >> 24), byte(c.nextPort >> 16), byte(c.nextPort >> 8)})
	from := netip.AddrPortFrom(address, 1024+uint16(c.nextPort&0xff))
	flow := &caller{line: line, from: from, isn: c.settings.Random.Uint32()}
	c.flows[from] = flow
	c.Started++
	c.connect(flow)
}

// StartMany opens flows evenly over a span.
func (c *Callers) StartMany(count int, span time.Duration, line Line) {
	for index := range count {
		c.settings.Loop.After(span*time.Duration(index)/time.Duration(count), func() { c.Start(line) })
	}
}

func (c *Callers) send(flow *caller, segment packet.Segment) {
	segment.From, segment.To = flow.from, flow.line.Service.Address
	data, err := segment.Bytes()
	if err != nil {
		panic(err)
	}
	c.settings.Send(data)
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
	c.settings.Loop.After(wait, func() { c.connect(flow) })
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
	c.send(flow, packet.Segment{ACK: true, Seq: flow.isn + 1, AckSeq: flow.serverISN + 1, Payload: payloadOf(number)})
	c.settings.Loop.After(min(firstRetry<<try, 8*time.Second), func() { c.request(flow, number, try+1) })
}

// payloadBytes is the size of a request and of its answer.
const payloadBytes = 64

// payloadOf returns a request, which its answer repeats whole.
func payloadOf(number uint64) []byte {
	payload := binary.BigEndian.AppendUint64(nil, number)
	for len(payload) < payloadBytes {
		payload = append(payload, byte(number)+byte(len(payload)))
	}
	return payload
}

func (c *Callers) talk(flow *caller) {
	if flow.over || flow.ending || flow.waiting != 0 || c.quiet {
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

// SendDatagram sends one UDP datagram of the flow between two ends.
func (c *Callers) SendDatagram(from, service netip.AddrPort) error {
	data, err := packet.Datagram{From: from, To: service, Payload: payloadOf(0)}.Bytes()
	if err != nil {
		return err
	}
	c.settings.Send(data)
	return nil
}

// Quiet ends all talk: requests that wait are still answered, none are added.
func (c *Callers) Quiet() {
	c.quiet = true
}

func (c *Callers) finish(flow *caller, try int) {
	if flow.over || try == maxTries {
		return
	}
	flow.ending = true
	c.send(flow, packet.Segment{FIN: true, ACK: true, Seq: flow.isn + 1, AckSeq: flow.serverISN + 1})
	c.settings.Loop.After(firstRetry<<try, func() { c.finish(flow, try+1) })
}

func (c *Callers) breakFlow(flow *caller, reason string) {
	flow.over = true
	delete(c.flows, flow.from)
	c.Broken++
	if len(c.BrokenWhy) < 10 {
		c.BrokenWhy = append(c.BrokenWhy, flow.from.String()+": "+reason)
	}
}

// Receive takes an answer to a caller.
func (c *Callers) Receive(data []byte) {
	var parsed packet.Packet
	if err := c.parser.Parse(data, &parsed); err != nil {
		return
	}
	segment := c.parser.Segment(parsed)
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
		c.answered(flow, segment.Payload)
	}
}

func (c *Callers) establish(flow *caller, serverISN uint32) {
	flow.established = true
	flow.serverISN = serverISN
	c.talk(flow)
	if flow.line.Life > 0 {
		c.settings.Loop.After(c.lifeOf(flow.line), func() { c.finish(flow, 0) })
	}
}

func (c *Callers) lifeOf(line Line) time.Duration {
	if !line.Skewed {
		return line.Life
	}
	return time.Duration(c.settings.Random.ExpFloat64() * float64(line.Life))
}

func (c *Callers) answered(flow *caller, payload []byte) {
	if len(payload) < requestBytes || binary.BigEndian.Uint64(payload) != flow.waiting {
		return
	}
	if !bytes.Equal(payload, payloadOf(flow.waiting)) {
		c.WrongAnswers++
	}
	c.Answered++
	flow.waiting = 0
	flow.late = false
	if flow.line.Talk > 0 {
		c.settings.Loop.After(flow.line.Talk, func() { c.talk(flow) })
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
	return len(c.WaitingFlows())
}

// WaitingFlows describes the flows that Waiting counts.
func (c *Callers) WaitingFlows() []string {
	var waiting []string
	for _, flow := range c.flows {
		if !flow.over && (!flow.established && flow.tries > 1 || flow.late) {
			waiting = append(waiting, fmt.Sprintf("%s>%s: waiting, established %t", flow.from, flow.line.Service.Address, flow.established))
		}
	}
	return waiting
}
