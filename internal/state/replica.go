package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// removalLife is how long a removal is remembered. It covers the longest flow on the
// users' sites (60 s) twice.
const removalLife = 2 * time.Minute

// ErrDigest says that a change does not lead from the configuration held to the one
// that its sender holds.
var ErrDigest = errors.New("the amended configuration has another digest")

// Removal is a backend server that is no longer published.
type Removal struct {
	Backend  Backend
	Revision Revision
	// At is when this process learned of it.
	At time.Time
}

// Delta is what has changed between two revisions.
type Delta struct {
	// From is the revision that the receiver must have reached. It is not looked at
	// when Full is set.
	From, To Revision
	// Full deltas hold every backend server there is; those missing are removed.
	Full     bool
	Backends []Backend
	// Removed holds names and the revisions of their removal, as the platform tells
	// them.
	Removed map[string]Revision
	// Departed holds the same as peers tell it, with what was published last: flows
	// may live on there, and the receiver may never have seen the backend server.
	Departed []Removal
	// Configuration is the whole one, as the platform and Full deltas tell it, and
	// Amendment what has changed of it. Both are nil when nothing has changed.
	Configuration *Configuration
	Amendment     *Amendment
}

// Replica holds the published items. It belongs to one goroutine.
type Replica struct {
	revision      Revision
	loaded        bool
	backends      map[string]Backend
	removals      map[string]Removal
	routeRemovals map[Endpoint]RouteRemoval
	configuration *Configuration
	// horizon is the oldest revision since which all removals are remembered.
	horizon Revision
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		backends:      make(map[string]Backend),
		removals:      make(map[string]Removal),
		routeRemovals: make(map[Endpoint]RouteRemoval),
	}
}

// Revision returns the revision that the replica has reached.
func (r *Replica) Revision() Revision { return r.revision }

// Loaded reports whether everything published has been seen once.
func (r *Replica) Loaded() bool { return r.loaded }

// Configuration returns the configuration in force, or nil.
func (r *Replica) Configuration() *Configuration { return r.configuration }

// Fits reports whether a delta can be applied without a gap.
func (r *Replica) Fits(delta Delta) bool {
	return delta.Full || r.loaded && delta.From <= r.revision
}

// Apply takes a delta in and reports whether anything has changed. Items that are
// older than what the replica holds are left out, so that deltas may come twice and
// by several ways. An error says that an amendment does not fit; nothing of the delta
// is taken then, and only a full one helps.
func (r *Replica) Apply(delta Delta, now time.Time) (bool, error) {
	if !r.Fits(delta) || delta.Full && r.loaded && delta.To < r.revision {
		return false, nil
	}
	var amended *Configuration
	if a := delta.Amendment; a != nil && r.newer(a.Version) {
		if amended = r.amend(a); amended == nil {
			return false, fmt.Errorf("state: version %d since revision %d: %w", a.Version, delta.From, ErrDigest)
		}
	}
	changed := !r.loaded
	if delta.Full {
		changed = r.removeMissing(delta, now) || changed
		if !r.loaded {
			r.horizon = delta.To
		}
		r.loaded = true
	}
	for index := range delta.Backends {
		changed = r.put(delta.Backends[index]) || changed
	}
	for name, revision := range delta.Removed {
		changed = r.remove(name, revision, now) || changed
	}
	for index := range delta.Departed {
		changed = r.depart(delta.Departed[index], now) || changed
	}
	if c := delta.Configuration; c != nil && r.newer(c.Version) {
		r.replace(*c, now)
		changed = true
	}
	if amended != nil {
		for _, removal := range delta.Amendment.Removed {
			r.routeRemovals[removal.Listen] = removal
		}
		r.install(amended)
		changed = true
	}
	r.revision = max(r.revision, delta.To)
	return changed, nil
}

// newer reports whether a version is newer than the one in force.
func (r *Replica) newer(version Version) bool {
	return r.configuration == nil || version > r.configuration.Version
}

func (r *Replica) put(backend Backend) bool {
	if held, ok := r.backends[backend.Name]; ok && held.Revision >= backend.Revision {
		return false
	}
	if removal, ok := r.removals[backend.Name]; ok {
		if removal.Revision >= backend.Revision {
			return false
		}
		delete(r.removals, backend.Name)
	}
	r.backends[backend.Name] = backend
	return true
}

func (r *Replica) remove(name string, revision Revision, now time.Time) bool {
	held, ok := r.backends[name]
	if !ok || held.Revision > revision {
		return false
	}
	delete(r.backends, name)
	r.removals[name] = Removal{Backend: held, Revision: revision, At: now}
	return true
}

// depart takes in that a backend server has left, also one that was not known.
func (r *Replica) depart(removal Removal, now time.Time) bool {
	name := removal.Backend.Name
	if _, held := r.backends[name]; held {
		return r.remove(name, removal.Revision, now)
	}
	known, ok := r.removals[name]
	if ok && known.Revision >= removal.Revision || now.Sub(removal.At) > removalLife {
		return false
	}
	r.removals[name] = removal
	return true
}

// removeMissing removes what a full delta no longer holds.
func (r *Replica) removeMissing(delta Delta, now time.Time) bool {
	present := make(map[string]bool, len(delta.Backends))
	for index := range delta.Backends {
		present[delta.Backends[index].Name] = true
	}
	changed := false
	for name := range r.backends {
		if !present[name] {
			changed = r.remove(name, delta.To, now) || changed
		}
	}
	return changed
}

// Since returns what a peer at the given revision lacks. Where a removal may have
// been forgotten it is everything that is published and all removals.
func (r *Replica) Since(revision Revision) Delta {
	delta := Delta{From: revision, To: r.revision, Full: revision < r.horizon}
	for _, backend := range r.backends {
		if delta.Full || backend.Revision > revision {
			delta.Backends = append(delta.Backends, backend)
		}
	}
	slices.SortFunc(delta.Backends, func(a, b Backend) int { return cmp.Compare(a.Name, b.Name) })
	if delta.Full {
		delta.Configuration = r.configuration
		delta.Departed = r.departedSince(0)
		return delta
	}
	delta.Amendment = r.amendmentSince(revision)
	delta.Departed = r.departedSince(revision)
	return delta
}

// Departed returns a delta of all removals and nothing else. A newcomer that has read
// the platform knows all else.
func (r *Replica) Departed() Delta {
	return Delta{From: r.revision, To: r.revision, Departed: r.departedSince(0)}
}

func (r *Replica) departedSince(revision Revision) []Removal {
	var list []Removal
	for _, removal := range r.removals {
		if removal.Revision > revision {
			list = append(list, removal)
		}
	}
	slices.SortFunc(list, func(a, b Removal) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
	return list
}

// Forget drops removals that no flow can depend on any longer.
func (r *Replica) Forget(now time.Time) {
	for name, removal := range r.removals {
		if now.Sub(removal.At) > removalLife {
			r.horizon = max(r.horizon, removal.Revision)
			delete(r.removals, name)
		}
	}
	r.forgetRoutes(now)
}

// Table compiles what traffic needs.
func (r *Replica) Table() *Table {
	removals := make([]Removal, 0, len(r.removals))
	for _, name := range slices.Sorted(maps.Keys(r.removals)) {
		removals = append(removals, r.removals[name])
	}
	backends := make([]Backend, 0, len(r.backends))
	for _, name := range slices.Sorted(maps.Keys(r.backends)) {
		backends = append(backends, r.backends[name])
	}
	return NewTable(r.revision, r.configuration, backends, removals)
}
