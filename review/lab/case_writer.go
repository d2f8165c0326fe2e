package main

// Another writer overwrites the entries of targets. Fields are missing from what it writes, or are of
// another type, so that it names no target to use. The targets write their own entries again with
// their next heartbeats.

import (
	"context"
	"fmt"
	"time"
)

func playWriter(ctx context.Context, w *world, trouble bool) (int, error) {
	planningRoute, journalRoute := w.addRoute(planning), w.addRoute(journal)
	for range 8 {
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
		go func() { w.traffic(ctx, c, planningRoute, 20, 0) }()
		go func() { w.traffic(ctx, c, journalRoute, 5, 0) }()
		go func() { w.traffic(ctx, c, planningRoute, 4, 5*time.Second) }()
	}
	pause(ctx, 5*time.Second)
	leaving := w.firstTarget(planning)
	leaving.drain()
	w.recordf("target %s is draining, acknowledged", leaving.id)
	pause(ctx, 5*time.Second)
	steady := w.targets[1]
	for range 4 {
		if trouble {
			// Fields are missing: version, cold_remaining_ms, sequence and born. The service is
			// not that of the target.
			other := w.firstTarget(journal)
			w.writeOver(other, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"capacity":2,"state":"ready"}`, planning, other.address, other.zone))
			// Fields are of another type: version and sequence. The state is not that of the
			// target.
			w.writeOver(leaving, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":1,"capacity":2,"state":"ready","cold_remaining_ms":0,"sequence":"4","born":%d}`, planning, leaving.address, leaving.zone, leaving.born))
			// Fields are missing: version, cold_remaining_ms and sequence. The start is not that
			// of the target.
			w.writeOver(steady, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"capacity":2,"state":"ready","born":%d}`, planning, steady.address, steady.zone, time.Now().UnixMilli()))
		}
		pause(ctx, 3*time.Second)
	}
	return judgeRoute(w) + judgeDrain(w) + judgeFlow(w), nil
}

// writeOver writes what another writer says under a target's key.
func (w *world) writeOver(t *target, value string) {
	w.store.put(t.key(), []byte(value))
	w.recordf("trouble: another writer writes %s: %s", t.key(), value)
}

// firstTarget returns the first target of a service.
func (w *world) firstTarget(service string) *target {
	for _, t := range w.targets {
		if t.service == service {
			return t
		}
	}
	return nil
}

// judgeRoute counts the requests that break ROUTE: they were run by a service to which no
// configuration allows them to go.
func judgeRoute(w *world) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	broken := 0
	for _, r := range w.runs {
		for _, route := range w.routes {
			if route.address == r.route && route.service != r.target.service {
				broken++
				w.recordLocked("ROUTE broken: %s to %s, a route of %s, was run by %s of %s", r.attempt, r.route, route.service, r.target.id, r.target.service)
			}
		}
	}
	return broken
}

// judgeFlow counts the open flows that break FLOW: their clients got resets that their targets, which
// live, did not send.
func judgeFlow(w *world) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	broken := 0
	for _, c := range w.cuts {
		if c.target != nil && c.byBalancer {
			broken++
			w.recordLocked("FLOW broken: the flow of %s was reset by a balancer while its target %s lives", c.end, c.target.id)
		}
	}
	return broken
}
