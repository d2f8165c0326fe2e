package emul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeonmoor.example/internal/emul"
)

// playFault plays a deployment whose first servers have a fault from second 6 to 14 of 18, and
// returns the sum of all classes' results.
func playFault(t *testing.T, seed uint64, learn bool, lostShare, slowness float64) (sum emul.Result) {
	synctest.Test(t, func(t *testing.T) {
		config := emul.TimerServiceConfig(seed)
		config.LearnServers = learn
		config.Classes[0].RequestsPerFlow = 3
		d := emul.New(config)
		set := func(lostShare, slowness float64) {
			for _, s := range d.Servers[:3] {
				s.SetFault(lostShare, slowness)
			}
		}
		d.After(6*time.Second, func() { set(lostShare, slowness) })
		d.After(14*time.Second, func() { set(0, 1) })
		d.Run(18*time.Second, true)
		d.Run(6*time.Second, false)
		for _, violation := range d.Violations {
			t.Error(violation)
		}
		for _, r := range d.Results {
			sum.Requests += r.Requests
			sum.InObjective += r.InObjective
			sum.Late += r.Late
			sum.Failed += r.Failed
		}
	})
	return sum
}

// Three of twenty servers lose requests or are slow for 8 s, while their health checks succeed. What
// callers lose beyond a day without the fault must at least halve if balancers learn, and no open
// flow of a live server may be reset.
func TestLearningHelpsCallers(t *testing.T) {
	cases := []struct {
		name                string
		lostShare, slowness float64
	}{
		{"hang", 1, 1},
		{"lose two of five requests", 0.4, 1},
		{"six times as slow", 0, 6},
	}
	for _, c := range cases {
		var missed [2]int
		for index, learn := range []bool{false, true} {
			for seed := range uint64(2) {
				faulty := playFault(t, 70+seed, learn, c.lostShare, c.slowness)
				usual := playFault(t, 70+seed, learn, 0, 1)
				missed[index] += faulty.Requests - faulty.InObjective - (usual.Requests - usual.InObjective)
			}
		}
		t.Logf("%s: %d requests miss their objective without learning, %d with it", c.name, missed[0], missed[1])
		if 2*missed[1] > missed[0] {
			t.Errorf("%s: %d requests miss their objective without learning, %d with it", c.name, missed[0], missed[1])
		}
	}
}
