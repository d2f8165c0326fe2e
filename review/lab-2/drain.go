package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// drainBound is drain_ms.
	drainBound = 3 * time.Second
	// silenceSpan is how long the store gives some machines no response, and silentMachines their
	// number, a third of all.
	silenceSpan    = 3600 * time.Millisecond
	silentMachines = 2
	// drains is how often leavingTargets of all targets drain. Each time comes with a silence of the
	// store, and with the loss of lostTargets.
	drains         = 8
	allTargets     = 13
	leavingTargets = 2
	lostTargets    = 3
	// lossDelay is the time from the reports of the draining targets to the loss of the others.
	lossDelay = time.Second
	// entryTime is the time after which the store removes the entry of a silent target. It exceeds
	// reuse_after_s, after which the address may go to another target.
	entryTime = 3 * heartbeatInterval
	// heavyRate is 0.9 of what all targets can process, in requests per second.
	heavyRate = 585.0
)

// sixZones are the zones of the machines of a deployment of six.
var sixZones = []string{"east", "west", "north", "east", "west", "north"}

// drain is the draining of some targets.
type drain struct {
	targets []string
	// acknowledged is when the store had accepted the last report.
	acknowledged time.Time
	// silent holds the machines that the store gave no response.
	silent []int
}

// playLateCopy lets targets drain while the store is silent for the two machines that read it, and
// others crash. Without trouble, the store is not silent.
func playLateCopy(o options) (string, error) {
	services := []string{"planning", "journal"}
	d, err := startDeployment(o, configuration(3, services...), sixZones)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return "", err
	}
	if err := d.addTargets("planning", allTargets); err != nil {
		return "", err
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
	var wait, steps sync.WaitGroup
	var drained []drain
	serving := slices.Clone(d.targets)
	for number := range drains {
		var failed error
		steps.Go(func() {
			var next drain
			next, failed = d.loseTargets(number, serving)
			drained = append(drained, next)
		})
		d.load(fmt.Sprintf("heavy-%d", number), heavyRate, 5*time.Second, &wait, add)
		steps.Wait()
		if failed != nil {
			return "", failed
		}
		serving = serving[leavingTargets+lostTargets:]
		if err := d.addTargets("planning", leavingTargets+lostTargets); err != nil {
			return "", err
		}
		serving = append(serving, d.targets[len(d.targets)-leavingTargets-lostTargets:]...)
		d.load(fmt.Sprintf("rest-%d", number), heavyRate, 6*time.Second, &wait, add)
	}
	wait.Wait()
	return judgeDrains(d, attempts, drained), nil
}

// loseTargets lets the first targets drain and the next ones crash. The addresses of those go to
// targets of another service.
func (d *deployment) loseTargets(number int, serving []*target) (drain, error) {
	leaving, lost := serving[:leavingTargets], serving[leavingTargets:leavingTargets+lostTargets]
	next, err := d.drainTargets(leaving, configuration(10+number, "planning", "journal"))
	if err != nil {
		return drain{}, err
	}
	time.Sleep(lossDelay)
	for _, t := range lost {
		t.stop()
		d.record.line("target %s has crashed", t.id)
	}
	time.Sleep(entryTime)
	for _, t := range lost {
		d.store.remove("servers/" + t.id)
		if err := d.startTarget("journal", t.address); err != nil {
			return drain{}, err
		}
	}
	time.Sleep(silenceSpan - lossDelay - entryTime)
	d.store.setSilent(nil)
	for _, t := range leaving {
		d.store.remove("servers/" + t.id)
		t.stop()
	}
	return next, nil
}

// drainTargets makes targets report that they are draining, just after the store has become silent for
// its readers. The readers have learned of another change a moment before.
func (d *deployment) drainTargets(leaving []*target, config string) (drain, error) {
	var readers []int
	for end := time.Now().Add(5 * time.Second); len(readers) != silentMachines; readers = d.store.readers() {
		if time.Now().After(end) {
			return drain{}, fmt.Errorf("the readers of the store are %v", readers)
		}
		time.Sleep(time.Millisecond)
	}
	d.store.put("op/config", config)
	for end := time.Now().Add(time.Second); len(d.store.readers()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // until the answers have arrived
	if d.trouble {
		d.store.setSilent(readers)
		d.record.line("the store is silent for machines %v", readers)
	} else {
		readers = nil
	}
	next := drain{silent: readers}
	for _, t := range leaving {
		t.draining.Store(true)
		t.publish()
		d.record.line("target %s reports that it is draining", t.id)
		next.targets = append(next.targets, t.id)
	}
	next.acknowledged = time.Now()
	return next, nil
}

// judgeDrains returns what broke the rule: requests whose opening packet was sent to a draining target
// later than drainBound after the acknowledgement, through machines that the store did not turn away.
func judgeDrains(d *deployment, attempts []attemptRecord, drained []drain) string {
	outcomes := make(map[string]int)
	for _, a := range attempts {
		outcomes[string(a.result.outcome)]++
	}
	d.record.line("outcomes: %v", outcomes)
	broken, worst := 0, time.Duration(0)
	for _, next := range drained {
		last := time.Duration(0)
		for _, a := range attempts {
			late := a.result.openedAt.Sub(next.acknowledged)
			if a.result.outcome != served || !slices.Contains(next.targets, a.result.target) || slices.Contains(next.silent, slices.Index(d.fleet.machines, a.machine)) {
				continue
			}
			last = max(last, late)
			if late > drainBound {
				broken++
				worst = max(worst, late)
				d.record.line("request %s through %s reached target %s %s after it had reported draining", a.id, a.machine.name, a.result.target, late.Round(time.Millisecond))
			}
		}
		d.record.line("the last request through a machine in touch reached targets %v %s after their reports", next.targets, last.Round(time.Millisecond))
	}
	if broken == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests reached a draining target up to %s after its report (bound %s)", broken, worst.Round(time.Millisecond), drainBound)
}
