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
