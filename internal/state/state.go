// Package state holds a replica of the configuration that operators publish and of the
// backend servers that have registered themselves. Balancers synchronize their replicas
// by revision.
//
// The platform assigns each change the next revision. A replica stores every published
// item with the revision of its last change, so it can compute a delta for any peer that
// is at an older revision, no matter which balancer read the change from the platform.
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

// Epoch counts how often the platform's store was restored from an older copy. Revisions of
// different epochs are not comparable, because a restored store assigns some of them again.
type Epoch uint16

// Revision is the platform's counter of changes to published items. It never decreases.
type Revision uint64

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

// Tag returns the tag of the backend server's flows. It is a hash of the name alone, so
// that all balancers compute the same tag, including those that start later.
func (b *Backend) Tag() Tag {
	tag := Tag(xxhash.Sum64String(b.Name))
	if tag == 0 {
		return 1
	}
	return tag
}
