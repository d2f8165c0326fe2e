package flow_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"wigeonmoor.example/internal/flow"
)

// A table contains the same records as a Go map after the same operations.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, model := &flow.Table{}, make(map[flow.ID]flow.Record)
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			// The small range of IDs causes collisions and wraps around the end of the array.
			id := flow.ID(rapid.IntRange(1, 40).Draw(rt, "id"))
			record := flow.Record{Backend: flow.BackendKey(rapid.Uint32().Draw(rt, "backend"))}
			if rapid.Bool().Draw(rt, "put") {
				table.Put(id, record)
				model[id] = record
			} else {
				table.Delete(id)
				delete(model, id)
			}
		}
		if table.Len() != len(model) {
			rt.Fatalf("table has %d records, expected %d", table.Len(), len(model))
		}
		for id, record := range table.All() {
			if model[id] != record {
				rt.Fatalf("flow %v has record %v in All, expected %v", id, record, model[id])
			}
		}
		for id, record := range model {
			if got, known := table.Get(id); !known || got != record {
				rt.Fatalf("Get of flow %v returned %v and %t, expected %v", id, got, known, record)
			}
		}
	})
}

func ExampleHash() {
	key := flow.Key{
		Protocol: flow.TCP,
		Caller:   netip.MustParseAddrPort("203.0.113.9:40000"),
		Service:  netip.MustParseAddrPort("198.51.100.1:443"),
	}
	id := flow.Hash(1, key)
	fmt.Println(id == flow.Hash(1, key), id == flow.Hash(2, key), id.Slot() < flow.SlotCount)
	// Output: true false true
}
