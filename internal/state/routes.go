package state

// Configurations, and what has changed between two of them.
//
// A new version usually changes one route of thousands, so each route has the revision
// of its last change, and only what has changed travels. A balancer that has missed a
// version compares what it finds with what it holds, and may take a route for unchanged
// that was changed and changed back meanwhile. So what changed carries a digest of the
// whole, and a receiver that ends up with another one asks for the whole.

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a configuration, without revisions.
type Digest uint64

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Route is an address that callers use, and where its new flows go.
type Route struct {
	Name   string
	Listen Endpoint
	Shares []Share
	// Idempotent routes carry requests that callers repeat after any failure.
	Idempotent bool
	// Timeout is the time after which callers give a request up.
	Timeout time.Duration
	// Objective is the time within which an answer counts in full.
	Objective time.Duration
	// Priority orders routes under overload; 0 is the most important.
	Priority int
	// Revision is that of the last change, or a later one where the last change is not
	// known; 0 in what the platform tells.
	Revision Revision
}

// same reports whether two routes differ in nothing but their revision.
func (r *Route) same(other *Route) bool {
	return r.Name == other.Name && r.Listen == other.Listen && r.Idempotent == other.Idempotent &&
		r.Timeout == other.Timeout && r.Objective == other.Objective && r.Priority == other.Priority &&
		slices.Equal(r.Shares, other.Shares)
}

// Configuration is what the operators have published. It does not change once a Replica
// has taken it.
type Configuration struct {
	Version  Version
	Revision Revision
	// Routes are ordered by Listen in what a Replica holds.
	Routes []Route
	// IdleTimeout is the silence after which a flow may be forgotten.
	IdleTimeout time.Duration
	// Digest is set in what a Replica holds.
	Digest Digest
}

// RouteRemoval is a route that is no longer published.
type RouteRemoval struct {
	Listen   Endpoint
	Revision Revision
	// At is when this process learned of it.
	At time.Time
}

// Amendment is what has changed of a configuration.
type Amendment struct {
	Version     Version
	Revision    Revision
	IdleTimeout time.Duration
	// Routes are new or changed, Removed are gone.
	Routes  []Route
	Removed []RouteRemoval
	// Digest is that of the whole configuration after the change.
	Digest Digest
}

// normalize orders routes by their address, of two with one address the last one.
func normalize(routes []Route) []Route {
	slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(a.Listen, b.Listen) })
	kept := routes[:0]
	for index := range routes {
		if index+1 < len(routes) && routes[index+1].Listen == routes[index].Listen {
			continue
		}
		kept = append(kept, routes[index])
	}
	return kept
}

func byListen(route Route, listen Endpoint) int { return cmp.Compare(route.Listen, listen) }

// find returns the route that listens at an endpoint, or nil.
func (c *Configuration) find(listen Endpoint) *Route {
	if index, found := slices.BinarySearchFunc(c.Routes, listen, byListen); found {
		return &c.Routes[index]
	}
	return nil
}

// digest returns the hash of a configuration whose routes are in order.
func (c *Configuration) digest() Digest {
	hash := xxhash.New()
	var buffer []byte
	buffer = binary.AppendUvarint(buffer, uint64(c.Version))
	buffer = binary.AppendVarint(buffer, int64(c.IdleTimeout))
	for index := range c.Routes {
		buffer = c.Routes[index].appendTo(buffer)
		// The hash takes anything.
		_, _ = hash.Write(buffer)
		buffer = buffer[:0]
	}
	_, _ = hash.Write(buffer)
	return Digest(hash.Sum64())
}

// appendTo writes all of a route but its revision.
func (r *Route) appendTo(buffer []byte) []byte {
	buffer = appendText(buffer, r.Name)
	buffer = binary.AppendUvarint(buffer, uint64(r.Listen))
	buffer = binary.AppendVarint(buffer, int64(r.Timeout))
	buffer = binary.AppendVarint(buffer, int64(r.Objective))
	buffer = binary.AppendVarint(buffer, int64(r.Priority))
	if r.Idempotent {
		buffer = append(buffer, 1)
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Shares)))
	for _, share := range r.Shares {
		buffer = appendText(buffer, share.Service)
		buffer = binary.AppendVarint(buffer, int64(share.Weight))
	}
	return buffer
}

func appendText(buffer []byte, text string) []byte {
	return append(binary.AppendUvarint(buffer, uint64(len(text))), text...)
}

// replace puts a whole configuration in force, and notes what has changed.
func (r *Replica) replace(whole Configuration, now time.Time) {
	whole.Routes = normalize(slices.Clone(whole.Routes))
	whole.Digest = whole.digest()
	held := r.configuration
	for index := range whole.Routes {
		route := &whole.Routes[index]
		if held == nil {
			route.Revision = cmp.Or(route.Revision, whole.Revision)
			continue
		}
		if before := held.find(route.Listen); before != nil && before.same(route) {
			route.Revision = max(route.Revision, before.Revision)
			continue
		}
		route.Revision = cmp.Or(route.Revision, whole.Revision)
	}
	if held != nil {
		for index := range held.Routes {
			if listen := held.Routes[index].Listen; whole.find(listen) == nil {
				r.routeRemovals[listen] = RouteRemoval{Listen: listen, Revision: whole.Revision, At: now}
			}
		}
	}
	r.install(&whole)
}

// install puts a configuration in force.
func (r *Replica) install(whole *Configuration) {
	r.configuration = whole
	for index := range whole.Routes {
		delete(r.routeRemovals, whole.Routes[index].Listen)
	}
}

// amend returns the configuration that an amendment leads to, or nil where the one held
// is not what the amendment was made for.
func (r *Replica) amend(amendment *Amendment) *Configuration {
	held := r.configuration
	if held == nil {
		return nil
	}
	amended := &Configuration{
		Version: amendment.Version, Revision: amendment.Revision,
		IdleTimeout: amendment.IdleTimeout, Digest: amendment.Digest,
	}
	changed := make(map[Endpoint]bool, len(amendment.Routes)+len(amendment.Removed))
	for index := range amendment.Routes {
		changed[amendment.Routes[index].Listen] = true
	}
	for _, removal := range amendment.Removed {
		changed[removal.Listen] = true
	}
	amended.Routes = make([]Route, 0, len(held.Routes)+len(amendment.Routes))
	for index := range held.Routes {
		if !changed[held.Routes[index].Listen] {
			amended.Routes = append(amended.Routes, held.Routes[index])
		}
	}
	amended.Routes = normalize(append(amended.Routes, amendment.Routes...))
	if amended.digest() != amendment.Digest {
		return nil
	}
	return amended
}

// amendmentSince returns what has changed of the configuration since a revision, or nil.
func (r *Replica) amendmentSince(revision Revision) *Amendment {
	c := r.configuration
	if c == nil || c.Revision <= revision {
		return nil
	}
	amendment := &Amendment{Version: c.Version, Revision: c.Revision, IdleTimeout: c.IdleTimeout, Digest: c.Digest}
	for index := range c.Routes {
		if c.Routes[index].Revision > revision {
			amendment.Routes = append(amendment.Routes, c.Routes[index])
		}
	}
	for _, removal := range r.routeRemovals {
		if removal.Revision > revision {
			amendment.Removed = append(amendment.Removed, removal)
		}
	}
	slices.SortFunc(amendment.Removed, func(a, b RouteRemoval) int { return cmp.Compare(a.Listen, b.Listen) })
	return amendment
}

// forgetRoutes drops removals of routes that everybody has heard of.
func (r *Replica) forgetRoutes(now time.Time) {
	for listen, removal := range r.routeRemovals {
		if now.Sub(removal.At) > removalLife {
			r.horizon = max(r.horizon, removal.Revision)
			delete(r.routeRemovals, listen)
		}
	}
}
