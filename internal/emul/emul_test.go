package emul_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeonmoor.example/internal/emul"
)

// runWithFaults runs a deployment under load while faults are injected, and checks that
// there are no violations and that at least the fraction minServed of each class's
// requests is answered. It calls injectFaults before the load begins, 2 s after the start of
// the deployment; injectFaults schedules the faults with after.
func runWithFaults(t *testing.T, config emul.Config, duration time.Duration, minServed float64, injectFaults func(d *emul.Deployment, after func(time.Duration, func()))) {
	synctest.Test(t, func(t *testing.T) {
		d := emul.New(config)
		d.Run(2*time.Second, false)
		injectFaults(d, d.After)
		d.Run(duration, true)
		d.Run(5*time.Second, false)
		checkResults(t, d, minServed)
	})
}

func checkResults(t *testing.T, d *emul.Deployment, minServed float64) {
	for index, violation := range d.Violations {
		if index < 5 {
			t.Error(violation)
		}
	}
	if len(d.Violations) > 5 {
		t.Errorf("and %d more violations", len(d.Violations)-5)
	}
	for name, r := range d.Results {
		served := float64(r.InObjective+r.Late) / float64(r.Requests)
		line := fmt.Sprintf("%s: requests %d, in objective %d, late %d, failed %d, shed %d", name, r.Requests, r.InObjective, r.Late, r.Failed, r.Shed)
		t.Log(line)
		if r.Requests == 0 || served < minServed {
			t.Errorf("%s: served %.3f, want at least %.3f", line, served, minServed)
		}
	}
}

func TestNoFaults(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(1), 20*time.Second, 0.999, func(*emul.Deployment, func(time.Duration, func())) {})
}

func TestRollingBalancerRestart(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(2), 20*time.Second, 0.995, func(d *emul.Deployment, after func(time.Duration, func())) {
		for index, b := range d.Balancers {
			after(time.Duration(index+1)*2*time.Second, func() { b.Restart(4 * time.Second) })
		}
	})
}

// A server whose entry has expired may still be running and have open flows. Balancers
// that start after the expiry do not find the server in the store. They must learn of it
// from their peers, or its flows break.
func TestNewBalancersLearnExpiredServers(t *testing.T) {
	config := emul.TimerServiceConfig(11)
	config.Classes[0].RequestsPerFlow = 30
	runWithFaults(t, config, 14*time.Second, 0.995, func(d *emul.Deployment, after func(time.Duration, func())) {
		for _, s := range d.Servers[:8] {
			after(3*time.Second, s.ExpireEntry)
		}
		for index, b := range d.Balancers {
			after(4*time.Second+time.Duration(index)*time.Second, func() { b.Restart(2 * time.Second) })
		}
		after(18*time.Second, func() {
			if failed := d.Results["listen"].Failed; failed > 0 {
				t.Errorf("%d requests on open flows failed, want none", failed)
			}
		})
	})
}

func TestRollingServerReplacement(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(3), 20*time.Second, 0.995, func(d *emul.Deployment, after func(time.Duration, func())) {
		for index, s := range d.Servers[:6] {
			after(time.Duration(index+1)*2*time.Second, func() {
				d.AddServer("planning", "domain-0")
				s.Drain(4 * time.Second)
			})
		}
	})
}

func TestAllBalancersKilled(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(4), 15*time.Second, 0.95, func(d *emul.Deployment, after func(time.Duration, func())) {
		after(5*time.Second, func() {
			for _, b := range d.Balancers {
				b.Kill()
				after(time.Second, b.Start)
			}
		})
	})
}

func TestBackendServersCrash(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runWithFaults(t, emul.TimerServiceConfig(5), 15*time.Second, 0.98, func(d *emul.Deployment, after func(time.Duration, func())) {
			after(4*time.Second, func() { d.Servers[0].Crash(silent, 3*time.Second) })
			after(7*time.Second, func() { d.Servers[6].Crash(silent, 3*time.Second) })
		})
	}
}

func TestDomainPartition(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(6), 20*time.Second, 0.95, func(d *emul.Deployment, after func(time.Duration, func())) {
		after(4*time.Second, func() { d.Partition(1) })
		after(10*time.Second, d.Heal)
	})
}

func TestBalancersFreeze(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(7), 20*time.Second, 0.95, func(d *emul.Deployment, after func(time.Duration, func())) {
		for index := range 3 {
			after(time.Duration(3+4*index)*time.Second, func() { d.Balancers[2*index].Freeze(4 * time.Second) })
		}
	})
}

func TestChangesDuringStoreOutage(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(8), 25*time.Second, 0.95, func(d *emul.Deployment, after func(time.Duration, func())) {
		after(3*time.Second, func() { d.SetStoreDown(true) })
		after(5*time.Second, func() { d.Servers[0].Crash(false, 3*time.Second) })
		after(6*time.Second, func() { d.Balancers[1].Restart(4 * time.Second) })
		after(7*time.Second, func() { d.Balancers[4].Kill(); after(time.Second, d.Balancers[4].Start) })
		after(12*time.Second, func() { d.SetStoreDown(false) })
	})
}

// The store is unavailable to a different three of the eight balancers in each round, and
// to seven of them in the last one, while the configuration and servers change. Balancers
// without access must get the changes from their peers.
func TestStoreDeniesSomeBalancers(t *testing.T) {
	runWithFaults(t, emul.TimerServiceConfig(12), 30*time.Second, 0.995, func(d *emul.Deployment, after func(time.Duration, func())) {
		for round, count := range []int{3, 3, 3, 7} {
			at := time.Duration(2+6*round) * time.Second
			for offset := range count {
				after(at, func() { d.Balancers[(3*round+offset)%len(d.Balancers)].DenyStoreAccess(6 * time.Second) })
			}
			after(at+time.Second, func() {
				d.PublishConfiguration(nil)
				d.AddServer("planning", "domain-2")
				d.Servers[round].Drain(4 * time.Second)
			})
		}
	})
}

func TestLossyLinks(t *testing.T) {
	config := emul.TimerServiceConfig(9)
	config.LossRate = 0.025
	runWithFaults(t, config, 20*time.Second, 0.97, func(*emul.Deployment, func(time.Duration, func())) {})
}

// A store that was restored from a copy assigns revisions again that balancers have already
// seen. Changes that it has acknowledged must be in force, and must not be reverted.
func TestRestoredStoreKeepsChangesInForce(t *testing.T) {
	for name, age := range map[string]time.Duration{"recent copy": 300 * time.Millisecond, "older copy": 4 * time.Second, "copy of the start": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				runWithFaults(t, emul.TimerServiceConfig(50+seed), 34*time.Second, 0.75, func(d *emul.Deployment, after func(time.Duration, func())) {
					after(2*time.Second, func() { d.PublishConfiguration(map[string]bool{"logbook": true}) })
					after(7800*time.Millisecond, func() { d.PublishConfiguration(nil) })
					after(3*time.Second, func() { d.Servers[0].Drain(4 * time.Second); d.AddServer("planning", "domain-2") })
					after(7*time.Second, func() { d.SetStoreDown(true) })
					after(8*time.Second, func() { d.RestoreStore(age); d.SetStoreDown(false) })
					after(8500*time.Millisecond, func() { d.Balancers[3].Restart(time.Second) })
					after(13*time.Second, func() { d.PublishConfiguration(map[string]bool{"change": true}) })
					after(14*time.Second, func() { d.Servers[1].Drain(4 * time.Second) })
					after(19*time.Second, func() { d.PublishConfiguration(nil) })
					after(22*time.Second, func() { d.RestoreStore(age) })
					after(27*time.Second, func() { d.AddServer("planning", "domain-1"); d.PublishConfiguration(nil) })
				})
			}
		})
	}
}

// The servers of an evacuated domain must get no new flows from 5 s on, beside balancers that are
// killed, restarted or cut off, a second evacuation, and a restored store. When the domain returns
// cold, its servers must not get more than their rate from all balancers together.
func TestEvacuation(t *testing.T) {
	faults := map[string]func(d *emul.Deployment, after func(time.Duration, func())){
		"none": func(*emul.Deployment, func(time.Duration, func())) {},
		"restarted": func(d *emul.Deployment, after func(time.Duration, func())) {
			after(6*time.Second, func() {
				d.Balancers[0].Restart(2 * time.Second)
				d.Balancers[5].Kill()
				after(time.Second, d.Balancers[5].Start)
			})
		},
		"cut": func(d *emul.Deployment, after func(time.Duration, func())) {
			after(time.Second, func() { d.Partition(1) })
			after(18*time.Second, d.Heal)
		},
		"two": func(d *emul.Deployment, after func(time.Duration, func())) {
			after(4*time.Second, func() { d.SetEvacuated(2, true, false) })
			after(16*time.Second, func() { d.SetEvacuated(2, false, true) })
		},
		"lost": func(d *emul.Deployment, after func(time.Duration, func())) {
			after(4*time.Second, func() { d.RestoreStore(3 * time.Second) })
		},
		"held": func(d *emul.Deployment, after func(time.Duration, func())) {
			after(16*time.Second, func() { d.RestoreStore(3 * time.Second) })
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			config := emul.TimerServiceConfig(31)
			for index := range config.Services {
				config.Services[index].ColdRate, config.Services[index].ColdStart = 4, 2*time.Second
			}
			runWithFaults(t, config, 26*time.Second, 0.9, func(d *emul.Deployment, after func(time.Duration, func())) {
				after(2*time.Second, func() { d.SetEvacuated(1, true, false) })
				after(14*time.Second, func() { d.SetEvacuated(1, false, true) })
				inject(d, after)
			})
		})
	}
}

func TestDroppedRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := emul.New(emul.TimerServiceConfig(10))
		d.Run(5*time.Second, true)
		d.PublishConfiguration(map[string]bool{"logbook": true})
		d.Run(10*time.Second, true)
		if len(d.Violations) > 0 {
			t.Error(d.Violations[0])
		}
		if r := d.Results["logbook"]; r.Failed < r.Requests/2 {
			t.Errorf("%d of %d requests of a dropped route failed, want at least half", r.Failed, r.Requests)
		}
	})
}

// faultSequence is a sequence of faults for injectFault, each followed by a pause under
// load.
type faultSequence struct {
	seed     uint64
	lossRate float64
	// coldRate is the rate of cold servers in requests per second, 0 for no limit.
	coldRate float64
	learn    bool
	faults   []string
	// gapsMS are the pauses after the faults, in milliseconds.
	gapsMS []int
	// target selects the balancer, server or domain of the first fault. Each later fault
	// uses the next one.
	target int
}

// run applies the faults to a deployment and returns the violations.
func (s faultSequence) run(t *testing.T) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		config := emul.TimerServiceConfig(s.seed)
		config.LossRate = s.lossRate
		config.LearnServers = s.learn
		for index := range config.Services {
			config.Services[index].ColdRate, config.Services[index].ColdStart = s.coldRate, 2*time.Second
		}
		for index := range config.Classes {
			config.Classes[index].RequestRate /= 4
		}
		d := emul.New(config)
		d.Run(2*time.Second, false)
		for index, fault := range s.faults {
			injectFault(d, fault, s.target+index)
			d.Run(time.Duration(s.gapsMS[index])*time.Millisecond, true)
		}
		// Longer than the stable window, so that the propagation limits apply at the end.
		d.Run(5*time.Second, true)
		violations = d.Violations
	})
	return violations
}

// TestRegressions runs fault sequences that have caused violations before.
func TestRegressions(t *testing.T) {
	sequences := map[string]faultSequence{
		// A balancer recorded a flow by its first packet, and the flow was then opened with
		// another server through another balancer. When the recorded server died, the
		// first balancer reset the flow.
		"reset of a flow that has moved": {seed: 0x87, faults: []string{"dark", "drop", "restart", "kill", "kill", "kill"}, gapsMS: []int{29, 0, 1507, 0, 76, 103}},
		// A reset that was sent during a partition arrived after the partition had healed.
		// It must not count as a violation.
		"reset after a cut": {faults: []string{"configure", "crash", "kill", "cut", "heal", "add", "cut", "kill"}, gapsMS: []int{5, 1922, 14, 2340, 1728, 201, 169, 5}, target: 6},
		// The store went down right after it had published that the server was draining,
		// before all balancers had read that. A new flow to the server must not count as a
		// violation then.
		"drain before the store is down": {faults: []string{"add", "heal", "kill", "kill", "kill", "drain", "down", "heal"}, gapsMS: []int{0, 7, 3, 3, 2131, 12, 696, 5}},
		// Two versions within a millisecond, of which the reader sees only the second one. A
		// balancer that has the first one rejects the reader's delta and requests the full state.
		"version that the reader has missed": {seed: 2, faults: []string{"drop", "configure", "restart", "add", "drop", "freeze"}, gapsMS: []int{26, 1, 174, 6, 13, 2302}, target: 3},
	}
	for name, sequence := range sequences {
		if violations := sequence.run(t); len(violations) > 0 {
			t.Errorf("%s: %s", name, violations[0])
		}
	}
}

// Under any sequence of faults, no flow of a live server is reset, no service receives the
// flows of another, no configuration version decreases, and no new flow reaches a server that
// has left, an evacuated domain or a route that was dropped. Cold servers get no more new flows
// than their rate allows.
func TestPropertyGuarantees(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		lossRate := rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(r, "loss")
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"kill", "restart", "freeze", "crash", "dark", "drain", "add", "cut", "heal", "down", "up", "drop", "configure", "refuse", "restore", "evacuate", "return", "return cold", "hang", "slow"}), 1, 8).Draw(r, "steps")
		gapsMS := rapid.SliceOfN(rapid.IntRange(0, 2500), len(faults), len(faults)).Draw(r, "gaps")
		target := rapid.IntRange(0, 7).Draw(r, "target")
		coldRate := rapid.SampledFrom([]float64{0, 0, 1, 6}).Draw(r, "cold rate")
		learn := rapid.Bool().Draw(r, "learn")
		violations := faultSequence{seed: seed, lossRate: lossRate, coldRate: coldRate, learn: learn, faults: faults, gapsMS: gapsMS, target: target}.run(t)
		if len(violations) > 0 {
			r.Fatalf("%v after %v, cold rate %v, learn %v: %s", faults, gapsMS, coldRate, learn, violations[0])
		}
	})
}

// injectFault applies the named fault to the balancer, server or domain that target
// selects.
func injectFault(d *emul.Deployment, fault string, target int) {
	balancer := d.Balancers[target%len(d.Balancers)]
	server := d.Servers[target%len(d.Servers)]
	switch fault {
	case "kill":
		balancer.Kill()
		d.After(time.Second, balancer.Start)
	case "restart":
		balancer.Restart(4 * time.Second)
	case "freeze":
		balancer.Freeze(3 * time.Second)
	case "crash", "dark":
		server.Crash(fault == "dark", 3*time.Second)
	case "drain":
		server.Drain(4 * time.Second)
	case "add":
		d.AddServer("planning", "domain-1")
	case "cut":
		d.Partition(target % 4)
	case "heal":
		d.Heal()
	case "down", "up":
		d.SetStoreDown(fault == "down")
	case "refuse":
		// Three of the eight balancers, which may include readers.
		for offset := range 3 {
			d.Balancers[(target+offset)%len(d.Balancers)].DenyStoreAccess(6 * time.Second)
		}
	case "hang":
		server.SetFault(0.6, 1)
	case "slow":
		server.SetFault(0, 6)
	case "evacuate":
		d.SetEvacuated(target%4, true, false)
	case "return", "return cold":
		for domain := range 4 {
			d.SetEvacuated(domain, false, fault == "return cold")
		}
	case "restore":
		d.RestoreStore(time.Duration(target) * time.Second)
	case "drop":
		d.PublishConfiguration(map[string]bool{"change": true})
	case "configure":
		d.PublishConfiguration(nil)
	}
}
