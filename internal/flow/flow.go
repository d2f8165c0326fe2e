// Package flow names the flows that balancers carry: their keys, their compact
// ids, the slots that own them and the record kept for each.
//
// A flow is identified on every balancer by a 64-bit keyed hash of its protocol,
// addresses and ports. The whole key was rejected as the identity between
// balancers: it takes 13 to 37 bytes a record, and replication is paid for in
// bytes. The hash is keyed with a published seed, so that callers cannot choose
// ports that collide.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is the transport protocol of a flow.
type Protocol string

// The protocols that a service can have.
const (
	TCP Protocol = "TCP"
	UDP Protocol = "UDP"
)

// Key holds the two ends of a flow.
type Key struct {
	Protocol Protocol
	Caller   netip.AddrPort
	Service  netip.AddrPort
}

// String returns the key as protocol, caller and service.
func (k Key) String() string {
	return fmt.Sprintf("%s %s>%s", k.Protocol, k.Caller, k.Service)
}

// ID is the keyed hash that identifies a flow between balancers.
type ID uint64

// String returns the id as 16 hexadecimal digits.
func (i ID) String() string {
	return fmt.Sprintf("%016x", uint64(i))
}

// Seed keys the hash of flows. It is published and never changes while flows live.
type Seed uint64

const keyBytes = 8 + 1 + 2*(16+2)

// Hash returns the id of the flow with the given key, which is never zero.
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
	// Zero marks empty places of tables.
	return max(1, ID(xxhash.Sum64(buffer[:])))
}

// Slot is one of SlotCount equal parts of the id space. Ownership and default
// backend servers are decided for a slot at a time.
type Slot uint16

// SlotCount is the number of slots. It is prime, as the default tables need.
const SlotCount = 4093

// Slot returns the slot of the flow.
func (i ID) Slot() Slot {
	// The product's high half maps the hash to a slot evenly, for example the
	// middle of the id space to slot 2046, without a division.
	high := uint64(i) >> 32
	return Slot(high * SlotCount >> 32)
}

// BackendKey identifies a backend server between balancers.
type BackendKey uint32

// ServiceKey identifies a service between balancers.
type ServiceKey uint32

// MemberKey identifies a balancer between balancers.
type MemberKey uint32

// NameKey returns the 32-bit key of a published name. Published values whose
// names collide are refused, so keys identify names within a configuration.
func NameKey(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Record is what a balancer holds of one flow. It has no pointers, so that
// hundreds of thousands of them cost the garbage collector nothing.
type Record struct {
	Backend  BackendKey
	Service  ServiceKey
	LastSeen Second
	Kind     Kind
	State    State
	Forwards uint8
}

// Second is a coarse time, in seconds since the balancer started.
type Second uint32

// Kind says why a balancer holds a record. Records are held by the hundred
// thousand, so it is a byte with a text form rather than a string.
type Kind uint8

// The kinds of record.
const (
	// Cached records repeat what an owner answered.
	Cached Kind = iota
	// Replica records are copies of an owner's exceptions.
	Replica
	// Default records are owned flows on their slot's default backend server.
	Default
	// Exception records are owned flows on another backend server.
	Exception
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"Cached", "Replica", "Default", "Exception"}[k]
}

// State is the progress of a flow, as far as its caller's packets show it.
type State uint8

// The states of a flow.
const (
	// Opening flows have shown first packets only.
	Opening State = iota
	// Open flows have shown a packet that answers the backend server.
	Open
	// Closed flows have shown a FIN or RST.
	Closed
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Opening", "Open", "Closed"}[s]
}

// Owned reports whether the holder of the record decides for the flow.
func (r Record) Owned() bool {
	return r.Kind == Default || r.Kind == Exception
}
