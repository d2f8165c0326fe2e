package tagged

import (
	"fmt"
	"net/netip"

	"wigeonmoor.example/internal/state"
)

// Key names a flow by its two ends.
type Key struct {
	Caller state.Endpoint
	Listen state.Endpoint
}

// String returns the key as caller and route address.
func (k Key) String() string { return fmt.Sprintf("%s>%s", k.Caller, k.Listen) }

// Packet is what a caller's packet says to a balancer. Its bytes stay with the
// reader.
type Packet struct {
	Key Key
	// First packets open a flow, Last ones close the caller's side, Abort ones reset
	// the flow.
	First, Last, Abort bool
	// Copy counts how often a first packet was sent before.
	Copy uint32
	// Sequence and Acknowledged are the caller's positions in the two directions.
	Sequence, Acknowledged uint32
	// Length is the number of data bytes.
	Length int
	Tag    state.Tag
}

// Action says what to do with a packet.
type Action string

// The actions.
const (
	// Forward sends the packet to a backend server.
	Forward Action = "Forward"
	// Refuse answers with a reset.
	Refuse Action = "Refuse"
	// Drop does nothing.
	Drop Action = "Drop"
)

// Verdict is the decision for one packet.
type Verdict struct {
	Action Action
	// To, ID and Tag are set with Forward.
	To  netip.AddrPort
	ID  state.BackendID
	Tag state.Tag
}

// Reset ends a flow at its caller.
type Reset struct {
	Key Key
	// Sequence is the caller's last acknowledged position.
	Sequence uint32
}

// Codec is the form of packets on the wire.
type Codec interface {
	// Parse reads a caller's packet.
	Parse(data []byte, out *Packet) error
	// Address prepares a datagram for a backend server: Room bytes in front of the
	// packet name the server, and the packet carries the tag.
	Address(datagram []byte, id state.BackendID, tag state.Tag)
	// Room is the number of bytes in front of a packet for a backend server.
	Room() int
	// AppendReset writes a reset for a caller.
	AppendReset(out []byte, reset Reset) []byte
}
