package tagged_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// serverCounts are the numbers of backend servers of typical deployments, and 9,000
// as the design limit.
var serverCounts = []int{18, 150, 1000, 9000}

// flowsPerRequest is the number of open flows per in-flight request.
const flowsPerRequest = 10

// newCapacityCore returns a core with the given number of backend servers in 9
// failure domains and 20 services, and with the flows of one of 1,300 balancers.
func newCapacityCore(count int, learn bool) (*tagged.Core, []state.Backend, *state.Configuration) {
	const services, flowCount = 20, 7700
	core := tagged.New(tagged.Config{Domain: "domain-0", MaxFlows: 100_000, LearnServers: learn, Rand: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(), DecisionLog: logr.Discard()})
	var backends []state.Backend
	for number := range count {
		backends = append(backends, state.Backend{
			Name: fmt.Sprintf("i-%04x", number), ID: state.BackendID(number), Service: fmt.Sprintf("service-%d", number%services),
			Domain: fmt.Sprintf("domain-%d", number%9), Slots: 2, State: state.Serving, Started: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(number >> 8), byte(number)}), 80),
		})
	}
	routes := &state.Configuration{Version: 3, IdleTimeout: 15 * time.Second}
	for number := range 1300 {
		routes.Routes = append(routes.Routes, state.Route{
			Listen: state.NewEndpoint(0xC6120001, uint16(1000+number)), Timeout: 2 * time.Second, Objective: time.Second,
			Shares: []state.Share{{Service: fmt.Sprintf("service-%d", number%services), Weight: 1}},
		})
	}
	core.SetTable(state.NewTable(1, routes, backends, nil), start)
	core.ConfirmTable(start)
	for number := range flowCount {
		p := tagged.Packet{
			Key: tagged.Key{Caller: state.NewEndpoint(uint32(number), 1000), Listen: routes.Routes[number%1300].Listen},
			Tag: backends[number%count].Tag(), Acknowledged: 1,
		}
		if number%flowsPerRequest == 0 {
			p.Length = 10
		}
		core.HandlePacket(&p, start)
	}
	return core, backends, routes
}

// liveHeapBytes returns the size of the live heap after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkCapacityTick measures the periodic work of one tick (50 ms).
func BenchmarkCapacityTick(b *testing.B) {
	for _, count := range serverCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := liveHeapBytes()
			core, _, _ := newCapacityCore(count, false)
			held := liveHeapBytes() - before
			b.ReportAllocs()
			b.ResetTimer()
			for tick := range b.N {
				core.Tick(start)
				core.ServicesReachable()
				core.DueLoadReports(start.Add(time.Duration(tick) * tagged.TickInterval))
			}
			b.ReportMetric(float64(held), "heldB")
		})
	}
}

// BenchmarkCapacityChange measures putting a table with one change in force.
func BenchmarkCapacityChange(b *testing.B) {
	for _, count := range serverCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			core, backends, routes := newCapacityCore(count, false)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				core.SetTable(state.NewTable(1, routes, backends, nil), start)
			}
		})
	}
}

// BenchmarkCapacityFirst measures placing a flow and aborting it, without and with learning.
func BenchmarkCapacityFirst(b *testing.B) {
	for _, learn := range []bool{false, true} {
		for _, count := range serverCounts {
			b.Run(fmt.Sprintf("learn=%v/%d", learn, count), func(b *testing.B) {
				core, _, routes := newCapacityCore(count, learn)
				b.ReportAllocs()
				b.ResetTimer()
				for number := range b.N {
					p := tagged.Packet{First: true, Key: tagged.Key{Caller: state.NewEndpoint(0x64400000+uint32(number>>15), uint16(1000+number&0x7fff)), Listen: routes.Routes[number%1300].Listen}}
					core.HandlePacket(&p, start)
					p.First, p.Abort = false, true
					core.HandlePacket(&p, start)
				}
			})
		}
	}
}

// BenchmarkKnownPacket measures forwarding a packet of a flow that has a record.
func BenchmarkKnownPacket(b *testing.B) {
	core := tagged.New(tagged.Config{Domain: "lorient", MaxFlows: 400_000, Rand: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(), DecisionLog: logr.Discard()})
	var backends []state.Backend
	for number := range 100 {
		backends = append(backends, server(number+1))
	}
	core.SetTable(state.NewTable(1, configuration(), backends, nil), start)
	packets := make([]tagged.Packet, 300_000)
	for index := range packets {
		packets[index] = tagged.Packet{
			Key: tagged.Key{Caller: endpoint("100.64.0.1:1") + state.Endpoint(index)<<4, Listen: endpoint(feed)},
			Tag: backends[index%100].Tag(), Acknowledged: 1, Length: 10,
		}
		core.HandlePacket(&packets[index], start)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		core.HandlePacket(&packets[(index*7919)%len(packets)], start)
	}
}
