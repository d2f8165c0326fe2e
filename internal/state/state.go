// Package state holds what the operators and the backend servers publish, as a
// replica that balancers keep equal by revision.
//
// The platform counts each change with one revision. A replica is the published
// items with their revisions, so that what is new since a revision can be told to a
// peer that lags behind, whoever read it first. Relaying the platform's own bytes
// was rejected: every receiver would have to know their format. A log of changes was
// rejected too: a peer that has been away needs the items anyway.
package state

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Revision counts the changes of everything published. It only grows.
type Revision uint64

// Version is the operators' number for a configuration. It only grows.
type Version uint64

// BackendID is the number in front of a datagram that names its backend server.
type BackendID uint64

// Tag is a flow's cookie: both ends repeat it in every packet, and it names the
// flow's backend server. Zero is no tag.
type Tag uint32

// Endpoint is an IPv4 address and a port in one word.
type Endpoint uint64

// NewEndpoint packs an address and a port.
func NewEndpoint(address uint32, port uint16) Endpoint {
	return Endpoint(address)<<16 | Endpoint(port)
}

// EndpointOf packs an address. It returns false for addresses other than IPv4.
func EndpointOf(address netip.AddrPort) (Endpoint, bool) {
	if !address.Addr().Is4() {
		return 0, false
	}
	bytes := address.Addr().As4()
	packed := uint32(bytes[0])<<24 | uint32(bytes[1])<<16 | uint32(bytes[2])<<8 | uint32(bytes[3])
	return NewEndpoint(packed, address.Port()), true
}

// Address returns the IPv4 address as a number.
func (e Endpoint) Address() uint32 { return uint32(e >> 16) }

// Port returns the port.
func (e Endpoint) Port() uint16 { return uint16(e) }

// AddrPort returns the endpoint as the standard library has it.
func (e Endpoint) AddrPort() netip.AddrPort {
	a := e.Address()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), e.Port())
}

// String returns the endpoint as in "192.0.2.1:443".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Standing says whether a backend server takes new flows.
type Standing string

// The standings of a backend server.
const (
	Serving  Standing = "Serving"
	Draining Standing = "Draining"
)

// Backend is one backend server as it has published itself.
type Backend struct {
	// Name is the published id, as logs and operators show it.
	Name     string
	ID       BackendID
	Service  string
	Domain   string
	Address  netip.AddrPort
	Slots    int
	Standing Standing
	// ColdUntil is when the server reaches its full speed, on this process's clock.
	ColdUntil time.Time
	// Started is when this life of the server began, in Unix milliseconds, or 0.
	Started  int64
	Revision Revision
}

// Tag returns the cookie of the backend server's flows. It depends on nothing but
// the name, so that all balancers compute it alike, also those that start later.
func (b *Backend) Tag() Tag {
	tag := Tag(xxhash.Sum64String(b.Name))
	if tag == 0 {
		return 1
	}
	return tag
}
