package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// rollbackSlack is rollback_slack_ms.
	rollbackSlack = 250 * time.Millisecond
	// usualRate is 0.85 of what the targets of a service can process, in requests per second, and
	// burstFactor what a burst multiplies it by.
	usualRate   = 170.0
	burstFactor = 1.7
)

// attemptRecord is an attempt through a machine.
type attemptRecord struct {
	id      string
	machine *machine
	result  result
}

// load sends requests to the first route at a rate for a time, through all machines in turn. The
// attempts are added to the list as they end.
func (d *deployment) load(label string, perSecond float64, span time.Duration, wait *sync.WaitGroup, add func(attemptRecord)) {
	interval := time.Duration(float64(time.Second) / perSecond)
	start := time.Now()
	for number := 0; time.Since(start) < span; number++ {
		m := d.fleet.machines[number%len(d.fleet.machines)]
		id := fmt.Sprintf("%s-%d", label, number)
		wait.Go(func() {
			add(attemptRecord{id, m, d.client.attempt(id, routeAddress(0), m.traffic, requestDeadline)})
		})
		time.Sleep(time.Until(start.Add(time.Duration(number+1) * interval)))
	}
}

const (
	// moves is how often the route is moved. Each move comes in a burst.
	moves = 8
	// moveMargin is how long before the next move a request must be sent for its service to be
	// judged: those that are on the way then may be handled by either version.
	moveMargin = 100 * time.Millisecond
)

// move is a configuration that moves the route to a service.
type move struct {
	service string
	// from is when the configuration was acknowledged, until is moveMargin before the next one was
	// written.
	from, until time.Time
}

// playMovedRoute moves a route between two services by new configurations, each during a burst of
// requests. Without trouble, the route stays where it is.
func playMovedRoute(o options) (string, error) {
	services := []string{"planning", "standby"}
	d, err := startDeployment(o, configurationOf(3, services, services[:1]), fourZones)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return "", err
	}
	for _, service := range services {
		if err := d.addTargets(service, 4); err != nil {
			return "", err
		}
	}
	if err := d.fleet.awaitRotation(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second) // stable_window_ms is over for all machines
	var mutex sync.Mutex
	var attempts []attemptRecord
	add := func(a attemptRecord) {
		mutex.Lock()
		defer mutex.Unlock()
		attempts = append(attempts, a)
	}
	var wait sync.WaitGroup
	var moved []move
	for number := range moves {
		d.load(fmt.Sprintf("usual-%d", number), usualRate, 4*time.Second, &wait, add)
		if o.trouble {
			wait.Go(func() {
				time.Sleep(2 * time.Second)
				service := services[(number+1)%2]
				config := configurationOf(7+2*number, services, []string{service})
				before := time.Now()
				d.store.put("op/config", config)
				o.record.line("the operator has written op/config: %s", config)
				if number > 0 {
					moved[number-1].until = before.Add(-moveMargin)
				}
				moved = append(moved, move{service, time.Now(), before.Add(time.Hour)})
			})
		}
		d.load(fmt.Sprintf("burst-%d", number), usualRate*burstFactor, 3*time.Second, &wait, add)
	}
	d.load("after", usualRate, 3*time.Second, &wait, add)
	wait.Wait()
	return judgeMoves(d, attempts, moved), nil
}

// judgeMoves returns what broke the rule: requests that the other service has run although their
// opening packets were sent through a machine more than rollbackSlack after the route's service had
// taken one through it.
func judgeMoves(d *deployment, attempts []attemptRecord, moved []move) string {
	outcomes := make(map[string]int)
	for _, a := range attempts {
		outcomes[string(a.result.outcome)+" "+a.result.service]++
	}
	d.record.line("outcomes: %v", outcomes)
	broken, worst := 0, time.Duration(0)
	for _, mv := range moved {
		seen := make(map[*machine]time.Time)
		for _, a := range attempts {
			first, ok := seen[a.machine]
			inForce := a.result.service == mv.service && a.result.openedAt.After(mv.from) && a.result.openedAt.Before(mv.until)
			if inForce && (!ok || a.result.acceptedAt.Before(first)) {
				seen[a.machine] = a.result.acceptedAt
			}
		}
		for _, a := range attempts {
			first, ok := seen[a.machine]
			if !ok || a.result.outcome != served || a.result.service == mv.service || !a.result.openedAt.Before(mv.until) {
				continue
			}
			if late := a.result.openedAt.Sub(first); late > rollbackSlack {
				broken++
				worst = max(worst, late)
				d.record.line("request %s through %s was run by service %s; its opening packet was sent %s after service %s had taken one through the same machine",
					a.id, a.machine.name, a.result.service, late.Round(time.Millisecond), mv.service)
			}
		}
	}
	if broken == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests were run by the old service, sent up to %s after the new one had taken one through the same machine (bound %s)",
		broken, worst.Round(time.Millisecond), rollbackSlack)
}
