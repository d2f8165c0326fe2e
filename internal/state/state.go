// Package state holds a replica of the configuration that operators publish and of the
// backend servers that have registered themselves. Balancers synchronize their replicas
// by revision.
//
// The platform assigns each change the next revision. A replica stores every published
// item with the revision of its last change, so it can compute a delta for any peer that
// is at an older revision, no matter which balancer read the change from the platform.
//
// A platform that was restored from an older copy starts a new epoch, which every revision
// includes. A replica enters an epoch with a full delta. It stores the items that differ from
// what it had with revisions of the new epoch and leaves the others as they are, so that peers
// that were not ahead of it still need only a delta. Knowledge that the copy lacks is kept
// where it is certain: the newest version of the configuration, which operators publish again,
// that a backend server is draining, and which of two servers with the same name or address
// started later.
//
// Comparing counters without an epoch was rejected: after a restore, two replicas with equal
// counters can differ. Starting an epoch with an empty replica was rejected as well: every
// balancer would need the full state at once, and would forget which servers are draining.
//
// Two alternatives were rejected. Relaying the platform's own bytes would require every
// receiver to know their format. A log of changes does not help a peer that has been
// unreachable for long, because it needs the current items anyway.
package state

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Epoch counts how often the platform's store was restored from an older copy.
type Epoch uint16

// Counter is the platform's counter of changes to published items. It increases within an
// epoch. A restored store continues from the counter of its copy, so it assigns values again
// that it has already assigned in the previous epoch.
type Counter uint64

// Revision is a position in the history of the platform's store: the epoch in the upper 16
// bits and the counter in the lower 48. The order of two revisions is that of the epochs, and
// within an epoch that of the counters. Counters must not be compared without their epochs.
type Revision uint64

const (
	counterBits = 48
	// MaxCounter is the highest counter that fits into a Revision.
	MaxCounter Counter = 1<<counterBits - 1
)

// NewRevision returns the revision with an epoch and a counter, which must not exceed
// MaxCounter.
func NewRevision(epoch Epoch, counter Counter) Revision {
	return Revision(epoch)<<counterBits | Revision(counter)
}

// Epoch returns the epoch of the revision.
func (r Revision) Epoch() Epoch { return Epoch(r >> counterBits) }

// Counter returns the platform's counter at the revision.
func (r Revision) Counter() Counter { return Counter(r) & MaxCounter }

// Version is the number that operators assign to a configuration. It never decreases.
type Version uint64

// BackendID identifies a backend server. It precedes the packet in each datagram to it.
type BackendID uint64

// Tag is the cookie that both endpoints of a flow put into every packet. It identifies
// the flow's backend server. Zero means that there is no tag.
type Tag uint32

// Endpoint is an IPv4 address and a port packed into one integer: the address in bits 16
// to 47, the port in bits 0 to 15.
type Endpoint uint64

// NewEndpoint packs an IPv4 address, given as a big-endian integer, and a port.
func NewEndpoint(address uint32, port uint16) Endpoint {
	return Endpoint(address)<<16 | Endpoint(port)
}

// EndpointOf packs an IPv4 address and its port. It returns false for any other address.
func EndpointOf(address netip.AddrPort) (Endpoint, bool) {
	if !address.Addr().Is4() {
		return 0, false
	}
	bytes := address.Addr().As4()
	packed := uint32(bytes[0])<<24 | uint32(bytes[1])<<16 | uint32(bytes[2])<<8 | uint32(bytes[3])
	return NewEndpoint(packed, address.Port()), true
}

// Address returns the IPv4 address as a big-endian integer.
func (e Endpoint) Address() uint32 { return uint32(e >> 16) }

// Port returns the port number.
func (e Endpoint) Port() uint16 { return uint16(e) }

// AddrPort converts the endpoint to the standard library's type.
func (e Endpoint) AddrPort() netip.AddrPort {
	a := e.Address()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), e.Port())
}

// String formats the endpoint, for example "192.0.2.1:443".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// BackendState says whether a backend server accepts new flows.
type BackendState string

// The states of a backend server.
const (
	Serving  BackendState = "Serving"
	Draining BackendState = "Draining"
)

// Backend is a backend server as it has registered itself with the platform.
type Backend struct {
	// Name is the published identifier, which also appears in logs and on the admin interface.
	Name    string
	ID      BackendID
	Service string
	// Domain is the failure domain.
	Domain  string
	Address netip.AddrPort
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	State BackendState
	// ColdUntil is when the server reaches full speed after its start, on this process's
	// clock.
	ColdUntil time.Time
	// Started is when the server process started, in Unix milliseconds, or 0 if unknown.
	Started  int64
	Revision Revision
}

// supersedes reports whether another entry of the backend server is certainly older than this
// one: it is of an earlier start, or says that the server is serving although it is already
// draining, which is final.
func (b *Backend) supersedes(other *Backend) bool {
	if b.startedAfter(other) || other.startedAfter(b) {
		return b.startedAfter(other)
	}
	return b.State == Draining && other.State == Serving
}

// startedAfter reports whether the backend server is known to have started after another.
func (b *Backend) startedAfter(other *Backend) bool {
	return b.Started > other.Started && other.Started != 0
}

// equalIgnoringRevision reports whether two entries are equal in everything but their revision
// and the rest of the cold start, which depends on when they were read.
func (b *Backend) equalIgnoringRevision(other *Backend) bool {
	copied := *other
	copied.Revision, copied.ColdUntil = b.Revision, b.ColdUntil
	return *b == copied
}

// Tag returns the tag of the backend server's flows. It is a hash of the name alone, so
// that all balancers compute the same tag, including those that start later.
func (b *Backend) Tag() Tag {
	tag := Tag(xxhash.Sum64String(b.Name))
	if tag == 0 {
		return 1
	}
	return tag
}
