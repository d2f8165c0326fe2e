package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// removalTTL is how long the replica keeps a removal. It is twice the length of the
// longest flows in known deployments (60 s).
const removalTTL = 2 * time.Minute

// ErrDigestMismatch is returned by Apply if a configuration delta, applied to the current
// configuration, does not produce the configuration that its sender has.
var ErrDigestMismatch = errors.New("digest mismatch after applying the configuration delta")

// Removal records a backend server that is no longer published.
type Removal struct {
	// Backend is the server as it was last published. It has only a name if the replica has
	// never seen the server, which peers may still have.
	Backend Backend
	// Revision is the revision of the removal.
	Revision Revision
	// RemovedAt is when this process learned of the removal.
	RemovedAt time.Time
}

// Delta holds the changes between two revisions.
type Delta struct {
	// From is the lowest revision to which the delta may be applied. It is ignored if
	// Full is set. To is the revision that the receiver reaches.
	From, To Revision
	// Gap is set if the sender has read the platform anew and does not know which backend servers
	// were both added after From and removed before Gap. A receiver that has no such server is
	// not affected, but it cannot tell others of their removals.
	Gap Revision
	// Full is set if the delta holds every published backend server. The receiver
	// removes all others.
	Full bool
	// Backends holds added and changed backend servers.
	Backends []Backend
	// Removed maps the names of removed backend servers to the revisions of their
	// removal, as the platform reports them.
	Removed map[string]Revision
	// Removals holds removals of backend servers as peers report them. They include the
	// last published state, because a removed server may still have open flows and the
	// receiver may never have seen it.
	Removals []Removal
	// Configuration is the complete configuration, in deltas from the platform and in
	// full deltas. ConfigurationDelta holds only its changes. Both are nil if the
	// configuration has not changed.
	Configuration      *Configuration
	ConfigurationDelta *ConfigurationDelta
	// Evacuations holds the changed records of evacuations, or all of them in a full delta.
	Evacuations []Evacuation
}

// Replica holds the published items and the recent removals. It is not safe for concurrent
// use.
type Replica struct {
	revision      Revision
	loaded        bool
	backends      map[string]Backend
	removals      map[string]Removal
	routeRemovals map[Endpoint]RouteRemoval
	configuration *Configuration
	// minDeltaRevision is the lowest revision since the last full delta from which a delta can
	// be computed, because the records of all later removals are still present.
	minDeltaRevision Revision
	// previousMin and previousEnd limit the revisions before the last full delta from which a
	// delta can be computed, 0 for none. Peers with a revision in between have changes that the
	// replica has never seen, and that a restored platform may lack.
	previousMin, previousEnd Revision
	// enteredEpochAt is when the replica entered the current epoch, zero if that is the first.
	enteredEpochAt time.Time
	// retained holds the names of the backend servers of which the platform has an entry that
	// is certainly older than what the replica knows. Peers with the same revision may have
	// that entry.
	retained map[string]bool
	// evacuations holds the records of evacuations by failure domain.
	evacuations map[string]Evacuation
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		backends:      make(map[string]Backend),
		removals:      make(map[string]Removal),
		routeRemovals: make(map[Endpoint]RouteRemoval),
		retained:      make(map[string]bool),
		evacuations:   make(map[string]Evacuation),
	}
}

// Revision returns the revision that the replica has reached.
func (r *Replica) Revision() Revision { return r.revision }

// EnteredEpochAt returns when the replica moved on from an earlier epoch to the current one, the
// zero time if it has seen only one epoch.
func (r *Replica) EnteredEpochAt() time.Time { return r.enteredEpochAt }

// Loaded reports whether the replica has ever applied a full delta.
func (r *Replica) Loaded() bool { return r.loaded }

// Configuration returns the current configuration, or nil if there is none.
func (r *Replica) Configuration() *Configuration { return r.configuration }

// CanApply reports whether a delta applies to the replica's revision without a gap. A delta
// that leads to a later epoch must start at the very revision: what the replica has learned
// since may not be part of that epoch.
func (r *Replica) CanApply(delta Delta) bool {
	switch {
	case delta.Full:
		return true
	case !r.loaded:
		return false
	case delta.To.Epoch() > r.revision.Epoch():
		return delta.From == r.revision
	}
	return delta.From <= r.revision
}

// HasDeltaSince reports whether a delta can be computed from a revision. Otherwise DeltaSince
// returns a full one.
func (r *Replica) HasDeltaSince(revision Revision) bool {
	return revision >= r.minDeltaRevision || revision > 0 && revision >= r.previousMin && revision <= r.previousEnd
}

// Apply applies a delta and reports whether it changed the replica. Apply is idempotent
// and ignores items that are older than the replica's, so deltas may arrive repeatedly, out
// of order and from several peers. If a configuration delta does not apply, Apply returns an
// error that wraps ErrDigestMismatch and leaves the replica unchanged; the caller then has
// to request a full delta.
func (r *Replica) Apply(delta Delta, now time.Time) (bool, error) {
	if !r.CanApply(delta) || delta.Full && r.loaded && delta.To < r.revision {
		return false, nil
	}
	if r.loaded && delta.To < r.revision {
		// The replica may have no record of a server that was removed since.
		return r.applyEarlierRemovals(delta.Removals, now), nil
	}
	var updated *Configuration
	if d := delta.ConfigurationDelta; d != nil && r.isNewer(d.Version, d.Revision) {
		if updated = r.applyConfigurationDelta(d); updated == nil {
			return false, fmt.Errorf("state: apply configuration version %d since revision %d: %w", d.Version, delta.From, ErrDigestMismatch)
		}
	}
	changed := !r.loaded
	entersEpoch := r.loaded && delta.To.Epoch() > r.revision.Epoch()
	if r.loaded && delta.Full {
		delta.Backends = r.resolveBackends(delta, entersEpoch)
		delta.Configuration = resolveConfiguration(delta, entersEpoch)
	}
	if entersEpoch {
		r.enteredEpochAt = now
	}
	if entersEpoch || delta.Full && delta.To > r.revision {
		r.previousMin, r.previousEnd, r.minDeltaRevision = r.minDeltaRevision, r.revision, delta.To
	}
	if !delta.Full && !entersEpoch && delta.Gap > r.revision {
		r.previousMin, r.previousEnd, r.minDeltaRevision = r.minDeltaRevision, r.revision, delta.Gap
	}
	if delta.Full {
		changed = r.removeMissingBackends(delta, now) || changed
		r.loaded = true
	}
	for index := range delta.Backends {
		changed = r.putBackend(delta.Backends[index]) || changed
	}
	for name, revision := range delta.Removed {
		changed = r.removeBackend(name, revision, now) || changed
	}
	for index := range delta.Removals {
		changed = r.applyRemoval(delta.Removals[index], now) || changed
	}
	changed = r.applyEvacuations(delta, entersEpoch, now) || changed
	if c := delta.Configuration; c != nil && r.isNewer(c.Version, c.Revision) {
		r.replaceConfiguration(*c, now)
		changed = true
	}
	if updated != nil {
		for _, removal := range delta.ConfigurationDelta.Removed {
			r.routeRemovals[removal.Listen] = removal
		}
		r.setConfiguration(updated)
		changed = true
	}
	r.revision = max(r.revision, delta.To)
	return changed, nil
}

// RejectUnnamedServices replaces the entries of a delta that was read from the platform, and that
// are of a service which the configuration does not name, by removals: such an entry names no
// server to use. It returns the names of their servers.
func (r *Replica) RejectUnnamedServices(delta *Delta) []string {
	configuration := r.configuration
	if c := delta.Configuration; c != nil && r.isNewer(c.Version, c.Revision) {
		configuration = c
	}
	if configuration == nil {
		return nil
	}
	var rejected []string
	kept := delta.Backends[:0]
	for _, backend := range delta.Backends {
		if configuration.namesService(backend.Service) {
			kept = append(kept, backend)
			continue
		}
		rejected = append(rejected, backend.Name)
		if delta.Removed == nil {
			delta.Removed = make(map[string]Revision)
		}
		delta.Removed[backend.Name] = backend.Revision
	}
	delta.Backends = kept
	return rejected
}

// isNewer reports whether a configuration with the given version and revision replaces the
// current one. Operators publish a version again that a restored platform has lost, which peers
// need even if they have the same revision as the replica.
func (r *Replica) isNewer(version Version, revision Revision) bool {
	c := r.configuration
	return c == nil || version > c.Version || version == c.Version && revision > c.Revision
}

// resolveBackends returns the backend servers of a full delta, adapted to what the replica has.
// Revisions of an earlier epoch, and those of the replica if the delta enters an epoch, do not
// tell which of two entries is newer. In place of them, servers that are equal keep the
// replica's revision, and those that differ get one of the delta's epoch. Entries that are
// certainly older than the replica's are replaced or, if the server was removed since, left out,
// as are those of servers whose address has been reused.
func (r *Replica) resolveBackends(delta Delta, entersEpoch bool) []Backend {
	resolved := make([]Backend, 0, len(delta.Backends))
	present := make(map[string]bool, len(delta.Backends))
	var owners map[netip.AddrPort]Backend
	if entersEpoch {
		owners = r.addressOwners()
	}
	for _, backend := range delta.Backends {
		name := backend.Name
		present[name] = true
		if owner, found := owners[backend.Address]; found && owner.startedAfter(&backend) && owner.Name != name {
			r.retained[name] = true
			continue
		}
		if entersEpoch || backend.Revision.Epoch() < delta.To.Epoch() {
			current, published := r.backends[name]
			removal, removed := r.removals[name]
			switch {
			case published && current.supersedes(&backend):
				r.retained[name] = true
				backend = current
			case removed && removal.Backend.supersedes(&backend):
				r.retained[name] = true
				continue
			case published && current.equalIgnoringRevision(&backend) && !r.retained[name]:
				backend = current
			default:
				backend.Revision = max(backend.Revision, delta.To)
			}
		}
		resolved = append(resolved, backend)
	}
	for name := range r.retained {
		if removal, removed := r.removals[name]; removed && !present[name] {
			removal.Revision = max(removal.Revision, delta.To)
			r.removals[name] = removal
			delete(r.retained, name)
		}
	}
	return resolved
}

// addressOwners returns the server that started last at each address.
func (r *Replica) addressOwners() map[netip.AddrPort]Backend {
	owners := make(map[netip.AddrPort]Backend, len(r.backends))
	add := func(backend Backend) {
		if owner, found := owners[backend.Address]; !found || backend.startedAfter(&owner) {
			owners[backend.Address] = backend
		}
	}
	for _, backend := range r.backends {
		add(backend)
	}
	for _, removal := range r.removals {
		if removal.known() {
			add(removal.Backend)
		}
	}
	return owners
}

// resolveConfiguration returns the configuration of a full delta. If the delta enters an epoch,
// the routes that differ from the replica's get a revision of that epoch.
func resolveConfiguration(delta Delta, entersEpoch bool) *Configuration {
	if !entersEpoch || delta.Configuration == nil {
		return delta.Configuration
	}
	configuration := *delta.Configuration
	configuration.Revision = max(configuration.Revision, delta.To)
	configuration.Routes = slices.Clone(configuration.Routes)
	for index := range configuration.Routes {
		configuration.Routes[index].Revision = 0
	}
	return &configuration
}

// applyEarlierRemovals stores removals from a balancer at an earlier revision. They say nothing
// about servers that are published at the current one.
func (r *Replica) applyEarlierRemovals(removals []Removal, now time.Time) bool {
	changed := false
	for index := range removals {
		if _, published := r.backends[removals[index].Backend.Name]; !published {
			changed = r.applyRemoval(removals[index], now) || changed
		}
	}
	return changed
}

// putBackend stores a backend server unless the replica has a newer revision or a newer
// removal of it, and reports whether it did.
func (r *Replica) putBackend(backend Backend) bool {
	if current, ok := r.backends[backend.Name]; ok && current.Revision >= backend.Revision {
		return false
	}
	if removal, ok := r.removals[backend.Name]; ok {
		if removal.Revision >= backend.Revision {
			return false
		}
		delete(r.removals, backend.Name)
	}
	r.backends[backend.Name] = backend
	delete(r.retained, backend.Name)
	return true
}

// known reports whether the replica knows what was published of the removed server.
func (r *Removal) known() bool { return r.Backend.Service != "" }

// removeBackend replaces a backend server by its removal if that is not older than the
// server's revision, and reports whether it did. The removal of a server that is not published
// here is recorded for peers on which it is.
func (r *Replica) removeBackend(name string, revision Revision, now time.Time) bool {
	current, ok := r.backends[name]
	if !ok {
		r.recordRemoval(Removal{Backend: Backend{Name: name}, Revision: revision, RemovedAt: now})
		return false
	}
	if current.Revision > revision {
		return false
	}
	delete(r.backends, name)
	delete(r.retained, name)
	r.removals[name] = Removal{Backend: current, Revision: revision, RemovedAt: now}
	return true
}

// applyRemoval removes a backend server, or stores the removal of an unknown one. It
// reports whether the replica changed.
func (r *Replica) applyRemoval(removal Removal, now time.Time) bool {
	name := removal.Backend.Name
	if _, published := r.backends[name]; published {
		return r.removeBackend(name, removal.Revision, now)
	}
	if now.Sub(removal.RemovedAt) > removalTTL {
		return false
	}
	return r.recordRemoval(removal)
}

// recordRemoval stores the removal of a server that is not published, and reports whether the
// lookup table changes. Of two removals of a server it keeps the later revision and the earlier
// time, with what either of them knows of the server.
func (r *Replica) recordRemoval(removal Removal) bool {
	name := removal.Backend.Name
	current, ok := r.removals[name]
	later := !ok || current.Revision < removal.Revision
	switch {
	case !later && (current.known() || !removal.known()):
		return false
	case later && !removal.known():
		removal.Backend = cmp.Or(current.Backend, removal.Backend)
	case !later:
		removal.Revision = current.Revision
	}
	if ok && current.RemovedAt.Before(removal.RemovedAt) {
		removal.RemovedAt = current.RemovedAt
	}
	r.removals[name] = removal
	return removal.known()
}

// removeMissingBackends removes all backend servers that a full delta does not hold.
func (r *Replica) removeMissingBackends(delta Delta, now time.Time) bool {
	present := make(map[string]bool, len(delta.Backends))
	for index := range delta.Backends {
		present[delta.Backends[index].Name] = true
	}
	changed := false
	for name := range r.backends {
		if !present[name] {
			changed = r.removeBackend(name, delta.To, now) || changed
		}
	}
	return changed
}

// DeltaSince returns the delta that brings a peer from the given revision to the replica's.
// If a removal that the peer needs may have expired, the delta is a full one with all
// remaining removals.
func (r *Replica) DeltaSince(revision Revision) Delta {
	delta := Delta{From: revision, To: r.revision, Full: !r.HasDeltaSince(revision)}
	for _, backend := range r.backends {
		if delta.Full || backend.Revision > revision {
			delta.Backends = append(delta.Backends, backend)
		}
	}
	slices.SortFunc(delta.Backends, func(a, b Backend) int { return cmp.Compare(a.Name, b.Name) })
	if delta.Full {
		delta.Configuration = r.configuration
		delta.Removals = r.removalsSince(0)
		delta.Evacuations = r.evacuationsSince(0)
		return delta
	}
	if revision < r.minDeltaRevision {
		delta.Gap = r.minDeltaRevision
	}
	delta.ConfigurationDelta = r.configurationDeltaSince(revision)
	delta.Removals = r.removalsSince(revision)
	delta.Evacuations = r.evacuationsSince(revision)
	return delta
}

// RemovalDelta returns a delta that holds all removals and nothing else. It serves a new
// balancer that has read everything else from the platform.
func (r *Replica) RemovalDelta() Delta {
	return Delta{From: r.revision, To: r.revision, Removals: r.removalsSince(0)}
}

func (r *Replica) removalsSince(revision Revision) []Removal {
	var list []Removal
	for _, removal := range r.removals {
		if removal.Revision > revision {
			list = append(list, removal)
		}
	}
	slices.SortFunc(list, func(a, b Removal) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
	return list
}

// Prune deletes removals older than removalTTL, when no flow can depend on them any longer, and
// ends evacuations that expire. It reports whether the lookup table changes because of that.
func (r *Replica) Prune(now time.Time) bool {
	for name, removal := range r.removals {
		if now.Sub(removal.RemovedAt) > removalTTL {
			r.forgetRemoval(removal.Revision)
			delete(r.removals, name)
			delete(r.retained, name)
		}
	}
	r.pruneRouteRemovals(now)
	return r.expireEvacuations(now)
}

// forgetRemoval excludes deltas from before a removal whose record is deleted.
func (r *Replica) forgetRemoval(revision Revision) {
	r.minDeltaRevision = max(r.minDeltaRevision, revision)
	r.previousMin, r.previousEnd = 0, 0
}

// Table builds the lookup table for packet processing.
func (r *Replica) Table() *Table {
	removals := make([]Removal, 0, len(r.removals))
	for _, name := range slices.Sorted(maps.Keys(r.removals)) {
		if removal := r.removals[name]; removal.known() {
			removals = append(removals, removal)
		}
	}
	backends := make([]Backend, 0, len(r.backends))
	for _, name := range slices.Sorted(maps.Keys(r.backends)) {
		backends = append(backends, r.backends[name])
	}
	table := NewTable(r.revision, r.configuration, backends, removals)
	table.evacuated = r.evacuatedDomains()
	return table
}
