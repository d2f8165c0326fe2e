package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tally"
	"wigeonmoor.example/internal/wire"
)

// A field that a message lacks is 0 or empty. An item of a peer that is not complete must not be
// used, as an entry without a service or an address would send flows astray.
func TestIncompleteItemsOfPeersAreRejected(t *testing.T) {
	complete := func() *wire.Delta {
		backend := &wire.PublishedBackend{Name: "i-1", ID: 1, Service: "s", Domain: "d", Endpoint: 1 << 16, Slots: 2, Started: 3, Revision: 4}
		return &wire.Delta{
			Backends:    []*wire.PublishedBackend{backend},
			Departed:    []*wire.Departed{{Backend: proto.Clone(backend).(*wire.PublishedBackend), Revision: 5}},
			Evacuations: []*wire.Evacuation{{Domain: "d", Active: true, Revision: 6}},
		}
	}
	cases := map[string]func(m *wire.Delta){
		"name":                func(m *wire.Delta) { m.Backends[0].Name = "" },
		"service":             func(m *wire.Delta) { m.Backends[0].Service = "" },
		"domain":              func(m *wire.Delta) { m.Backends[0].Domain = "" },
		"endpoint":            func(m *wire.Delta) { m.Backends[0].Endpoint = 0 },
		"slots":               func(m *wire.Delta) { m.Backends[0].Slots = 0 },
		"revision":            func(m *wire.Delta) { m.Backends[0].Revision = 0 },
		"removed server":      func(m *wire.Delta) { m.Departed[0].Backend = nil },
		"name of removed":     func(m *wire.Delta) { m.Departed[0].Backend.Name = "" },
		"revision of removal": func(m *wire.Delta) { m.Departed[0].Revision = 0 },
		"evacuated domain":    func(m *wire.Delta) { m.Evacuations[0].Domain = "" },
		"revision of request": func(m *wire.Delta) { m.Evacuations[0].Revision = 0 },
	}
	if err := appendItems(&state.Delta{}, complete(), time.Now()); err != nil {
		t.Fatalf("complete items are rejected: %v", err)
	}
	for name, change := range cases {
		message := complete()
		change(message)
		if err := appendItems(&state.Delta{}, message, time.Now()); err == nil {
			t.Errorf("items without %s are accepted", name)
		}
	}
}

// What a balancer learns must arrive as it was sent, up to an eighth, and cost nothing if there is
// nothing.
func TestLearnedLoadsAreSent(t *testing.T) {
	plain := newTestLoads(0)
	if got := decodeLoads(encodeLoads(plain)); got[0] != plain[0] {
		t.Errorf("got %+v, want %+v", got[0], plain[0])
	}
	if size := proto.Size(encodeLoads(plain)); size > 14 {
		t.Errorf("a load without anything learned takes %d bytes", size)
	}
	learned := newTestLoads(2.5)
	if got := decodeLoads(encodeLoads(learned)); got[0] != learned[0] {
		t.Errorf("got %+v, want %+v", got[0], learned[0])
	}
}

// newTestLoads returns a load of one server.
func newTestLoads(learned float64) []tally.Load {
	return []tally.Load{{
		Tag: 7, InFlight: 3, OpenFlows: 20, Work: learned, Good: 2 * learned, Bad: learned,
		Took: time.Duration(learned) * time.Second, Expected: time.Duration(learned) * time.Second,
	}}
}
