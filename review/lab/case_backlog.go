package main

// Both balancers that read the store are killed while configurations come in quick succession. All
// others then have to read what has changed since, which is more than 8 MiB.

import (
	"context"
	"errors"
	"time"
)

const (
	// extraRoutes are the routes that see no traffic: 8, and those of two changes of the kind
	// big_config, of up to 1,780 routes each.
	extraRoutes = 2600
	// stormSpan and stormGap are those of the storm on trouble-1 of hanji-coop.toml.
	stormSpan = 2 * time.Second
	stormGap  = 80 * time.Millisecond
	// The bounds of the small deployments.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
)

func playBacklog(ctx context.Context, w *world, trouble bool) (int, error) {
	planningRoute, dropped := w.addRoute(planning), w.addRoute(planning)
	for range extraRoutes {
		w.addRoute(journal)
	}
	w.publish()
	if err := w.addTargets(); err != nil {
		return 0, err
	}
	pause(ctx, time.Second)
	if err := w.startBalancers(ctx); err != nil {
		return 0, err
	}
	for _, c := range w.clients {
		go func() { w.traffic(ctx, c, planningRoute, 15, 0) }()
		go func() { w.traffic(ctx, c, dropped, 2, 0) }()
	}
	pause(ctx, 8*time.Second)
	var killed []*balancer
	for _, b := range w.balancers {
		if b.isReader() {
			killed = append(killed, b)
		}
	}
	if len(killed) != 2 {
		return 0, errors.New("there are not two readers")
	}
	if trouble {
		for _, b := range killed {
			w.recordf("trouble: %s is killed", b.name)
			b.kill()
		}
	}
	w.recordf("operator: configurations in quick succession begin")
	ticker := time.NewTicker(stormGap)
	defer ticker.Stop()
	for end := time.Now().Add(stormSpan); time.Now().Before(end); <-ticker.C {
		w.publish()
	}
	w.recordf("operator: configurations in quick succession end")
	if trouble {
		for _, b := range killed {
			w.recordf("platform: %s is started again", b.name)
			if err := b.start(); err != nil {
				return 0, err
			}
		}
	}
	pause(ctx, 4*time.Second)
	w.dropRoute(dropped)
	w.publish()
	leaving := w.targets[0]
	leaving.drain()
	w.recordf("target %s is draining, acknowledged", leaving.id)
	pause(ctx, 16*time.Second)
	largest, gone := w.store.answers()
	w.recordf("store: the largest answer to a watch had %d bytes; %d answers were 410", largest, gone)
	return judgeDrain(w) + judgeDropped(w), nil
}

// judgeDrain counts the requests that break DRAIN: their first packets reached a target later than
// drain_ms after the acknowledgement that it is draining, through a balancer in touch.
func judgeDrain(w *world) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	broken := 0
	for _, r := range w.runs {
		acknowledged := r.target.drainAcknowledged
		b := w.balancerAt(r.opening.balancer)
		if acknowledged.IsZero() || b == nil || r.opening.at.Sub(acknowledged) <= drainBound || !r.inTouch {
			continue
		}
		broken++
		w.recordLocked("DRAIN broken: %s reached %s %.1f s after the acknowledgement, through %s", r.attempt, r.target.id, r.opening.at.Sub(acknowledged).Seconds(), b.name)
	}
	return broken
}

// judgeDropped counts the requests that break CONFIG: they were sent later than config_apply_ms after
// the acknowledgement of the version that drops their route, and run, through a balancer in touch.
func judgeDropped(w *world) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	broken := 0
	for _, r := range w.runs {
		sent := w.sent[r.attempt]
		for _, route := range w.routes {
			if route.address != r.route || route.dropped.IsZero() || sent.at.Sub(route.dropped) <= configBound || !r.inTouch {
				continue
			}
			broken++
			w.recordLocked("CONFIG broken: %s was sent %.1f s after its route was dropped, and run", r.attempt, sent.at.Sub(route.dropped).Seconds())
		}
	}
	return broken
}
