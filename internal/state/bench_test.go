package state_test

import (
	"fmt"
	"testing"

	"wigeonmoor.example/internal/state"
)

// BenchmarkCapacityTable measures building the lookup table, which follows each change.
func BenchmarkCapacityTable(b *testing.B) {
	for _, servers := range []int{18, 150, 1000, 9000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := state.NewReplica()
			delta := state.Delta{Full: true, To: 1, Configuration: &state.Configuration{Version: 1}}
			for number := range servers {
				delta.Backends = append(delta.Backends, newBackend(fmt.Sprintf("i-%04x", number), 1))
			}
			for number := range 1300 {
				delta.Configuration.Routes = append(delta.Configuration.Routes, state.Route{Listen: state.Endpoint(number)})
			}
			_, _ = r.Apply(delta, start)
			b.ReportAllocs()
			for b.Loop() {
				r.Table()
			}
		})
	}
}
