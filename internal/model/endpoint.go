package model

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
)

// EndpointConfig holds the settings and callbacks of an Endpoint. OnAccept is called for
// each new connection, with a sequence number of 0 for each UDP datagram. OnExecute is called
// for each executed request. Both may be nil.
type EndpointConfig struct {
	Service   netip.AddrPort
	Random    *rand.Rand
	OnAccept  func(caller netip.AddrPort, isn uint32)
	OnExecute func(request uint64)
}

// Endpoint is a backend server's side of its connections. It is a reduced TCP server that
// accepts connections, executes each request of a connection once, and resets unknown
// connections.
type Endpoint struct {
	settings    EndpointConfig
	parser      *packet.Parser
	connections map[netip.AddrPort]*connection
}

type connection struct {
	callerISN uint32
	serverISN uint32
	executed  map[uint64]bool
}

// requestIDBytes is the size in bytes of the request ID that starts a payload.
const requestIDBytes = 8

// NewEndpoint returns an endpoint without connections.
func NewEndpoint(settings EndpointConfig) *Endpoint {
	return &Endpoint{settings: settings, parser: packet.NewParser(), connections: make(map[netip.AddrPort]*connection)}
}

// OpenConnections returns the number of open connections.
func (e *Endpoint) OpenConnections() int {
	return len(e.connections)
}

// Receive processes a packet and returns the answer, nil if there is none. UDP datagrams have
// no answer. It returns an error if the packet is malformed or addressed to another service.
func (e *Endpoint) Receive(data []byte) ([]byte, error) {
	var parsed packet.Packet
	if err := e.parser.Parse(data, &parsed); err != nil {
		return nil, fmt.Errorf("model: parse packet to endpoint of %s: %w", e.settings.Service, err)
	}
	if parsed.Key.Service != e.settings.Service {
		return nil, fmt.Errorf("model: endpoint of %s received a packet to %s", e.settings.Service, parsed.Key.Service)
	}
	if parsed.Key.Protocol == flow.UDP {
		if e.settings.OnAccept != nil {
			e.settings.OnAccept(parsed.Key.Caller, 0)
		}
		return nil, nil
	}
	segment := e.parser.Segment(parsed)
	response, responds := e.respond(segment)
	if !responds {
		return nil, nil
	}
	response.From, response.To = segment.To, segment.From
	return response.Bytes()
}

// respond returns the answer to a segment, and whether there is one.
func (e *Endpoint) respond(segment packet.Segment) (packet.Segment, bool) {
	conn := e.connections[segment.From]
	switch {
	case segment.RST:
		delete(e.connections, segment.From)
		return packet.Segment{}, false
	case segment.SYN:
		if conn == nil || conn.callerISN != segment.Seq {
			conn = e.accept(segment)
		}
		return packet.Segment{SYN: true, ACK: true, Seq: conn.serverISN, AckSeq: segment.Seq + 1}, true
	case conn == nil || segment.AckSeq != conn.serverISN+1:
		return packet.Segment{RST: true, Seq: segment.AckSeq}, true
	case segment.FIN:
		delete(e.connections, segment.From)
		return packet.Segment{FIN: true, ACK: true, Seq: conn.serverISN + 1, AckSeq: segment.Seq + 1}, true
	case len(segment.Payload) >= requestIDBytes:
		e.execute(conn, binary.BigEndian.Uint64(segment.Payload))
		return packet.Segment{ACK: true, Seq: conn.serverISN + 1, Payload: segment.Payload}, true
	}
	return packet.Segment{}, false
}

func (e *Endpoint) accept(segment packet.Segment) *connection {
	conn := &connection{callerISN: segment.Seq, serverISN: e.settings.Random.Uint32(), executed: make(map[uint64]bool)}
	e.connections[segment.From] = conn
	if e.settings.OnAccept != nil {
		e.settings.OnAccept(segment.From, segment.Seq)
	}
	return conn
}

// execute executes a request unless the connection has executed it before, so that a
// retransmission is answered but not executed again.
func (e *Endpoint) execute(conn *connection, id uint64) {
	if conn.executed[id] {
		return
	}
	conn.executed[id] = true
	if e.settings.OnExecute != nil {
		e.settings.OnExecute(id)
	}
}
