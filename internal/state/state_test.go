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

func backend(name string, revision state.Revision) state.Backend {
	return state.Backend{
		Name: name, Service: "planning", Domain: "lorient", Slots: 2, Standing: state.Serving,
		Address: netip.MustParseAddrPort("192.0.2.1:80"), Revision: revision,
	}
}

func names(table *state.Table) string {
	text := ""
	for _, entry := range table.Entries() {
		if entry.Published() {
			text += entry.Name + " "
		}
	}
	return text
}

// applied applies a delta that fits and reports whether it has changed anything.
func applied(t *testing.T, r *state.Replica, delta state.Delta) bool {
	t.Helper()
	changed, err := r.Apply(delta, start)
	if err != nil {
		t.Error(err)
	}
	return changed
}

func TestApplyLeavesOlderItemsOut(t *testing.T) {
	is := is.New(t)
	r := state.NewReplica()
	is.True(!applied(t, r, state.Delta{From: 3, To: 4})) // a difference needs a whole first
	is.True(applied(t, r, state.Delta{Full: true, To: 10, Backends: []state.Backend{backend("a", 9)}, Configuration: &state.Configuration{Version: 7}}))
	is.True(applied(t, r, state.Delta{From: 10, To: 12, Removed: map[string]state.Revision{"a": 12}}))
	is.Equal(names(r.Table()), "")
	is.True(!applied(t, r, state.Delta{From: 8, To: 11, Backends: []state.Backend{backend("a", 11)}})) // late and out of date
	is.Equal(names(r.Table()), "")
	is.True(!applied(t, r, state.Delta{Full: true, To: 9, Configuration: &state.Configuration{Version: 6}}))
	is.Equal(r.Configuration().Version, state.Version(7))
	is.True(!applied(t, r, state.Delta{From: 13, To: 14})) // a gap
	is.Equal(r.Revision(), state.Revision(12))
}

func TestSinceIsWholeOnceRemovalsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := state.NewReplica()
	is.True(applied(t, r, state.Delta{Full: true, To: 1, Backends: []state.Backend{backend("a", 1), backend("b", 1)}}))
	is.True(applied(t, r, state.Delta{From: 1, To: 2, Removed: map[string]state.Revision{"a": 2}}))
	is.True(!r.Since(1).Full)
	is.Equal(len(r.Since(1).Departed), 1)
	r.Forget(start.Add(time.Hour))
	is.True(r.Since(1).Full)
	is.True(!r.Since(2).Full)
}

func TestOlderServerKeepsTheTag(t *testing.T) {
	is := is.New(t)
	one, other := collision(t)
	older, newer := backend(one, 5), backend(other, 4)
	older.Started, newer.Started = 100, 200
	is.Equal(older.Tag(), newer.Tag())
	for _, order := range [][]state.Backend{{older, newer}, {newer, older}} {
		table := state.NewTable(1, nil, order, nil)
		is.Equal(table.ByTag(older.Tag()).Name, one)
		for _, entry := range table.Entries() {
			is.Equal(entry.Shadowed, entry.Name == other)
		}
	}
}

// collision finds two names with one tag: among a hundred thousand names of 32-bit
// tags there is one.
func collision(t *testing.T) (string, string) {
	seen := make(map[state.Tag]string)
	for number := range 1_000_000 {
		b := backend(fmt.Sprintf("i-%08x", number), 1)
		if other, ok := seen[b.Tag()]; ok {
			return other, b.Name
		}
		seen[b.Tag()] = b.Name
	}
	t.Fatal("no two names have one tag")
	return "", ""
}

func TestAddressTakenOver(t *testing.T) {
	is := is.New(t)
	gone, there := backend("a", 1), backend("b", 2)
	table := state.NewTable(2, nil, []state.Backend{there}, []state.Removal{{Backend: gone, At: start}})
	is.True(table.ByTag(gone.Tag()).Replaced)
	is.True(!table.ByTag(there.Tag()).Replaced)
}

// Replicas that are told differences late, twice and out of order end alike, and
// neither revision nor configuration ever goes back.
func TestPropertyReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := state.NewReplica()
		apply(t, origin, state.Delta{Full: true, To: 1})
		followers := []*state.Replica{state.NewReplica(), state.NewReplica(), state.NewReplica()}
		var late []state.Delta
		revision, version := state.Revision(1), state.Version(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				apply(t, origin, state.Delta{From: revision - 1, To: revision, Backends: []state.Backend{backend(name, revision)}})
			case 1:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				apply(t, origin, state.Delta{From: revision - 1, To: revision, Removed: map[string]state.Revision{name: revision}})
			case 2:
				revision++
				version += 3
				configuration := &state.Configuration{Version: version, Revision: revision, Routes: routes(rapid.SliceOfN(rapid.IntRange(0, 2), 5, 5).Draw(t, "routes"))}
				whole := state.Delta{From: revision - 1, To: revision, Configuration: configuration}
				apply(t, origin, whole)
				if rapid.Bool().Draw(t, "read") {
					// One more reads it from the platform, and may have missed versions before.
					reader := rapid.SampledFrom(followers).Draw(t, "reader")
					whole = origin.Since(0)
					configuration.Revision = revision
					whole.Configuration = configuration
					apply(t, reader, whole)
				}
			case 3:
				from := rapid.SampledFrom(append(followers, origin)).Draw(t, "from")
				late = append(late, from.Since(state.Revision(rapid.Uint64Range(0, uint64(revision)).Draw(t, "since"))))
			case 4:
				if len(late) > 0 {
					apply(t, rapid.SampledFrom(followers).Draw(t, "to"), rapid.SampledFrom(late).Draw(t, "delta"))
				}
			}
		}
		for _, follower := range followers {
			since := state.Revision(0)
			if follower.Loaded() {
				since = follower.Revision()
			}
			if !apply(t, follower, origin.Since(since)) {
				apply(t, follower, origin.Since(0))
			}
			if got, want := names(follower.Table()), names(origin.Table()); got != want {
				t.Fatalf("a follower holds %q, published is %q", got, want)
			}
			if got, want := routesOf(follower), routesOf(origin); got != want {
				t.Fatalf("a follower has the routes %q, published are %q", got, want)
			}
		}
	})
}

// routes returns a route for each figure above 0, with that priority.
func routes(priorities []int) []state.Route {
	var list []state.Route
	for number, priority := range priorities {
		if priority > 0 {
			list = append(list, route(number, priority))
		}
	}
	return list
}

func route(number, priority int) state.Route {
	return state.Route{
		Name: fmt.Sprintf("route-%d", number), Listen: state.NewEndpoint(0xC6120001, uint16(number)), Priority: priority,
		Shares: []state.Share{{Service: "planning", Weight: 1}},
	}
}

func routesOf(r *state.Replica) string {
	text := ""
	if c := r.Configuration(); c != nil {
		for index := range c.Routes {
			text += fmt.Sprintf("%s=%d ", c.Routes[index].Name, c.Routes[index].Priority)
		}
	}
	return text
}

// apply reports whether a delta could be taken; one that is refused changes nothing.
func apply(t *rapid.T, r *state.Replica, delta state.Delta) bool {
	revision, version := r.Revision(), versionOf(r)
	_, err := r.Apply(delta, start)
	if err != nil && (!errors.Is(err, state.ErrDigest) || delta.Amendment == nil || r.Revision() != revision) {
		t.Fatal(err)
	}
	if r.Revision() < revision || versionOf(r) < version {
		t.Fatalf("went back from revision %d, version %d to %d, %d", revision, version, r.Revision(), versionOf(r))
	}
	return err == nil
}

// Of a configuration of 3,000 routes a change of one is told alone.
func TestOneRouteOfThousands(t *testing.T) {
	is := is.New(t)
	var list []state.Route
	for number := range 3000 {
		list = append(list, route(number, 1))
	}
	origin, peer := state.NewReplica(), state.NewReplica()
	is.True(applied(t, origin, state.Delta{Full: true, To: 5, Configuration: &state.Configuration{Version: 1, Revision: 5, Routes: list}}))
	is.True(applied(t, peer, origin.Since(0)))
	changed := slices.Clone(list[:2999])
	changed[7] = route(7, 3)
	is.True(applied(t, origin, state.Delta{From: 5, To: 6, Configuration: &state.Configuration{Version: 2, Revision: 6, Routes: changed}}))
	delta := origin.Since(5)
	is.Equal(delta.Configuration, nil)
	is.Equal(len(delta.Amendment.Routes), 1)
	is.Equal(len(delta.Amendment.Removed), 1)
	is.True(applied(t, peer, delta))
	is.Equal(routesOf(peer), routesOf(origin))
	is.True(!origin.Since(4).Full || origin.Since(4).Configuration != nil)
	origin.Forget(start.Add(time.Hour)) // the removal, too
	is.True(origin.Since(5).Full)
}

// A route that was changed and changed back while a reader looked away seems unchanged
// to it. Whoever has the version between must not end up with that.
func TestRouteChangedAndChangedBack(t *testing.T) {
	is := is.New(t)
	version := func(number, priority int) state.Delta {
		revision := state.Revision(10 * number)
		return state.Delta{Full: true, To: revision, Configuration: &state.Configuration{
			Version: state.Version(number), Revision: revision, Routes: []state.Route{route(1, priority), route(2, 1)},
		}}
	}
	reader, between := state.NewReplica(), state.NewReplica()
	is.True(applied(t, reader, version(1, 1)))
	is.True(applied(t, between, version(1, 1)))
	is.True(applied(t, between, version(2, 2)))
	is.True(applied(t, reader, version(3, 1)))
	_, err := between.Apply(reader.Since(20), start)
	is.True(errors.Is(err, state.ErrDigest))
	is.Equal(between.Revision(), state.Revision(20))
	is.True(applied(t, between, reader.Since(0)))
	is.Equal(routesOf(between), routesOf(reader))
}

func versionOf(r *state.Replica) state.Version {
	if r.Configuration() == nil {
		return 0
	}
	return r.Configuration().Version
}
