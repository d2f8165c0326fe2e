package tagged

import (
	"fmt"
	"net/netip"

	"wigeonmoor.example/internal/state"
)

// Key identifies a flow by its two endpoints.
type Key struct {
	// Caller is the caller's address, Listen the address of the route.
	Caller state.Endpoint
	Listen state.Endpoint
}

// String returns the key as "caller>route address".
func (k Key) String() string { return fmt.Sprintf("%s>%s", k.Caller, k.Listen) }

// Packet is the header of a caller's packet, as far as a balancer needs it. The
// payload stays in the reader's buffer.
type Packet struct {
	Key Key
	// First is set on packets that open a flow, Last on those that close the caller's
	// side, and Abort on those that reset the flow.
	First, Last, Abort bool
	// Retransmits is the number of earlier transmissions of a first packet.
	Retransmits uint32
	// Sequence is the caller's position in the data that it sends, Acknowledged in
	// the data that it has received.
	Sequence, Acknowledged uint32
	// Length is the number of data bytes.
	Length int
	// Tag is the tag of the flow's backend server. First packets have none.
	Tag state.Tag
}

// Action is what to do with a packet.
type Action string

// The actions.
const (
	// Forward sends the packet to a backend server.
	Forward Action = "Forward"
	// Refuse answers the packet with a reset.
	Refuse Action = "Refuse"
	// Drop discards the packet without an answer.
	Drop Action = "Drop"
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	// To, ID and Tag identify the backend server if the action is Forward.
	To  netip.AddrPort
	ID  state.BackendID
	Tag state.Tag
}

// Reset is a reset packet to send to the caller of a flow.
type Reset struct {
	Key Key
	// Sequence is the last position that the caller has acknowledged.
	Sequence uint32
}

// Codec parses and builds packets in their wire format.
type Codec interface {
	// Parse decodes a caller's packet into out. It returns an error if the packet is
	// malformed.
	Parse(data []byte, out *Packet) error
	// Encapsulate prepares a datagram for a backend server: it writes the header, the
	// first HeaderSize bytes, which names the server, and sets the tag in the packet
	// after it.
	Encapsulate(datagram []byte, id state.BackendID, tag state.Tag)
	// HeaderSize returns the number of bytes in front of a packet to a backend
	// server.
	HeaderSize() int
	// AppendReset appends a reset packet for a caller to out and returns the extended
	// slice.
	AppendReset(out []byte, reset Reset) []byte
}
