package model

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
)

// EndpointConfig sets an endpoint up. The callbacks may be nil.
type EndpointConfig struct {
	Service  netip.AddrPort
	Random   *rand.Rand
	Accepted func(caller netip.AddrPort, isn uint32)
	Ran      func(request uint64)
}

// Endpoint is a backend server's side of its connections, a small TCP: it accepts
// connections, runs each request once, and resets what it does not know.
type Endpoint struct {
	settings    EndpointConfig
	parser      *packet.Parser
	connections map[netip.AddrPort]*connection
}

type connection struct {
	callerISN uint32
	serverISN uint32
	ran       map[uint64]bool
}

// requestBytes is the size of a request's number at the start of its payload.
const requestBytes = 8

// NewEndpoint returns an endpoint without connections.
func NewEndpoint(settings EndpointConfig) *Endpoint {
	return &Endpoint{settings: settings, parser: packet.NewParser(), connections: make(map[netip.AddrPort]*connection)}
}

// Open returns the number of connections.
func (e *Endpoint) Open() int {
	return len(e.connections)
}

// Receive takes a packet and returns the answer, nil if there is none, as for UDP.
// A packet for another service is an error.
func (e *Endpoint) Receive(data []byte) ([]byte, error) {
	var parsed packet.Packet
	if err := e.parser.Parse(data, &parsed); err != nil {
		return nil, fmt.Errorf("model: endpoint of %s: %w", e.settings.Service, err)
	}
	if parsed.Key.Service != e.settings.Service {
		return nil, fmt.Errorf("model: endpoint of %s got a packet for %s", e.settings.Service, parsed.Key.Service)
	}
	if parsed.Key.Protocol == flow.UDP {
		if e.settings.Accepted != nil {
			e.settings.Accepted(parsed.Key.Caller, 0)
		}
		return nil, nil
	}
	segment := e.parser.Segment(parsed)
	answer, ok := e.answer(segment)
	if !ok {
		return nil, nil
	}
	answer.From, answer.To = segment.To, segment.From
	return answer.Bytes()
}

// answer decides what to reply to a segment.
func (e *Endpoint) answer(segment packet.Segment) (packet.Segment, bool) {
	open := e.connections[segment.From]
	switch {
	case segment.RST:
		delete(e.connections, segment.From)
		return packet.Segment{}, false
	case segment.SYN:
		if open == nil || open.callerISN != segment.Seq {
			open = e.accept(segment)
		}
		return packet.Segment{SYN: true, ACK: true, Seq: open.serverISN, AckSeq: segment.Seq + 1}, true
	case open == nil || segment.AckSeq != open.serverISN+1:
		return packet.Segment{RST: true, Seq: segment.AckSeq}, true
	case segment.FIN:
		delete(e.connections, segment.From)
		return packet.Segment{FIN: true, ACK: true, Seq: open.serverISN + 1, AckSeq: segment.Seq + 1}, true
	case len(segment.Payload) >= requestBytes:
		e.run(open, binary.BigEndian.Uint64(segment.Payload))
		return packet.Segment{ACK: true, Seq: open.serverISN + 1, Payload: segment.Payload}, true
	}
	return packet.Segment{}, false
}

func (e *Endpoint) accept(segment packet.Segment) *connection {
	open := &connection{callerISN: segment.Seq, serverISN: e.settings.Random.Uint32(), ran: make(map[uint64]bool)}
	e.connections[segment.From] = open
	if e.settings.Accepted != nil {
		e.settings.Accepted(segment.From, segment.Seq)
	}
	return open
}

// run runs a request, unless this connection has run it before.
func (e *Endpoint) run(open *connection, request uint64) {
	if open.ran[request] {
		return
	}
	open.ran[request] = true
	if e.settings.Ran != nil {
		e.settings.Ran(request)
	}
}
