package emul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeonmoor.example/internal/emul"
)

// A balancer with a faulty link or without processor time gets no answers from live
// servers. It must not consider them dead, because it would reset their open flows.
func TestLocalFaultsResetNoFlows(t *testing.T) {
	const span = 6 * time.Second
	for name, injectFault := range map[string]func(b *emul.Balancer){
		"saturated link":        func(b *emul.Balancer) { b.LimitLink(3_000, span) },
		"slow link":             func(b *emul.Balancer) { b.LimitLink(12_000, span) },
		"slow processor":        func(b *emul.Balancer) { b.StarveProcessor(span) },
		"half of packets lost":  func(b *emul.Balancer) { b.DropOutgoing(0.5, span) },
		"fifth of packets lost": func(b *emul.Balancer) { b.DropOutgoing(0.2, span) },
		"all packets lost":      func(b *emul.Balancer) { b.DropOutgoing(1, span) },
		"freezes and wakes up":  func(b *emul.Balancer) { b.Freeze(900 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				config := emul.TimerServiceConfig(30 + seed)
				config.Classes[0].RequestsPerFlow = 30
				runWithFaults(t, config, 14*time.Second, 0.7, func(d *emul.Deployment, after func(time.Duration, func())) {
					for at := 3 * time.Second; at < 3*time.Second+span; at += span / 4 {
						if name == "freezes and wakes up" || at == 3*time.Second {
							after(at, func() { injectFault(d.Balancers[2]) })
						}
					}
				})
			}
		})
	}
}

// Balancers query their peers before they consider a server dead. This must not delay the
// detection of dead servers, even if ten of 28 fail silently at once: every second one in
// three of the four failure domains.
func TestSilentServersAreDetectedQuickly(t *testing.T) {
	for _, count := range []int{1, 2, 10} {
		synctest.Test(t, func(t *testing.T) {
			config := emul.TimerServiceConfig(40)
			config.Services[0].ServersPerDomain = 6
			d := emul.New(config)
			d.Run(3*time.Second, true)
			for index := range count {
				d.Servers[2*index].Crash(true, time.Hour)
			}
			// undetectedTime is the total time for which balancers with flows on a dead
			// server had not detected the failure.
			var undetectedTime time.Duration
			const step, span = 20 * time.Millisecond, 1500 * time.Millisecond
			detected, undetected := 0, 0
			for range int(span / step) {
				d.Run(step, true)
				detected, undetected = 0, 0
				for index := range count {
					detectedHere, undetectedHere := d.DetectionCounts(d.Servers[2*index])
					detected, undetected = detected+detectedHere, undetected+undetectedHere
				}
				undetectedTime += step * time.Duration(undetected)
			}
			t.Logf("%d silent servers: balancers with open flows detect the failure after %s on average; after %s, %d have detected it and %d have not",
				count, undetectedTime/time.Duration(max(detected+undetected, 1)), span, detected, undetected)
			if detected == 0 || undetected > detected {
				t.Error("less than half of the failures are detected by the time at which callers give up")
			}
		})
	}
}
