package tagged_test

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// Two servers of a domain are silent: idle flows on its others are reset before their
// callers ask again, once the checks of those servers have failed too.
func TestSilentDomainIsCheckedAsAWhole(t *testing.T) {
	b := newBench(t, 4)
	for index := range b.backends {
		b.backends[index].Domain = "vannes"
	}
	b.publish()
	idle := make(map[state.BackendID]*flow)
	for port := 2000; len(idle) < 4; port++ {
		f := b.open(port, feed)
		f.answered()
		f.progress()
		idle[f.last.ID] = f
	}
	b.wait(time.Second, health.Answered)
	for _, id := range []state.BackendID{1, 2} {
		idle[id].packet(100)
	}
	b.now = b.now.Add(200 * time.Millisecond)
	for _, id := range []state.BackendID{1, 2} {
		idle[id].again(100)
	}
	resets := b.wait(500*time.Millisecond, health.Silent, "i-0001", "i-0002", "i-0003")
	reset := make(map[tagged.Key]bool)
	for _, r := range resets {
		reset[r.Key] = true
	}
	b.is.True(reset[idle[3].p.Key])
	b.is.True(!reset[idle[4].p.Key]) // its check is answered
}
