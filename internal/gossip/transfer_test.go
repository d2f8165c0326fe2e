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
	// slowLinkRate is 10 Mbit/s in bytes a second, the slowest link of medium and large
	// deployments.
	slowLinkRate = 10e6 / 8
	// maxLinkWait bounds the time that a packet may wait on a link behind parts of
	// transfers. A flow's first packet counts as unanswered after 80 ms.
	maxLinkWait = 40 * time.Millisecond
	// maxSpreadTime is the time within which a change has to take effect on all balancers.
	maxSpreadTime = 4 * time.Second
)

// fullDelta returns a full delta with the given numbers of backend servers and routes.
func fullDelta(to state.Revision, version state.Version, servers, routes int) state.Delta {
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

// countBehind returns the number of live nodes that have not reached a revision.
func (f *fleet) countBehind(revision state.Revision) int {
	count := 0
	for _, n := range f.liveNodes() {
		if n.replica.Revision() < revision {
			count++
		}
	}
	return count
}

// advanceUntilReached runs the simulation until all live nodes have reached a revision or
// the timeout has passed, and returns the elapsed time.
func (f *fleet) advanceUntilReached(revision state.Revision, timeout time.Duration) time.Duration {
	start := f.now
	for f.countBehind(revision) > 0 && f.now.Sub(start) < timeout {
		f.advance(20 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// newSlowFleet returns a converged fleet with a medium-sized state and slow links.
func newSlowFleet(size int, seed uint64, servers int) *fleet {
	f := newFleet(size, seed)
	f.applyPlatformDelta(size-1, fullDelta(5, 2, servers, 40))
	f.advance(12 * time.Second)
	f.linkRate, f.maxWait = slowLinkRate, 0
	f.resetSentBytes()
	return f
}

func (f *fleet) resetSentBytes() {
	for _, n := range f.nodes {
		n.sentBytes = 0
	}
}

// maxSentBytes returns the largest number of bytes sent by one node.
func (f *fleet) maxSentBytes() int {
	most := 0
	for _, n := range f.nodes {
		most = max(most, n.sentBytes)
	}
	return most
}

// Guards against a reader's link being saturated for seconds when a configuration grows by
// 1,780 routes while additional balancers start.
func TestLargeChangeBoundsLinkWait(t *testing.T) {
	for _, size := range []int{8, 90, 195} {
		is := is.New(t)
		f := newSlowFleet(size, 21, 150)
		f.applyPlatformDelta(0, state.Delta{From: 5, To: 6, Configuration: fullDelta(6, 3, 0, 1820).Configuration})
		f.advance(300 * time.Millisecond)
		spares := size / 5
		for number := range spares {
			f.nodes = append(f.nodes, nil)
			f.startNode(size + number)
		}
		took := f.advanceUntilReached(6, maxSpreadTime)
		t.Logf("%d nodes and %d more: reached after %s, longest wait on a link %s, busiest node sent %d bytes", size, spares, took, f.maxWait, f.maxSentBytes())
		is.Equal(f.countBehind(6), 0)
		is.True(f.maxWait < maxLinkWait)
	}
}

// The maximum state to design for, 9,000 backend servers and 3,000 routes, has to reach all
// of 300 balancers at once.
func TestFullStateReachesLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	is := is.New(t)
	f := newFleet(300, 22)
	f.advance(12 * time.Second)
	f.linkRate = slowLinkRate
	f.maxWait = 0
	f.resetSentBytes()
	f.applyPlatformDelta(17, fullDelta(5, 2, 9000, 3000))
	took := f.advanceUntilReached(5, maxSpreadTime)
	t.Logf("reached after %s, longest wait on a link %s, busiest node sent %d bytes", took, f.maxWait, f.maxSentBytes())
	is.Equal(f.countBehind(5), 0)
	is.True(f.maxWait < maxLinkWait)
	is.True(float64(f.maxSentBytes()) < took.Seconds()*(float64(gossip.DefaultTransferRate)+25_000))
}

// Two readers of a restored platform enter its new epoch at different revisions, while a
// thousand of 9,000 backend servers publish their entries again. Changes must still take effect
// on all balancers in time.
func TestRestoredStoreReachesLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	is := is.New(t)
	const servers, lost, step = 9000, 1000, 100
	f := newFleet(300, 24)
	before := fullDelta(20_000, 2, servers, 3000)
	f.applyPlatformDelta(17, before)
	f.advance(16 * time.Second)
	is.Equal(f.countBehind(20_000), 0)
	f.linkRate, f.maxWait = slowLinkRate, 0
	f.resetSentBytes()
	// read returns what a reader gets when the first count lost entries are published again.
	read := func(count int) state.Delta {
		delta := fullDelta(state.NewRevision(1, state.Counter(15_000+count)), 2, servers, 3000)
		delta.Backends = append(delta.Backends[:count:count], delta.Backends[lost:]...)
		for index := range delta.Backends {
			delta.Backends[index].Revision = state.NewRevision(1, 1)
			if index < count {
				delta.Backends[index].Revision = state.NewRevision(1, state.Counter(15_000+index+1))
			}
		}
		return delta
	}
	f.applyPlatformDelta(17, read(0))
	for count := step; count <= lost; count += step {
		f.advance(200 * time.Millisecond)
		all := read(count)
		changes := state.Delta{From: all.To - step, To: all.To, Backends: all.Backends[count-step : count]}
		f.applyPlatformDelta(17, changes)
		switch {
		case count == 2*step:
			f.applyPlatformDelta(18, all)
		case count > 2*step:
			f.applyPlatformDelta(18, changes)
		}
	}
	last := state.NewRevision(1, 15_000+lost+1)
	change := state.Delta{From: last - 1, To: last, Configuration: fullDelta(last, 3, 0, 3001).Configuration}
	f.applyPlatformDelta(17, change)
	f.applyPlatformDelta(18, change)
	took := f.advanceUntilReached(last, maxSpreadTime)
	t.Logf("reached %s after the last change, longest wait on a link %s, busiest node sent %d bytes", took, f.maxWait, f.maxSentBytes())
	is.Equal(f.countBehind(last), 0)
	is.True(f.maxWait < maxLinkWait)
	for _, n := range f.liveNodes() {
		is.Equal(len(n.replica.Table().Service("service-1")), servers/9)
		is.Equal(n.replica.Configuration().Version, state.Version(3))
	}
}

// BenchmarkCapacityFullView measures how long 9,000 backend servers and 3,000 routes take
// to reach a fleet over links of 10 Mbit/s, and the bytes sent.
func BenchmarkCapacityFullView(b *testing.B) {
	for _, size := range []int{8, 90, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var took, bytes, busiest float64
			for range b.N {
				f := newFleet(size, 22)
				f.advance(12 * time.Second)
				f.linkRate, f.totalBytes = slowLinkRate, 0
				f.resetSentBytes()
				f.applyPlatformDelta(size/2, fullDelta(5, 2, 9000, 3000))
				took += f.advanceUntilReached(5, time.Minute).Seconds()
				bytes += float64(f.totalBytes) / float64(size)
				busiest += float64(f.maxSentBytes())
			}
			b.ReportMetric(took/float64(b.N), "s/view")
			b.ReportMetric(bytes/float64(b.N), "B/balancer")
			b.ReportMetric(busiest/float64(b.N), "B/busiest")
		})
	}
}
