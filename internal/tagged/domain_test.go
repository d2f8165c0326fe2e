package tagged_test

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// Two servers of a failure domain do not answer. Idle flows on the domain's other
// servers are reset before their callers send the next request, once the checks of
// those servers have failed as well.
func TestSilentDomainHasAllServersChecked(t *testing.T) {
	h := newHarness(t, 4)
	for index := range h.backends {
		h.backends[index].Domain = "vannes"
	}
	h.publish()
	idle := make(map[state.BackendID]*flow)
	for port := 2000; len(idle) < 4; port++ {
		f := h.openFlow(port, feed)
		f.completeHandshake()
		f.acknowledge()
		idle[f.lastVerdict.ID] = f
	}
	h.advance(time.Second, health.Answered)
	for _, id := range []state.BackendID{1, 2} {
		idle[id].send(100)
	}
	h.now = h.now.Add(200 * time.Millisecond)
	for _, id := range []state.BackendID{1, 2} {
		idle[id].retransmit(100)
	}
	resets := h.advance(500*time.Millisecond, health.Silent, "i-0001", "i-0002", "i-0003")
	reset := make(map[tagged.Key]bool)
	for _, r := range resets {
		reset[r.Key] = true
	}
	h.is.True(reset[idle[3].packet.Key])
	h.is.True(!reset[idle[4].packet.Key]) // the check of its server is answered
}

// When a whole failure domain is lost, peers cannot report on each of its servers at once. Servers
// without a report of their own stayed unreachable for longer, and their flows undecided. A peer's
// report on one server of the domain decides for all at once, unless a peer reaches any of them.
func TestLostDomainNeedsNoReportOfEachServer(t *testing.T) {
	for _, reached := range []bool{false, true} {
		h := newHarness(t, 6)
		for index := range h.backends {
			h.backends[index].Domain = "vannes"
		}
		h.publish()
		h.core.SetPeerCount(8)
		for port := 2000; port < 2012; port++ {
			h.openFlow(port, feed)
		}
		names := []string{"i-0001", "i-0002", "i-0003", "i-0004", "i-0005", "i-0006"}
		h.advance(150*time.Millisecond, health.Silent, names...)
		report := tagged.ReachabilityReport{Silent: h.tags()[:1]}
		if reached {
			report.Alive = h.tags()[1:2]
		}
		h.is.True(len(h.core.HandleReachabilityReport("entry-2", report, h.now)) > 0)
		dead := 0
		for _, status := range h.core.Backends() {
			if status.Health == health.Dead {
				dead++
			}
		}
		if want := map[bool]int{false: 6, true: 1}[reached]; dead != want {
			t.Errorf("a server of the domain is reached by a peer: %v: %d servers are dead, want %d", reached, dead, want)
		}
	}
}
