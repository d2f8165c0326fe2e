package owned_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
)

// step is one thing that happens to the fleet.
type step struct {
	Kind   string
	Node   int
	Domain int
	Server int
	Wait   time.Duration
}

// world is a bench with what the properties compare it with.
type world struct {
	bench     *model.Bench
	fleet     model.FleetConfig
	documents config.Documents
	added     int
	versions  map[*model.Node]config.Version
	leaving   map[string]time.Time
	faults    []string
}

var (
	plannedKinds = []string{"replace", "drain", "add server", "reweight", "open", "wait"}
	faultKinds   = []string{"kill", "freeze", "cut", "platform down", "restart"}
)

const (
	worldFlows = 150
	// leaveSpan is within which a leaving backend server stops getting new flows.
	leaveSpan = 3 * time.Second
	// recovery is the time between two faults in a world where nothing may break.
	recovery = 8 * time.Second
)

func drawSteps(rt *rapid.T, kinds []string) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Node:   rapid.IntRange(0, 7).Draw(rt, "node"),
			Domain: rapid.IntRange(0, 3).Draw(rt, "domain"),
			Server: rapid.IntRange(0, 14).Draw(rt, "server"),
			Wait:   time.Duration(rapid.IntRange(0, 3000).Draw(rt, "wait")) * time.Millisecond,
		}
	}), 1, 8).Draw(rt, "steps")
}

// play runs steps in a bubble of its own and returns what was broken.
func play(t *testing.T, seed uint64, loss float64, steps []step, gap time.Duration, always func(w *world) string) (fault string) {
	synctest.Test(t, func(t *testing.T) {
		fleet := model.TimerFleet()
		b, err := model.New(model.Config{
			Seed:                  seed,
			Instances:             fleet.Instances(),
			Documents:             fleet.Documents(),
			Delay:                 hopDelay,
			Loss:                  loss,
			ControlBytesPerSecond: controlBytes,
			Log:                   logr.Discard(),
		})
		if err != nil {
			t.Fatal(err)
		}
		w := &world{
			bench:     b,
			fleet:     fleet,
			documents: fleet.Documents(),
			versions:  make(map[*model.Node]config.Version),
			leaving:   make(map[string]time.Time),
		}
		b.Run(5 * time.Second)
		w.open(worldFlows)
		for _, next := range steps {
			w.take(next)
			b.Run(next.Wait)
			w.check()
			if gap > 0 {
				b.Run(gap)
			}
		}
		b.Heal()
		b.PlatformDown = false
		b.Run(15 * time.Second)
		b.Callers.Ask()
		b.Run(40 * time.Second)
		w.check()
		for _, found := range w.faults {
			fault = found
		}
		if fault == "" {
			fault = always(w)
		}
	})
	return fault
}

func (w *world) open(count int) {
	line := model.Line{Service: w.documents.Services[0], Talk: 4 * time.Second}
	w.bench.Callers.StartMany(count, time.Second, line)
	line.Service = w.documents.Services[1]
	line.Talk = 0
	w.bench.Callers.StartMany(count/4, time.Second, line)
	short := model.Line{Service: w.documents.Services[0], Life: 2 * time.Second, Talk: time.Second}
	w.bench.Callers.StartMany(count/4, time.Second, short)
	w.bench.Run(1500 * time.Millisecond)
}

// take does one step. Node and server numbers wrap around.
func (w *world) take(next step) {
	b := w.bench
	node := b.Nodes[next.Node%len(b.Nodes)]
	domain := fmt.Sprintf("domain-%d", next.Domain+1)
	switch next.Kind {
	case "replace":
		b.Add(w.fleet.Instance(8 + w.added))
		w.added++
		b.Run(3 * time.Second)
		b.Leave(node)
		b.Run(5 * time.Second)
	case "drain", "add server", "reweight":
		w.publish(next)
	case "open":
		w.open(worldFlows / 3)
	case "kill":
		b.Kill(node)
	case "restart":
		b.Kill(node)
		b.Run(next.Wait)
		b.Start(node)
	case "freeze":
		b.Freeze(node)
		b.Run(2 * next.Wait)
		b.Thaw(node)
	case "cut":
		for other := range 4 {
			if other != next.Domain {
				b.Cut(domain, fmt.Sprintf("domain-%d", other+1))
			}
		}
		b.Run(2 * next.Wait)
		b.Heal()
	case "platform down":
		b.PlatformDown = true
		b.Run(next.Wait)
		b.PlatformDown = false
	}
}

// publish changes one backend server of the first service. Its documents are
// copied, as the bench still refers to the ones before.
func (w *world) publish(next step) {
	service := w.documents.Services[0]
	service.Backends = append([]config.Backend(nil), service.Backends...)
	backend := &service.Backends[next.Server%len(service.Backends)]
	switch next.Kind {
	case "drain":
		backend.State = config.Leaving
		if _, known := w.leaving[backend.Name]; !known && !w.bench.PlatformDown {
			w.leaving[backend.Name] = time.Now().Add(leaveSpan)
		}
	case "reweight":
		backend.Weight = 20 + backend.Weight%150
	case "add server":
		service.Backends = append(service.Backends, w.fleet.Backend(service.Name, 0, 50+w.added))
		w.added++
	}
	w.documents.Services = append([]config.Service{service}, w.documents.Services[1:]...)
	if err := w.bench.Publish(w.documents); err != nil {
		w.faults = append(w.faults, err.Error())
	}
}

// check compares versions with those seen before.
func (w *world) check() {
	for _, node := range w.bench.Nodes {
		compiled := node.Core.Compiled()
		if compiled == nil {
			continue
		}
		if before := w.versions[node]; compiled.Version < before && node.Lives() == 1 {
			w.faults = append(w.faults, fmt.Sprintf("%s fell from version %d to %d", node.Instance.Name, before, compiled.Version))
		}
		w.versions[node] = compiled.Version
	}
}

// safe returns what must never happen, whatever fails.
func safe(w *world) string {
	c := w.bench.Callers
	if c.Misrouted+c.Doubled+c.WrongAnswers+c.RefusedAfterForward > 0 {
		return fmt.Sprintf("misrouted %d, doubled %d, wrong answers %d, untrue refusals %d", c.Misrouted, c.Doubled, c.WrongAnswers, c.RefusedAfterForward)
	}
	return ""
}

// whole returns what must not happen as long as faults come one by one.
func whole(w *world) string {
	c := w.bench.Callers
	if c.Broken+c.TwoServed+c.Unanswered+c.Waiting() > 0 {
		return fmt.Sprintf("broken %d %v, seen by two %d, never opened %d, waiting %v", c.Broken, c.BrokenWhy, c.TwoServed, c.Unanswered, c.WaitingFlows())
	}
	for name, since := range w.leaving {
		if count := w.bench.NewSince(name, since); count > 0 {
			return fmt.Sprintf("%s is leaving and got %d new flows", name, count)
		}
	}
	return safe(w)
}

// TestPropertyPlannedChanges: planned changes, however close together, break
// nothing.
func TestPropertyPlannedChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := drawSteps(rt, plannedKinds)
		if fault := play(t, seed, 0, steps, 0, whole); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestPropertySingleFaults: a fault at a time, among planned changes, breaks
// nothing.
func TestPropertySingleFaults(t *testing.T) {
	t.Parallel()
	kinds := append(append([]string{}, plannedKinds...), "kill", "platform down", "restart")
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := drawSteps(rt, kinds)
		if fault := play(t, seed, 0, limitKills(steps), recovery, whole); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// limitKills keeps enough balancers alive to speak of a fleet.
func limitKills(steps []step) []step {
	kills := 0
	var kept []step
	for _, next := range steps {
		if next.Kind == "kill" {
			kills++
			if kills > 3 {
				continue
			}
		}
		kept = append(kept, next)
	}
	return kept
}

// TestPropertyAnyFaults: whatever fails, together and on a lossy network, nothing
// is run twice, reaches another service or is refused untruly.
func TestPropertyAnyFaults(t *testing.T) {
	t.Parallel()
	kinds := append(append([]string{}, plannedKinds...), faultKinds...)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := limitKills(drawSteps(rt, kinds))
		if fault := play(t, seed, 0.02, steps, 0, safe); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestRunsRepeat: a run depends on its seed and steps alone, so that a seed that
// finds a fault finds it again.
func TestRunsRepeat(t *testing.T) {
	steps := []step{
		{Kind: "drain", Server: 3, Wait: time.Second},
		{Kind: "kill", Node: 2, Wait: 3 * time.Second},
		{Kind: "freeze", Node: 4, Wait: 2 * time.Second},
		{Kind: "replace", Node: 1, Wait: time.Second},
	}
	var first string
	for range 3 {
		var seen string
		play(t, 77, 0.02, steps, 0, func(w *world) string {
			c := w.bench.Callers
			seen = fmt.Sprint(w.bench.ControlBytes(), c.Answered, c.Broken, c.TwoServed)
			for _, node := range w.bench.Nodes {
				seen += fmt.Sprint(" ", node.Core.Counters.Values())
			}
			return ""
		})
		if first == "" {
			first = seen
		}
		if seen != first {
			t.Fatalf("two runs differ:\n%s\n%s", first, seen)
		}
	}
}
