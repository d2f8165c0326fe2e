package state_test

import (
	"fmt"
	"net/netip"
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

func TestApplyLeavesOlderItemsOut(t *testing.T) {
	is := is.New(t)
	r := state.NewReplica()
	is.True(!r.Apply(state.Delta{From: 3, To: 4}, start)) // a difference needs a whole first
	is.True(r.Apply(state.Delta{Full: true, To: 10, Backends: []state.Backend{backend("a", 9)}, Configuration: &state.Configuration{Version: 7}}, start))
	is.True(r.Apply(state.Delta{From: 10, To: 12, Removed: map[string]state.Revision{"a": 12}}, start))
	is.Equal(names(r.Table()), "")
	is.True(!r.Apply(state.Delta{From: 8, To: 11, Backends: []state.Backend{backend("a", 11)}}, start)) // late and out of date
	is.Equal(names(r.Table()), "")
	is.True(!r.Apply(state.Delta{Full: true, To: 9, Configuration: &state.Configuration{Version: 6}}, start))
	is.Equal(r.Configuration().Version, state.Version(7))
	is.True(!r.Apply(state.Delta{From: 13, To: 14}, start)) // a gap
	is.Equal(r.Revision(), state.Revision(12))
}

func TestSinceIsWholeOnceRemovalsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := state.NewReplica()
	r.Apply(state.Delta{Full: true, To: 1, Backends: []state.Backend{backend("a", 1), backend("b", 1)}}, start)
	r.Apply(state.Delta{From: 1, To: 2, Removed: map[string]state.Revision{"a": 2}}, start)
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
		origin.Apply(state.Delta{Full: true, To: 1}, start)
		followers := []*state.Replica{state.NewReplica(), state.NewReplica(), state.NewReplica()}
		var late []state.Delta
		revision, version := state.Revision(1), state.Version(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				origin.Apply(state.Delta{From: revision - 1, To: revision, Backends: []state.Backend{backend(name, revision)}}, start)
			case 1:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				origin.Apply(state.Delta{From: revision - 1, To: revision, Removed: map[string]state.Revision{name: revision}}, start)
			case 2:
				revision++
				version += 3
				origin.Apply(state.Delta{From: revision - 1, To: revision, Configuration: &state.Configuration{Version: version, Revision: revision}}, start)
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
			apply(t, follower, origin.Since(since))
			if got, want := names(follower.Table()), names(origin.Table()); got != want {
				t.Fatalf("a follower holds %q, published is %q", got, want)
			}
		}
	})
}

func apply(t *rapid.T, r *state.Replica, delta state.Delta) {
	revision, version := r.Revision(), versionOf(r)
	r.Apply(delta, start)
	if r.Revision() < revision || versionOf(r) < version {
		t.Fatalf("went back from revision %d, version %d to %d, %d", revision, version, r.Revision(), versionOf(r))
	}
}

func versionOf(r *state.Replica) state.Version {
	if r.Configuration() == nil {
		return 0
	}
	return r.Configuration().Version
}
