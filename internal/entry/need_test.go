package entry

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/source"
)

// A balancer that starts in a running fleet gets the state from its peers without a call to
// the platform. A balancer without peers calls the platform soon, as do the readers of a fleet
// that is starting.
func TestStartupReadMode(t *testing.T) {
	cases := []struct {
		name               string
		fetching, isReader bool
		uptime             time.Duration
		want               source.Mode
	}{
		{"just started", false, true, 10 * time.Millisecond, source.ModeAwaitPeers},
		{"no peer answers", false, true, 20 * time.Millisecond, source.ModeWatch},
		{"other balancers are the readers", false, false, 50 * time.Millisecond, source.ModeAwaitPeers},
		{"the readers have not sent the state in time", false, false, 70 * time.Millisecond, source.ModeWatch},
		{"transfer in progress", true, true, 250 * time.Millisecond, source.ModeAwaitPeers},
		{"transfer not complete in time", true, true, time.Second, source.ModeWatch},
	}
	for _, c := range cases {
		b := &Balancer{}
		b.fetching.Store(c.fetching)
		b.isReader.Store(c.isReader)
		if got := b.startupReadMode(c.uptime); got != c.want {
			t.Errorf("%s: got mode %s, want %s", c.name, got, c.want)
		}
	}
}
