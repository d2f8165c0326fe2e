package state_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wigeonmoor.example/internal/state"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newBackend(name string, revision state.Revision) state.Backend {
	return state.Backend{
		Name: name, Service: "planning", Domain: "lorient", Slots: 2, State: state.Serving,
		Address: netip.MustParseAddrPort("192.0.2.1:80"), Revision: revision,
	}
}

func publishedNames(table *state.Table) string {
	text := ""
	for _, entry := range table.Entries() {
		if entry.Published() {
			text += entry.Name + " "
		}
	}
	return text
}

// mustApply applies a delta that must not fail and reports whether it changed the replica.
func mustApply(t *testing.T, r *state.Replica, delta state.Delta) bool {
	t.Helper()
	changed, err := r.Apply(delta, start)
	if err != nil {
		t.Error(err)
	}
	return changed
}

func TestApplyIgnoresOlderItems(t *testing.T) {
	is := is.New(t)
	r := state.NewReplica()
	is.True(!mustApply(t, r, state.Delta{From: 3, To: 4})) // a replica without a full delta cannot apply others
	is.True(mustApply(t, r, state.Delta{Full: true, To: 10, Backends: []state.Backend{newBackend("a", 9)}, Configuration: &state.Configuration{Version: 7}}))
	is.True(mustApply(t, r, state.Delta{From: 10, To: 12, Removed: map[string]state.Revision{"a": 12}}))
	is.Equal(publishedNames(r.Table()), "")
	is.True(!mustApply(t, r, state.Delta{From: 8, To: 11, Backends: []state.Backend{newBackend("a", 11)}})) // arrives delayed and is older than the removal
	is.Equal(publishedNames(r.Table()), "")
	is.True(!mustApply(t, r, state.Delta{Full: true, To: 9, Configuration: &state.Configuration{Version: 6}}))
	is.Equal(r.Configuration().Version, state.Version(7))
	is.True(!mustApply(t, r, state.Delta{From: 13, To: 14})) // the replica has not reached revision 13
	is.Equal(r.Revision(), state.Revision(12))
}

func TestDeltaSinceIsFullAfterRemovalsExpire(t *testing.T) {
	is := is.New(t)
	r := state.NewReplica()
	is.True(mustApply(t, r, state.Delta{Full: true, To: 1, Backends: []state.Backend{newBackend("a", 1), newBackend("b", 1)}}))
	is.True(mustApply(t, r, state.Delta{From: 1, To: 2, Removed: map[string]state.Revision{"a": 2}}))
	is.True(!r.DeltaSince(1).Full)
	is.Equal(len(r.DeltaSince(1).Removals), 1)
	r.Prune(start.Add(time.Hour))
	is.True(r.DeltaSince(1).Full)
	is.True(!r.DeltaSince(2).Full)
}

// A replica that reads the start and the removal of a server at once never stores the server.
// Peers that have it must still learn of the removal.
func TestRemovalOfUnseenServerReachesPeers(t *testing.T) {
	is := is.New(t)
	reader, peer := state.NewReplica(), state.NewReplica()
	is.True(mustApply(t, reader, state.Delta{Full: true, To: 1}))
	is.True(mustApply(t, peer, state.Delta{Full: true, To: 2, Backends: []state.Backend{newBackend("a", 2)}}))
	_ = mustApply(t, reader, state.Delta{From: 1, To: 3, Removed: map[string]state.Revision{"a": 3}})
	is.Equal(len(reader.Table().Entries()), 0)
	is.True(mustApply(t, peer, reader.DeltaSince(2)))
	is.Equal(publishedNames(peer.Table()), "")
	is.Equal(len(peer.Table().Entries()), 1) // it may still have flows
	_ = mustApply(t, reader, peer.RemovalDelta())
	is.Equal(len(reader.Table().Entries()), 1)
}

// A full read does not say what was removed before it. A peer that is between the replica's
// previous revision and the read needs the full state, and delayed deltas add nothing.
func TestFullReadLeavesNoRemovedServers(t *testing.T) {
	is := is.New(t)
	reader, peer := state.NewReplica(), state.NewReplica()
	is.True(mustApply(t, reader, state.Delta{Full: true, To: 1}))
	is.True(mustApply(t, peer, state.Delta{Full: true, To: 1}))
	is.True(mustApply(t, peer, state.Delta{From: 1, To: 2, Backends: []state.Backend{newBackend("a", 2)}}))
	delayed := peer.DeltaSince(1)
	_ = mustApply(t, reader, state.Delta{Full: true, To: 4}) // a has been removed at 3
	is.True(!mustApply(t, reader, delayed))
	is.Equal(publishedNames(reader.Table()), "")
	is.True(!reader.DeltaSince(1).Full)
	is.True(reader.DeltaSince(2).Full)
	is.True(mustApply(t, peer, reader.DeltaSince(2)))
	is.Equal(publishedNames(peer.Table()), "")
}

func TestTagCollisionKeepsOlderServer(t *testing.T) {
	is := is.New(t)
	olderName, newerName := findTagCollision(t)
	older, newer := newBackend(olderName, 5), newBackend(newerName, 4)
	older.Started, newer.Started = 100, 200
	is.Equal(older.Tag(), newer.Tag())
	for _, order := range [][]state.Backend{{older, newer}, {newer, older}} {
		table := state.NewTable(1, nil, order, nil)
		is.Equal(table.ByTag(older.Tag()).Name, olderName)
		for _, entry := range table.Entries() {
			is.Equal(entry.Shadowed, entry.Name == newerName)
		}
	}
}

// findTagCollision finds two names with the same tag. With 32-bit tags, a hundred thousand
// names are expected to contain one such pair.
func findTagCollision(t *testing.T) (string, string) {
	seen := make(map[state.Tag]string)
	for number := range 1_000_000 {
		b := newBackend(fmt.Sprintf("i-%08x", number), 1)
		if other, ok := seen[b.Tag()]; ok {
			return other, b.Name
		}
		seen[b.Tag()] = b.Name
	}
	t.Fatal("no two names have the same tag")
	return "", ""
}

func TestAddressReused(t *testing.T) {
	is := is.New(t)
	removed, published := newBackend("a", 1), newBackend("b", 2)
	table := state.NewTable(2, nil, []state.Backend{published}, []state.Removal{{Backend: removed, RemovedAt: start}})
	is.True(table.ByTag(removed.Tag()).AddressReused)
	is.True(!table.ByTag(published.Tag()).AddressReused)
}

// Replicas that receive deltas late, repeatedly and out of order converge, and neither their
// revision nor their configuration version ever decreases.
func TestPropertyReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := state.NewReplica()
		tryApply(t, origin, state.Delta{Full: true, To: 1})
		followers := []*state.Replica{state.NewReplica(), state.NewReplica(), state.NewReplica()}
		var delayed []state.Delta
		revision, version := state.Revision(1), state.Version(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				tryApply(t, origin, state.Delta{From: revision - 1, To: revision, Backends: []state.Backend{newBackend(name, revision)}})
			case 1:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				tryApply(t, origin, state.Delta{From: revision - 1, To: revision, Removed: map[string]state.Revision{name: revision}})
			case 2:
				revision++
				version += 3
				configuration := &state.Configuration{Version: version, Revision: revision, Routes: newRoutes(rapid.SliceOfN(rapid.IntRange(0, 2), 5, 5).Draw(t, "routes"))}
				delta := state.Delta{From: revision - 1, To: revision, Configuration: configuration}
				tryApply(t, origin, delta)
				if rapid.Bool().Draw(t, "read") {
					// A second replica also reads it from the platform. It may have missed
					// earlier versions.
					reader := rapid.SampledFrom(followers).Draw(t, "reader")
					delta = origin.DeltaSince(0)
					configuration.Revision = revision
					delta.Configuration = configuration
					tryApply(t, reader, delta)
				}
			case 3:
				from := rapid.SampledFrom(append(followers, origin)).Draw(t, "from")
				delayed = append(delayed, from.DeltaSince(state.Revision(rapid.Uint64Range(0, uint64(revision)).Draw(t, "since"))))
			case 4:
				if len(delayed) > 0 {
					tryApply(t, rapid.SampledFrom(followers).Draw(t, "to"), rapid.SampledFrom(delayed).Draw(t, "delta"))
				}
			}
		}
		for _, follower := range followers {
			since := state.Revision(0)
			if follower.Loaded() {
				since = follower.Revision()
			}
			if !tryApply(t, follower, origin.DeltaSince(since)) {
				tryApply(t, follower, origin.DeltaSince(0))
			}
			if got, want := publishedNames(follower.Table()), publishedNames(origin.Table()); got != want {
				t.Fatalf("a follower has the backend servers %q, want %q", got, want)
			}
			if got, want := describeRoutes(follower), describeRoutes(origin); got != want {
				t.Fatalf("a follower has the routes %q, want %q", got, want)
			}
		}
	})
}

// newRoutes returns a route with the given priority for each priority above 0.
func newRoutes(priorities []int) []state.Route {
	var list []state.Route
	for number, priority := range priorities {
		if priority > 0 {
			list = append(list, newRoute(number, priority))
		}
	}
	return list
}

func newRoute(number, priority int) state.Route {
	return state.Route{
		Name: fmt.Sprintf("route-%d", number), Listen: state.NewEndpoint(0xC6120001, uint16(number)), Priority: priority,
		Shares: []state.Share{{Service: "planning", Weight: 1}},
	}
}

func describeRoutes(r *state.Replica) string {
	text := ""
	if c := r.Configuration(); c != nil {
		for index := range c.Routes {
			text += fmt.Sprintf("%s=%d ", c.Routes[index].Name, c.Routes[index].Priority)
		}
	}
	return text
}

// tryApply reports whether a delta could be applied. A rejected delta must not change the
// revision, and a configuration delta may be rejected only for its digest.
func tryApply(t *rapid.T, r *state.Replica, delta state.Delta) bool {
	revision, version := r.Revision(), configurationVersion(r)
	_, err := r.Apply(delta, start)
	if err != nil && (!errors.Is(err, state.ErrDigestMismatch) || delta.ConfigurationDelta == nil || r.Revision() != revision) {
		t.Fatal(err)
	}
	if r.Revision() < revision || configurationVersion(r) < version {
		t.Fatalf("went back from revision %d, version %d to revision %d, version %d", revision, version, r.Revision(), configurationVersion(r))
	}
	return err == nil
}

// A delta of a configuration of 3,000 routes holds only the changed and the removed route.
func TestDeltaHoldsOnlyChangedRoutes(t *testing.T) {
	is := is.New(t)
	var list []state.Route
	for number := range 3000 {
		list = append(list, newRoute(number, 1))
	}
	origin, peer := state.NewReplica(), state.NewReplica()
	is.True(mustApply(t, origin, state.Delta{Full: true, To: 5, Configuration: &state.Configuration{Version: 1, Revision: 5, Routes: list}}))
	is.True(mustApply(t, peer, origin.DeltaSince(0)))
	changed := slices.Clone(list[:2999])
	changed[7] = newRoute(7, 3)
	is.True(mustApply(t, origin, state.Delta{From: 5, To: 6, Configuration: &state.Configuration{Version: 2, Revision: 6, Routes: changed}}))
	delta := origin.DeltaSince(5)
	is.Equal(delta.Configuration, nil)
	is.Equal(len(delta.ConfigurationDelta.Routes), 1)
	is.Equal(len(delta.ConfigurationDelta.Removed), 1)
	is.True(mustApply(t, peer, delta))
	is.Equal(describeRoutes(peer), describeRoutes(origin))
	is.True(!origin.DeltaSince(4).Full || origin.DeltaSince(4).Configuration != nil)
	origin.Prune(start.Add(time.Hour)) // expires the removal of the route
	is.True(origin.DeltaSince(5).Full)
}

// A replica that misses a version cannot see that a route was changed and then reverted, so
// its delta lacks the route. A peer that has the version in between must reject that delta,
// or it would keep the route as it was in between.
func TestRevertedRouteChangeIsDetected(t *testing.T) {
	is := is.New(t)
	version := func(number, priority int) state.Delta {
		revision := state.Revision(10 * number)
		return state.Delta{Full: number == 1, From: 10, To: revision, Configuration: &state.Configuration{
			Version: state.Version(number), Revision: revision, Routes: []state.Route{newRoute(1, priority), newRoute(2, 1)},
		}}
	}
	reader, peer := state.NewReplica(), state.NewReplica()
	is.True(mustApply(t, reader, version(1, 1)))
	is.True(mustApply(t, peer, version(1, 1)))
	is.True(mustApply(t, peer, version(2, 2)))
	is.True(mustApply(t, reader, version(3, 1)))
	_, err := peer.Apply(reader.DeltaSince(20), start)
	is.True(errors.Is(err, state.ErrDigestMismatch))
	is.Equal(peer.Revision(), state.Revision(20))
	is.True(mustApply(t, peer, reader.DeltaSince(0)))
	is.Equal(describeRoutes(peer), describeRoutes(reader))
}

func configurationVersion(r *state.Replica) state.Version {
	if r.Configuration() == nil {
		return 0
	}
	return r.Configuration().Version
}

// A replica that follows one that has read the platform anew cannot tell peers of the servers that
// came and went meanwhile. A peer that had seen such a server kept it published for good.
func TestDeltaIntoGapIsFull(t *testing.T) {
	is := is.New(t)
	reader, follower, peer := state.NewReplica(), state.NewReplica(), state.NewReplica()
	for _, r := range []*state.Replica{reader, follower, peer} {
		is.True(mustApply(t, r, state.Delta{Full: true, To: 10, Backends: []state.Backend{newBackend("a", 5)}}))
	}
	is.True(mustApply(t, peer, state.Delta{From: 10, To: 15, Backends: []state.Backend{newBackend("b", 15)}}))
	is.True(!mustApply(t, reader, state.Delta{Full: true, To: 20, Backends: []state.Backend{newBackend("a", 5)}}))
	is.True(!mustApply(t, follower, reader.DeltaSince(10)))
	is.Equal(follower.Revision(), state.Revision(20))
	is.True(!follower.HasDeltaSince(15))
	is.True(mustApply(t, peer, follower.DeltaSince(15)))
	is.Equal(publishedNames(peer.Table()), "a ")
}

// The first configuration reaches a replica that has none as a delta as well.
func TestConfigurationDeltaWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	sender, receiver := state.NewReplica(), state.NewReplica()
	is.True(mustApply(t, sender, state.Delta{Full: true, To: 1}))
	is.True(mustApply(t, receiver, state.Delta{Full: true, To: 1}))
	is.True(mustApply(t, sender, state.Delta{From: 1, To: 2, Configuration: &state.Configuration{Version: 4, Revision: 2, Routes: newRoutes([]int{1, 2})}}))
	is.True(mustApply(t, receiver, sender.DeltaSince(1)))
	is.Equal(receiver.Configuration().Version, state.Version(4))
}
