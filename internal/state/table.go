package state

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Entry is a backend server in a Table.
type Entry struct {
	Backend
	Tag Tag
	// RemovedAt is when this process learned that the server is no longer published. It
	// is zero while the server is published.
	RemovedAt time.Time
	// AddressReused is set on a removed server when a published server that has not started
	// earlier has the same address. An address is reused only after its previous server has
	// exited.
	AddressReused bool
	// Shadowed is set when an older server has the same tag. A shadowed server gets no
	// flows, because their packets would be delivered to the older server.
	Shadowed bool
}

// Published reports whether the server is currently published.
func (e *Entry) Published() bool { return e.RemovedAt.IsZero() }

// Table indexes the published items for packet processing. It is immutable.
type Table struct {
	Revision Revision
	// Version is the version of the configuration, 0 if there is none.
	Version Version
	// IdleTimeout is the time without packets after which a flow expires.
	IdleTimeout time.Duration

	routes   map[Endpoint]*Route
	services map[string][]*Entry
	tags     map[Tag]*Entry
	entries  []*Entry
	// evacuated holds the failure domains under evacuation, limited the services whose cold
	// servers have a limited rate.
	evacuated map[string]bool
	limited   map[string]*Service
}

// defaultIdleTimeout applies while no configuration sets an idle timeout. It equals the
// idle timeout of known deployments.
const defaultIdleTimeout = 15 * time.Second

// NewTable builds a table from the published backend servers and the removals of earlier
// ones. The configuration may be nil.
func NewTable(revision Revision, configuration *Configuration, backends []Backend, removals []Removal) *Table {
	t := &Table{
		Revision:    revision,
		IdleTimeout: defaultIdleTimeout,
		routes:      make(map[Endpoint]*Route),
		services:    make(map[string][]*Entry),
		tags:        make(map[Tag]*Entry),
		limited:     make(map[string]*Service),
	}
	if configuration != nil {
		t.Version = configuration.Version
		if configuration.IdleTimeout > 0 {
			t.IdleTimeout = configuration.IdleTimeout
		}
		for index := range configuration.Routes {
			route := &configuration.Routes[index]
			t.routes[route.Listen] = route
		}
		for index := range configuration.Services {
			if service := &configuration.Services[index]; service.ColdRate > 0 {
				t.limited[service.Name] = service
			}
		}
	}
	addresses := make(map[netip.AddrPort]*Backend)
	for index := range backends {
		addresses[backends[index].Address] = &backends[index]
		t.add(&Entry{Backend: backends[index]})
	}
	for index := range removals {
		removed := &removals[index]
		owner := addresses[removed.Backend.Address]
		reused := owner != nil && !removed.Backend.startedAfter(owner)
		t.add(&Entry{Backend: removed.Backend, RemovedAt: removed.RemovedAt, AddressReused: reused})
	}
	return t
}

// add adds a backend server. If two servers have the same tag, the one that started first
// owns it. The start time is used because it stays the same when a server is removed and
// published again.
func (t *Table) add(entry *Entry) {
	entry.Tag = entry.Backend.Tag()
	t.entries = append(t.entries, entry)
	t.services[entry.Service] = append(t.services[entry.Service], entry)
	other := t.tags[entry.Tag]
	if other == nil {
		t.tags[entry.Tag] = entry
		return
	}
	if startedBefore(other, entry) {
		entry.Shadowed = true
		return
	}
	other.Shadowed = true
	t.tags[entry.Tag] = entry
}

// startedBefore orders entries by start time, then by name.
func startedBefore(a, b *Entry) bool {
	if a.Started != b.Started {
		return a.Started < b.Started
	}
	return a.Name < b.Name
}

// Route returns the route that listens on an endpoint, or nil.
func (t *Table) Route(listen Endpoint) *Route { return t.routes[listen] }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// ByTag returns the backend server that owns a tag, or nil.
func (t *Table) ByTag(tag Tag) *Entry { return t.tags[tag] }

// Service returns all backend servers of a service, including removed ones.
func (t *Table) Service(name string) []*Entry { return t.services[name] }

// Evacuated reports whether the backend servers of a failure domain are to get nothing.
func (t *Table) Evacuated(domain string) bool { return t.evacuated[domain] }

// EvacuatedDomains returns the failure domains under evacuation, sorted.
func (t *Table) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(t.evacuated)) }

// LimitedService returns a service whose cold servers have a limited rate, or nil if the service
// is unknown or has no limit.
func (t *Table) LimitedService(name string) *Service { return t.limited[name] }

// HasLimitedServices reports whether cold servers of any service have a limited rate.
func (t *Table) HasLimitedServices() bool { return len(t.limited) > 0 }

// Entries returns all backend servers, including removed ones.
func (t *Table) Entries() []*Entry { return t.entries }
