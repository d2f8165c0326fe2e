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

// Callers simulates all callers: it opens flows, sends requests on them and counts what
// the callers observe. It is a reduced TCP client that retransmits what is not answered.
type Callers struct {
	// Started counts flows that were opened, Finished those that both ends closed, Broken
	// established flows that were reset or whose request was never answered, and Refused
	// flows whose SYN was answered by a reset.
	Started  int
	Finished int
	Broken   int
	Refused  int
	// Misrouted counts packets that reached a backend server of another service, Doubled
	// executions of a request after its first, and TwoServed connections that a second
	// backend server accepted.
	Misrouted int
	Doubled   int
	TwoServed int
	// RefusedAfterForward counts refused flows that a backend server had accepted.
	RefusedAfterForward int
	// Unanswered counts flows whose SYN was never answered.
	Unanswered int
	// WrongAnswers counts answers whose payload differs from the request's.
	WrongAnswers int
	// Answered counts answered requests.
	Answered int
	// BrokenReasons describes the first ten broken flows.
	BrokenReasons []string

	settings        CallersConfig
	parser          *packet.Parser
	flows           map[netip.AddrPort]*callerFlow
	nextPort        uint32
	lastRequest     uint64
	requestsStopped bool
	executions      map[uint64]int
	accepts         map[acceptKey]string
}

// acceptKey identifies a connection by its caller and initial sequence number.
type acceptKey struct {
	caller netip.AddrPort
	isn    uint32
}

// FlowConfig describes a group of flows that behave alike.
type FlowConfig struct {
	Service config.Service
	// Lifetime is how long a flow stays open. 0 means that it is never closed.
	Lifetime time.Duration
	// ExponentialLifetime makes lifetimes exponentially distributed with the mean Lifetime.
	ExponentialLifetime bool
	// RequestInterval is the time between an answer and the next request of a flow. 0 means
	// that the flow sends a single request.
	RequestInterval time.Duration
}

// callerFlow is the caller's side of a flow.
type callerFlow struct {
	settings    FlowConfig
	from        netip.AddrPort
	isn         uint32
	serverISN   uint32
	established bool
	closed      bool
	// pendingRequest is the ID of the unanswered request, 0 if there is none.
	pendingRequest uint64
	synAttempts    int
	closing        bool
	// retransmitted is true if the pending request was sent more than once.
	retransmitted bool
}

// Retransmission of SYN, request and FIN segments.
const (
	initialRetryInterval = time.Second
	maxAttempts          = 9
)

// CallersConfig holds the settings of Callers.
type CallersConfig struct {
	Random *rand.Rand
	Loop   *Loop
	// Send sends a packet to the fabric.
	Send func(data []byte)
}

// NewCallers returns Callers without flows.
func NewCallers(settings CallersConfig) *Callers {
	return &Callers{
		settings:   settings,
		parser:     packet.NewParser(),
		flows:      make(map[netip.AddrPort]*callerFlow),
		executions: make(map[uint64]int),
		accepts:    make(map[acceptKey]string),
	}
}

// StartFlow opens a flow from a new caller address.
func (c *Callers) StartFlow(settings FlowConfig) {
	c.nextPort++
	address := netip.AddrFrom4([4]byte{10, byte(c.nextPort >> 24), byte(c.nextPort >> 16), byte(c.nextPort >> 8)})
	from := netip.AddrPortFrom(address, 1024+uint16(c.nextPort&0xff))
	flow := &callerFlow{settings: settings, from: from, isn: c.settings.Random.Uint32()}
	c.flows[from] = flow
	c.Started++
	c.connect(flow)
}

// StartFlows opens count flows at even intervals over the duration.
func (c *Callers) StartFlows(count int, duration time.Duration, settings FlowConfig) {
	for index := range count {
		c.settings.Loop.After(duration*time.Duration(index)/time.Duration(count), func() { c.StartFlow(settings) })
	}
}

func (c *Callers) send(flow *callerFlow, segment packet.Segment) {
	segment.From, segment.To = flow.from, flow.settings.Service.Address
	data, err := segment.Bytes()
	if err != nil {
		panic(err)
	}
	c.settings.Send(data)
}

// connect sends a SYN and retransmits it with exponential backoff until it is answered.
func (c *Callers) connect(flow *callerFlow) {
	if flow.established || flow.closed {
		return
	}
	if flow.synAttempts == maxAttempts {
		flow.closed = true
		c.Unanswered++
		return
	}
	c.send(flow, packet.Segment{SYN: true, Seq: flow.isn})
	wait := initialRetryInterval << flow.synAttempts
	flow.synAttempts++
	c.settings.Loop.After(wait, func() { c.connect(flow) })
}

// sendRequest sends a request and retransmits it with exponential backoff, at most eight
// seconds apart, until it is answered.
func (c *Callers) sendRequest(flow *callerFlow, id uint64, attempt int) {
	if flow.closed || flow.pendingRequest != id {
		return
	}
	flow.retransmitted = attempt > 0
	if attempt == maxAttempts {
		c.markBroken(flow, "request was never answered")
		return
	}
	c.send(flow, packet.Segment{ACK: true, Seq: flow.isn + 1, AckSeq: flow.serverISN + 1, Payload: requestPayload(id)})
	c.settings.Loop.After(min(initialRetryInterval<<attempt, 8*time.Second), func() { c.sendRequest(flow, id, attempt+1) })
}

// payloadBytes is the size in bytes of a request and of its answer.
const payloadBytes = 64

// requestPayload returns the payload of a request. The answer repeats it unchanged.
func requestPayload(id uint64) []byte {
	payload := binary.BigEndian.AppendUint64(nil, id)
	for len(payload) < payloadBytes {
		payload = append(payload, byte(id)+byte(len(payload)))
	}
	return payload
}

// startRequest sends a new request unless one is pending.
func (c *Callers) startRequest(flow *callerFlow) {
	if flow.closed || flow.closing || flow.pendingRequest != 0 || c.requestsStopped {
		return
	}
	c.lastRequest++
	flow.pendingRequest = c.lastRequest
	c.sendRequest(flow, flow.pendingRequest, 0)
}

// RequestAll makes every established flow without a pending request send one.
func (c *Callers) RequestAll() {
	for index := range c.nextPort {
		number := index + 1
		address := netip.AddrFrom4([4]byte{10, byte(number >> 24), byte(number >> 16), byte(number >> 8)})
		flow := c.flows[netip.AddrPortFrom(address, 1024+uint16(number&0xff))]
		if flow != nil && flow.established {
			c.startRequest(flow)
		}
	}
}

// SendDatagram sends a UDP datagram to a service. It returns an error if the datagram cannot
// be encoded.
func (c *Callers) SendDatagram(from, service netip.AddrPort) error {
	data, err := packet.Datagram{From: from, To: service, Payload: requestPayload(0)}.Bytes()
	if err != nil {
		return err
	}
	c.settings.Send(data)
	return nil
}

// StopRequests prevents new requests. Pending ones are still retransmitted until they are
// answered.
func (c *Callers) StopRequests() {
	c.requestsStopped = true
}

// closeFlow sends a FIN and retransmits it with exponential backoff until it is answered.
func (c *Callers) closeFlow(flow *callerFlow, attempt int) {
	if flow.closed || attempt == maxAttempts {
		return
	}
	flow.closing = true
	c.send(flow, packet.Segment{FIN: true, ACK: true, Seq: flow.isn + 1, AckSeq: flow.serverISN + 1})
	c.settings.Loop.After(initialRetryInterval<<attempt, func() { c.closeFlow(flow, attempt+1) })
}

func (c *Callers) markBroken(flow *callerFlow, reason string) {
	flow.closed = true
	delete(c.flows, flow.from)
	c.Broken++
	if len(c.BrokenReasons) < 10 {
		c.BrokenReasons = append(c.BrokenReasons, flow.from.String()+": "+reason)
	}
}

// Receive processes a packet to a caller.
func (c *Callers) Receive(data []byte) {
	var parsed packet.Packet
	if err := c.parser.Parse(data, &parsed); err != nil {
		return
	}
	segment := c.parser.Segment(parsed)
	flow := c.flows[segment.To]
	if flow == nil || flow.closed {
		return
	}
	switch {
	case segment.RST && !flow.established:
		flow.closed = true
		delete(c.flows, flow.from)
		c.Refused++
		if _, seen := c.accepts[acceptKey{flow.from, flow.isn}]; seen {
			c.RefusedAfterForward++
		}
	case segment.RST:
		if segment.Seq == flow.serverISN+1 {
			c.markBroken(flow, "reset at "+time.Now().Format("05.000"))
		}
	case segment.SYN && !flow.established:
		c.establish(flow, segment.Seq)
	case segment.SYN && segment.Seq != flow.serverISN:
		// A second backend server accepted the connection. The caller ignores it.
		return
	case segment.FIN && flow.closing:
		flow.closed = true
		delete(c.flows, flow.from)
		c.Finished++
	case len(segment.Payload) > 0:
		c.handleAnswer(flow, segment.Payload)
	}
}

func (c *Callers) establish(flow *callerFlow, serverISN uint32) {
	flow.established = true
	flow.serverISN = serverISN
	c.startRequest(flow)
	if flow.settings.Lifetime > 0 {
		c.settings.Loop.After(c.drawLifetime(flow.settings), func() { c.closeFlow(flow, 0) })
	}
}

func (c *Callers) drawLifetime(settings FlowConfig) time.Duration {
	if !settings.ExponentialLifetime {
		return settings.Lifetime
	}
	return time.Duration(c.settings.Random.ExpFloat64() * float64(settings.Lifetime))
}

func (c *Callers) handleAnswer(flow *callerFlow, payload []byte) {
	if len(payload) < requestIDBytes || binary.BigEndian.Uint64(payload) != flow.pendingRequest {
		return
	}
	if !bytes.Equal(payload, requestPayload(flow.pendingRequest)) {
		c.WrongAnswers++
	}
	c.Answered++
	flow.pendingRequest = 0
	flow.retransmitted = false
	if flow.settings.RequestInterval > 0 {
		c.settings.Loop.After(flow.settings.RequestInterval, func() { c.startRequest(flow) })
	}
}

// recordAccept records which backend server accepted a connection.
func (c *Callers) recordAccept(from netip.AddrPort, isn uint32, backend string) {
	key := acceptKey{from, isn}
	if previous, seen := c.accepts[key]; seen && previous != backend {
		c.TwoServed++
	}
	c.accepts[key] = backend
}

// recordExecution records that a backend server executed a request.
func (c *Callers) recordExecution(id uint64) {
	c.executions[id]++
	if c.executions[id] > 1 {
		c.Doubled++
	}
}

// OpenFlows returns the number of established flows.
func (c *Callers) OpenFlows() int {
	open := 0
	for _, flow := range c.flows {
		if flow.established && !flow.closed {
			open++
		}
	}
	return open
}

// Waiting returns the number of flows with a retransmitted SYN or request that has not been
// answered.
func (c *Callers) Waiting() int {
	return len(c.WaitingFlows())
}

// WaitingFlows describes the flows that Waiting counts.
func (c *Callers) WaitingFlows() []string {
	var waiting []string
	for _, flow := range c.flows {
		if !flow.closed && (!flow.established && flow.synAttempts > 1 || flow.retransmitted) {
			waiting = append(waiting, fmt.Sprintf("%s>%s: waiting, established %t", flow.from, flow.settings.Service.Address, flow.established))
		}
	}
	return waiting
}
