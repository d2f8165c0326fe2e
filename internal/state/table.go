package state

import (
	"net/netip"
	"time"
)

// Entry is a backend server in a table.
type Entry struct {
	Backend
	Tag Tag
	// RemovedAt is when this process learned that the server is no longer
	// published; it is zero while the server is published.
	RemovedAt time.Time
	// Replaced is set when another published server has taken the address over,
	// which happens only after this one has ended.
	Replaced bool
	// Shadowed is set when an older server has the same tag. Such a server gets no
	// flows, as their packets would go to the older one.
	Shadowed bool
}

// Published reports whether the server is published.
func (e *Entry) Published() bool { return e.RemovedAt.IsZero() }

// Table is what traffic needs of the published items. It does not change.
type Table struct {
	Revision Revision
	// Version is the configuration's, 0 when there is none.
	Version     Version
	IdleTimeout time.Duration

	routes   map[Endpoint]*Route
	services map[string][]*Entry
	tags     map[Tag]*Entry
	entries  []*Entry
}

// defaultIdleTimeout forgets flows while no configuration says when. It is the
// idle timeout of the users' sites.
const defaultIdleTimeout = 15 * time.Second

// NewTable compiles a table. The configuration may be nil.
func NewTable(revision Revision, configuration *Configuration, backends []Backend, removals []Removal) *Table {
	t := &Table{
		Revision:    revision,
		IdleTimeout: defaultIdleTimeout,
		routes:      make(map[Endpoint]*Route),
		services:    make(map[string][]*Entry),
		tags:        make(map[Tag]*Entry),
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
	}
	addresses := make(map[netip.AddrPort]bool)
	for index := range backends {
		addresses[backends[index].Address] = true
		t.add(&Entry{Backend: backends[index]})
	}
	for index := range removals {
		removed := &removals[index]
		t.add(&Entry{Backend: removed.Backend, RemovedAt: removed.At, Replaced: addresses[removed.Backend.Address]})
	}
	return t
}

// add enters a backend server. Of two with one tag the one that started first keeps
// it: that order does not change when an entry lapses and comes back.
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

func startedBefore(one, other *Entry) bool {
	if one.Started != other.Started {
		return one.Started < other.Started
	}
	return one.Name < other.Name
}

// Route returns the route that listens at an endpoint, or nil.
func (t *Table) Route(listen Endpoint) *Route { return t.routes[listen] }

// ByTag returns the backend server of a flow, or nil.
func (t *Table) ByTag(tag Tag) *Entry { return t.tags[tag] }

// Service returns a service's backend servers, published or not.
func (t *Table) Service(name string) []*Entry { return t.services[name] }

// Entries returns all backend servers, published or not.
func (t *Table) Entries() []*Entry { return t.entries }
