// Package flow defines the flows that balancers forward: their keys, their compact
// IDs, the slots that they belong to, and the record that is kept for each flow.
//
// All balancers identify a flow by a 64-bit keyed hash of its protocol, addresses
// and ports. Using the whole key between balancers was rejected: it takes 13 to 37
// bytes per record, and the bandwidth for replication is limited. The seed of the
// hash is part of the published configuration; without knowing it, callers cannot
// choose ports that collide.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is the transport protocol of a flow.
type Protocol string

// The values of Protocol.
const (
	TCP Protocol = "TCP"
	UDP Protocol = "UDP"
)

// Key holds the protocol and the two endpoints of a flow.
type Key struct {
	Protocol Protocol
	Caller   netip.AddrPort
	Service  netip.AddrPort
}

// String returns the key as protocol, caller and service, for example
// "TCP 203.0.113.9:40000>198.51.100.1:443".
func (k Key) String() string {
	return fmt.Sprintf("%s %s>%s", k.Protocol, k.Caller, k.Service)
}

// ID is the keyed hash by which balancers identify a flow.
type ID uint64

// String returns the ID as 16 hexadecimal digits.
func (i ID) String() string {
	return fmt.Sprintf("%016x", uint64(i))
}

// Seed is the key of the flow hash. It is published with the configuration and must not
// change while there are flows.
type Seed uint64

const keyBytes = 8 + 1 + 2*(16+2)

// Hash returns the ID of the flow with the given key. It is never zero.
func Hash(seed Seed, key Key) ID {
	var buffer [keyBytes]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(seed))
	buffer[8] = key.Protocol[0]
	caller := key.Caller.Addr().As16()
	service := key.Service.Addr().As16()
	copy(buffer[9:], caller[:])
	binary.LittleEndian.PutUint16(buffer[25:], key.Caller.Port())
	copy(buffer[27:], service[:])
	binary.LittleEndian.PutUint16(buffer[43:], key.Service.Port())
	// Table uses zero to mark empty entries.
	return max(1, ID(xxhash.Sum64(buffer[:])))
}

// Slot is one of SlotCount equal parts of the ID space. Owners and default backend
// servers are assigned per slot.
type Slot uint16

// SlotCount is the number of slots. Maglev hashing requires a prime number.
const SlotCount = 4093

// Slot returns the slot of the flow.
func (i ID) Slot() Slot {
	// Multiplying and shifting maps the hash evenly to slots without a division. For
	// example, the middle of the ID space is mapped to slot 2046.
	high := uint64(i) >> 32
	return Slot(high * SlotCount >> 32)
}

// BackendKey identifies a backend server in messages between balancers.
type BackendKey uint32

// ServiceKey identifies a service in messages between balancers.
type ServiceKey uint32

// MemberKey identifies a balancer in messages between balancers.
type MemberKey uint32

// NameKey returns the 32-bit key of a published name, which is a hash. Configurations with
// colliding names are rejected, so keys are unique within a configuration.
func NameKey(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Record is the state that a balancer keeps of one flow. It contains no pointers, so that
// the garbage collector need not scan hundreds of thousands of records.
type Record struct {
	Backend  BackendKey
	Service  ServiceKey
	LastSeen Second
	Kind     Kind
	State    State
	// HandOverCount is the number of the flow's packets that other balancers have handed
	// over to this one since the last answer was sent, at most 255.
	HandOverCount uint8
}

// Second is a point in time, in whole seconds since the balancer started.
type Second uint32

// Kind says why a balancer holds a record. It is a byte rather than a string to save memory,
// since a balancer holds hundreds of thousands of records.
type Kind uint8

// The values of Kind.
const (
	// Cached records hold the answer of a flow's owner.
	Cached Kind = iota
	// Replica records are copies of an owner's exceptions.
	Replica
	// Default records are flows that the balancer owns, on their slot's default backend
	// server.
	Default
	// Exception records are flows that the balancer owns, on another backend server.
	Exception
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"Cached", "Replica", "Default", "Exception"}[k]
}

// State is the connection state of a flow, as seen in the caller's packets.
type State uint8

// The values of State.
const (
	// Opening flows have sent only first packets.
	Opening State = iota
	// Open flows have sent a packet that is not a first packet.
	Open
	// Closed flows have sent a FIN or RST.
	Closed
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Opening", "Open", "Closed"}[s]
}

// Owned reports whether the balancer that holds the record owns the flow.
func (r Record) Owned() bool {
	return r.Kind == Default || r.Kind == Exception
}
