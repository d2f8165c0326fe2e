package state

// Configurations and the deltas between them.
//
// A new version usually changes one route of thousands, so each route carries the revision
// of its last change and only the changed routes are sent. A balancer that has missed a
// version compares the routes that it reads with those that it has, and cannot detect that
// a route was changed and then reverted in between. A delta from it would lack that route.
// Therefore each delta carries a digest of the complete configuration, and a receiver that
// computes a different digest requests the complete configuration.

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a configuration without its revisions.
type Digest uint64

// Share is a service's weighted share of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Route maps an address that callers connect to onto services.
type Route struct {
	Name string
	// Listen is the address that callers connect to.
	Listen Endpoint
	Shares []Share
	// Idempotent is set if callers retry the route's requests after any failure.
	Idempotent bool
	// Timeout is the time after which callers abandon a request.
	Timeout time.Duration
	// Objective is the response time objective: a response within it has its full value.
	Objective time.Duration
	// Priority ranks routes under overload; 0 is the highest priority.
	Priority int
	// Revision is the revision of the route's last change, or a later one if that is
	// unknown. It is 0 in configurations read from the platform.
	Revision Revision
}

// equalIgnoringRevision reports whether two routes are equal in everything but their
// revision.
func (r *Route) equalIgnoringRevision(other *Route) bool {
	return r.Name == other.Name && r.Listen == other.Listen && r.Idempotent == other.Idempotent &&
		r.Timeout == other.Timeout && r.Objective == other.Objective && r.Priority == other.Priority &&
		slices.Equal(r.Shares, other.Shares)
}

// Service is a service that a configuration names.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a server can process while it is cold,
	// 0 if that is not limited. ColdStart is how long it is cold.
	ColdRate  float64
	ColdStart time.Duration
}

// Configuration is a configuration published by the operators. It is immutable once a
// Replica has stored it.
type Configuration struct {
	Version  Version
	Revision Revision
	// Routes are sorted by Listen once a Replica has stored them.
	Routes []Route
	// Services are the services that the configuration names, nil if it names none.
	Services []Service
	// IdleTimeout is the time without packets after which a flow may expire.
	IdleTimeout time.Duration
	// Digest is set once a Replica has stored the configuration.
	Digest Digest
}

// RouteRemoval records a route that is no longer published.
type RouteRemoval struct {
	Listen   Endpoint
	Revision Revision
	// RemovedAt is when this process learned of the removal.
	RemovedAt time.Time
}

// ConfigurationDelta holds the changes of a configuration since a revision.
type ConfigurationDelta struct {
	Version     Version
	Revision    Revision
	IdleTimeout time.Duration
	// Services are all services of the configuration. They are few and rarely change.
	Services []Service
	// Routes holds the added and changed routes.
	Routes  []Route
	Removed []RouteRemoval
	// Digest is the digest of the complete configuration after the change.
	Digest Digest
}

// sortAndDeduplicate sorts routes by address in place. Of several routes with the same
// address it keeps the last.
func sortAndDeduplicate(routes []Route) []Route {
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

func compareListen(route Route, listen Endpoint) int { return cmp.Compare(route.Listen, listen) }

// namesService reports whether the configuration names a service. A configuration without any
// services is from a balancer of an earlier version, which did not relay them.
func (c *Configuration) namesService(name string) bool {
	return len(c.Services) == 0 || slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == name })
}

// findRoute returns the route that listens on an endpoint, or nil.
func (c *Configuration) findRoute(listen Endpoint) *Route {
	if index, found := slices.BinarySearchFunc(c.Routes, listen, compareListen); found {
		return &c.Routes[index]
	}
	return nil
}

// computeDigest returns the digest of a configuration whose routes are sorted.
func (c *Configuration) computeDigest() Digest {
	hash := xxhash.New()
	var buffer []byte
	buffer = binary.AppendUvarint(buffer, uint64(c.Version))
	buffer = binary.AppendVarint(buffer, int64(c.IdleTimeout))
	for index := range c.Routes {
		buffer = c.Routes[index].appendEncoded(buffer)
		// Write never returns an error.
		_, _ = hash.Write(buffer)
		buffer = buffer[:0]
	}
	_, _ = hash.Write(buffer)
	return Digest(hash.Sum64())
}

// appendEncoded appends an encoding of everything but the revision.
func (r *Route) appendEncoded(buffer []byte) []byte {
	buffer = appendString(buffer, r.Name)
	buffer = binary.AppendUvarint(buffer, uint64(r.Listen))
	buffer = binary.AppendVarint(buffer, int64(r.Timeout))
	buffer = binary.AppendVarint(buffer, int64(r.Objective))
	buffer = binary.AppendVarint(buffer, int64(r.Priority))
	if r.Idempotent {
		buffer = append(buffer, 1)
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Shares)))
	for _, share := range r.Shares {
		buffer = appendString(buffer, share.Service)
		buffer = binary.AppendVarint(buffer, int64(share.Weight))
	}
	return buffer
}

func appendString(buffer []byte, text string) []byte {
	return append(binary.AppendUvarint(buffer, uint64(len(text))), text...)
}

// replaceConfiguration makes a complete configuration current. It assigns each changed
// route its revision and records the removed routes.
func (r *Replica) replaceConfiguration(configuration Configuration, now time.Time) {
	configuration.Routes = sortAndDeduplicate(slices.Clone(configuration.Routes))
	configuration.Digest = configuration.computeDigest()
	current := r.configuration
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if current == nil {
			route.Revision = cmp.Or(route.Revision, configuration.Revision)
			continue
		}
		if previous := current.findRoute(route.Listen); previous != nil && previous.equalIgnoringRevision(route) {
			route.Revision = max(route.Revision, previous.Revision)
			continue
		}
		route.Revision = cmp.Or(route.Revision, configuration.Revision)
	}
	if current != nil {
		for index := range current.Routes {
			if listen := current.Routes[index].Listen; configuration.findRoute(listen) == nil {
				r.routeRemovals[listen] = RouteRemoval{Listen: listen, Revision: configuration.Revision, RemovedAt: now}
			}
		}
	}
	r.setConfiguration(&configuration)
}

// setConfiguration makes a configuration current and deletes the removals of its routes.
func (r *Replica) setConfiguration(configuration *Configuration) {
	r.configuration = configuration
	for index := range configuration.Routes {
		delete(r.routeRemovals, configuration.Routes[index].Listen)
	}
}

// applyConfigurationDelta returns the current configuration with a delta applied, or nil if
// the result does not have the delta's digest.
func (r *Replica) applyConfigurationDelta(delta *ConfigurationDelta) *Configuration {
	current := r.configuration
	if current == nil {
		current = &Configuration{}
	}
	updated := &Configuration{
		Version: delta.Version, Revision: delta.Revision,
		IdleTimeout: delta.IdleTimeout, Services: delta.Services, Digest: delta.Digest,
	}
	changed := make(map[Endpoint]bool, len(delta.Routes)+len(delta.Removed))
	for index := range delta.Routes {
		changed[delta.Routes[index].Listen] = true
	}
	for _, removal := range delta.Removed {
		changed[removal.Listen] = true
	}
	updated.Routes = make([]Route, 0, len(current.Routes)+len(delta.Routes))
	for index := range current.Routes {
		if !changed[current.Routes[index].Listen] {
			updated.Routes = append(updated.Routes, current.Routes[index])
		}
	}
	updated.Routes = sortAndDeduplicate(append(updated.Routes, delta.Routes...))
	if updated.computeDigest() != delta.Digest {
		return nil
	}
	return updated
}

// configurationDeltaSince returns the changes of the configuration since a revision, or nil
// if there are none.
func (r *Replica) configurationDeltaSince(revision Revision) *ConfigurationDelta {
	c := r.configuration
	if c == nil || c.Revision <= revision {
		return nil
	}
	delta := &ConfigurationDelta{Version: c.Version, Revision: c.Revision, IdleTimeout: c.IdleTimeout, Services: c.Services, Digest: c.Digest}
	for index := range c.Routes {
		if c.Routes[index].Revision > revision {
			delta.Routes = append(delta.Routes, c.Routes[index])
		}
	}
	for _, removal := range r.routeRemovals {
		if removal.Revision > revision {
			delta.Removed = append(delta.Removed, removal)
		}
	}
	slices.SortFunc(delta.Removed, func(a, b RouteRemoval) int { return cmp.Compare(a.Listen, b.Listen) })
	return delta
}

// pruneRouteRemovals deletes removals of routes older than removalTTL, by which time
// all balancers have received them.
func (r *Replica) pruneRouteRemovals(now time.Time) {
	for listen, removal := range r.routeRemovals {
		if now.Sub(removal.RemovedAt) > removalTTL {
			r.forgetRemoval(removal.Revision)
			delete(r.routeRemovals, listen)
		}
	}
}
