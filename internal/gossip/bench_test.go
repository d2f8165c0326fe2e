package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/gossip"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
)

// fleetSizes covers small, medium and large fleets, and the maximum size to design for.
var fleetSizes = []int{8, 90, 300, 1300}

// newNodeWithPeers returns a node that knows a fleet of the given size, a datagram from
// each other member, and the current time.
func newNodeWithPeers(b *testing.B, size int) (*gossip.Node, [][]byte, time.Time) {
	now := startTime
	makeNode := func(number int) *gossip.Node {
		n, err := gossip.New(gossip.Config{
			Name: fmt.Sprintf("entry-%d", number), Domain: fmt.Sprintf("domain-%d", number%9), Address: addressOf(number),
			Rand: rand.New(rand.NewPCG(uint64(number), 1)), Log: logr.Discard(), Replica: state.NewReplica(),
			OnChange: func(string, time.Time) {}, OnConfirm: func(time.Time) {},
			HandleReachabilityQuery:  func(netip.AddrPort, []state.Tag, time.Time) {},
			HandleReachabilityReport: func(string, tagged.ReachabilityReport, time.Time) {},
			DueLoadReports:           func(time.Time) []tagged.LoadReport { return nil }, HandlePeerLoads: func(tally.GroupID, []tally.Load, time.Time) {},
		})
		if err != nil {
			b.Fatal(err)
		}
		return n
	}
	node := makeNode(0)
	var datagrams [][]byte
	for number := 1; number < size; number++ {
		peer := makeNode(number)
		// A node that knows no other member sends only to its seeds.
		peer.SetSeeds([]netip.AddrPort{addressOf(0)})
		for _, message := range peer.Tick(now) {
			datagrams = append(datagrams, message.Data)
			if _, err := node.Receive(message.Data, addressOf(number), now); err != nil {
				b.Fatal(err)
			}
		}
	}
	return node, datagrams, now
}

// BenchmarkCapacitySecond measures the cost of membership for one second: 20 ticks, 20
// queries of the reader role, and 20 received datagrams. The five rounds of a real second
// are missing: the simulated time advances too slowly for rounds to become due.
func BenchmarkCapacitySecond(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			node, datagrams, now := newNodeWithPeers(b, size)
			b.ReportAllocs()
			b.ResetTimer()
			for second := range b.N {
				for tick := range 20 {
					node.Tick(now)
					node.IsReader(now)
					node.LiveCount()
					data := datagrams[(second*20+tick)%len(datagrams)]
					if _, err := node.Receive(data, addressOf(1), now); err != nil {
						b.Fatal(err)
					}
					// Time advances by a microsecond every four ticks only, so that no member
					// times out.
					if tick%4 == 0 {
						now = now.Add(time.Microsecond)
					}
				}
			}
		})
	}
}
