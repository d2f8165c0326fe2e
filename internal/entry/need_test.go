package entry

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/source"
)

// A balancer that starts in a fleet that runs is fed by its peers and calls nobody. One
// that is alone reads the platform soon, and so do the first of a fleet that starts.
func TestFirstNeed(t *testing.T) {
	cases := []struct {
		name        string
		fed, reader bool
		uptime      time.Duration
		want        source.Mode
	}{
		{"just started", false, true, 10 * time.Millisecond, source.ModeAwaitPeers},
		{"nobody answers", false, true, 20 * time.Millisecond, source.ModeWatch},
		{"others are to read", false, false, 50 * time.Millisecond, source.ModeAwaitPeers},
		{"others have not read", false, false, 70 * time.Millisecond, source.ModeWatch},
		{"a peer sends its view", true, true, 250 * time.Millisecond, source.ModeAwaitPeers},
		{"a peer has not sent it", true, true, time.Second, source.ModeWatch},
	}
	for _, c := range cases {
		e := &Entry{}
		e.fed.Store(c.fed)
		e.reader.Store(c.reader)
		if got := e.firstNeed(c.uptime); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
