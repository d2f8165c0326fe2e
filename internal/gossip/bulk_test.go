package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/gossip"
	"wigeonmoor.example/internal/state"
)

const (
	// slowLink is 10 Mbit/s, the slowest link of the users' grown sites.
	slowLink = 10e6 / 8
	// waitBound is how long a packet may wait behind differences: a first packet counts
	// as unanswered after 80 ms.
	waitBound = 40 * time.Millisecond
	// configurationBound is the time in which a change is to be in force everywhere.
	configurationBound = 4 * time.Second
)

// published returns everything, with so many backend servers and routes.
func published(to state.Revision, version state.Version, servers, routes int) state.Delta {
	delta := state.Delta{Full: true, To: to, Configuration: &state.Configuration{Version: version, Revision: to}}
	for number := range servers {
		delta.Backends = append(delta.Backends, state.Backend{
			Name: fmt.Sprintf("i-%010x", number*2654435761%(1<<40)), ID: state.BackendID(number), Service: fmt.Sprintf("service-%d", number%9),
			Domain: fmt.Sprintf("domain-%d", number%9), Slots: 2, State: state.Serving, Started: 1_800_000_000_000, Revision: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(number >> 8), byte(number)}), 8080),
		})
	}
	for number := range routes {
		delta.Configuration.Routes = append(delta.Configuration.Routes, state.Route{
			Name: fmt.Sprintf("route-%06x", number), Listen: state.NewEndpoint(0xC6120001, uint16(number)), Priority: 2,
			Shares:  []state.Share{{Service: "service-1", Weight: 1}},
			Timeout: 2 * time.Second, Objective: 400 * time.Millisecond,
		})
	}
	return delta
}

// behind returns how many live nodes have not reached a revision.
func (f *fleet) behind(revision state.Revision) int {
	count := 0
	for _, n := range f.live() {
		if n.replica.Revision() < revision {
			count++
		}
	}
	return count
}

// spread lets time pass until all live nodes have reached a revision or the bound has
// passed, and returns how long that took.
func (f *fleet) spread(revision state.Revision, bound time.Duration) time.Duration {
	began := f.now
	for f.behind(revision) > 0 && f.now.Sub(began) < bound {
		f.run(20 * time.Millisecond)
	}
	return f.now.Sub(began)
}

// grown returns a fleet that knows each other and an ordinary view, and then has links
// of a rate.
func grown(size int, seed uint64, servers int) *fleet {
	f := newFleet(size, seed)
	f.read(size-1, published(5, 2, servers, 40))
	f.run(12 * time.Second)
	f.rate, f.longest = slowLink, 0
	f.count()
	return f
}

func (f *fleet) count() {
	for _, n := range f.nodes {
		n.sent = 0
	}
}

// busiest returns the most that a node has sent, and the middle.
func (f *fleet) busiest() int {
	most := 0
	for _, n := range f.nodes {
		most = max(most, n.sent)
	}
	return most
}

// A configuration grows by 1,780 routes while spare balancers start, as on a day of the
// users' on which a reader's link was full for seconds.
func TestGreatChangeLeavesLinksFree(t *testing.T) {
	for _, size := range []int{8, 90, 195} {
		is := is.New(t)
		f := grown(size, 21, 150)
		f.read(0, state.Delta{From: 5, To: 6, Configuration: published(6, 3, 0, 1820).Configuration})
		f.run(300 * time.Millisecond)
		spares := size / 5
		for number := range spares {
			f.nodes = append(f.nodes, nil)
			f.start(size + number)
		}
		took := f.spread(6, configurationBound)
		t.Logf("%d nodes and %d more: %s, longest wait for a link %s, busiest %d bytes", size, spares, took, f.longest, f.busiest())
		is.Equal(f.behind(6), 0)
		is.True(f.longest < waitBound)
	}
}

// The size to design for, but for the number of balancers: everything has to reach 300 of
// them at once.
func TestEverythingReachesALargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	is := is.New(t)
	f := newFleet(300, 22)
	f.run(12 * time.Second)
	f.rate = slowLink
	f.longest = 0
	f.count()
	f.read(17, published(5, 2, 9000, 3000))
	took := f.spread(5, configurationBound)
	t.Logf("%s, longest wait for a link %s, busiest %d bytes", took, f.longest, f.busiest())
	is.Equal(f.behind(5), 0)
	is.True(f.longest < waitBound)
	is.True(float64(f.busiest()) < took.Seconds()*(float64(gossip.DefaultBulkRate)+25_000))
}

// BenchmarkCapacityFullView is 9,000 backend servers and 3,000 routes on their way to a
// fleet, over links of 10 Mbit/s: the time that it takes there and what is sent.
func BenchmarkCapacityFullView(b *testing.B) {
	for _, size := range []int{8, 90, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var took, bytes, busiest float64
			for range b.N {
				f := newFleet(size, 22)
				f.run(12 * time.Second)
				f.rate, f.bytes = slowLink, 0
				f.count()
				f.read(size/2, published(5, 2, 9000, 3000))
				took += f.spread(5, time.Minute).Seconds()
				bytes += float64(f.bytes) / float64(size)
				busiest += float64(f.busiest())
			}
			b.ReportMetric(took/float64(b.N), "s/view")
			b.ReportMetric(bytes/float64(b.N), "B/balancer")
			b.ReportMetric(busiest/float64(b.N), "B/busiest")
		})
	}
}
