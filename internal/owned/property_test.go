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

// step is one change of the fleet or one fault. Which fields are used depends on Kind.
type step struct {
	Kind   string
	Node   int
	Domain int
	Server int
	Wait   time.Duration
}

// simulation is a simulated fleet and the state that the properties check it against.
type simulation struct {
	bench     *model.Simulation
	fleet     model.FleetConfig
	documents config.Documents
	// addedCount is the number of balancers and backend servers added so far.
	addedCount int
	// versions holds the last seen configuration version of each balancer.
	versions map[*model.Node]config.Version
	// noNewFlowsAfter holds, for each leaving backend server, when it must no longer get
	// new flows.
	noNewFlowsAfter map[string]time.Time
	violations      []string
}

var (
	plannedKinds = []string{"replace", "drain", "add server", "reweight", "open", "wait"}
	faultKinds   = []string{"kill", "freeze", "cut", "platform down", "restart"}
)

const (
	simulatedFlows = 150
	// drainPropagationLimit is the time within which a leaving backend server must stop
	// getting new flows.
	drainPropagationLimit = 3 * time.Second
	// recoveryGap is the time between two steps if every fault must be recovered from.
	recoveryGap = 8 * time.Second
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

// simulate runs steps on a fleet in a synctest bubble, with a gap after each, and returns a
// violated property, or an empty string if there is none.
func simulate(t *testing.T, seed uint64, loss float64, steps []step, gap time.Duration, finalCheck func(sim *simulation) string) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		fleet := model.HorodisFleet()
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
		sim := &simulation{
			bench:           b,
			fleet:           fleet,
			documents:       fleet.Documents(),
			versions:        make(map[*model.Node]config.Version),
			noNewFlowsAfter: make(map[string]time.Time),
		}
		b.Run(5 * time.Second)
		sim.open(simulatedFlows)
		for _, next := range steps {
			sim.apply(next)
			b.Run(next.Wait)
			sim.checkVersions()
			if gap > 0 {
				b.Run(gap)
			}
		}
		b.Heal()
		b.PlatformDown = false
		b.Run(15 * time.Second)
		b.Callers.RequestAll()
		b.Run(40 * time.Second)
		sim.checkVersions()
		for _, found := range sim.violations {
			violation = found
		}
		if violation == "" {
			violation = finalCheck(sim)
		}
	})
	return violation
}

// open starts count long flows to the first service, and a quarter as many idle flows to
// the second and short flows to the first.
func (sim *simulation) open(count int) {
	line := model.FlowConfig{Service: sim.documents.Services[0], RequestInterval: 4 * time.Second}
	sim.bench.Callers.StartFlows(count, time.Second, line)
	line.Service = sim.documents.Services[1]
	line.RequestInterval = 0
	sim.bench.Callers.StartFlows(count/4, time.Second, line)
	short := model.FlowConfig{Service: sim.documents.Services[0], Lifetime: 2 * time.Second, RequestInterval: time.Second}
	sim.bench.Callers.StartFlows(count/4, time.Second, short)
	sim.bench.Run(1500 * time.Millisecond)
}

// apply applies a step. Node and server numbers wrap around.
func (sim *simulation) apply(next step) {
	b := sim.bench
	node := b.Nodes[next.Node%len(b.Nodes)]
	domain := fmt.Sprintf("domain-%d", next.Domain+1)
	switch next.Kind {
	case "replace":
		b.Add(sim.fleet.Instance(8 + sim.addedCount))
		sim.addedCount++
		b.Run(3 * time.Second)
		b.Leave(node)
		b.Run(5 * time.Second)
	case "drain", "add server", "reweight":
		sim.publish(next)
	case "open":
		sim.open(simulatedFlows / 3)
	case "kill":
		b.Kill(node)
	case "restart":
		b.Kill(node)
		b.Run(next.Wait)
		b.Start(node)
	case "freeze":
		b.Pause(node)
		b.Run(2 * next.Wait)
		b.Resume(node)
	case "cut":
		for other := range 4 {
			if other != next.Domain {
				b.Partition(domain, fmt.Sprintf("domain-%d", other+1))
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

// publish changes or adds one backend server of the first service. It changes copies,
// because the fleet still refers to the previous documents.
func (sim *simulation) publish(next step) {
	service := sim.documents.Services[0]
	service.Backends = append([]config.Backend(nil), service.Backends...)
	backend := &service.Backends[next.Server%len(service.Backends)]
	switch next.Kind {
	case "drain":
		backend.State = config.Leaving
		if _, known := sim.noNewFlowsAfter[backend.Name]; !known && !sim.bench.PlatformDown {
			sim.noNewFlowsAfter[backend.Name] = time.Now().Add(drainPropagationLimit)
		}
	case "reweight":
		backend.Weight = 20 + backend.Weight%150
	case "add server":
		service.Backends = append(service.Backends, sim.fleet.Backend(service.Name, 0, 50+sim.addedCount))
		sim.addedCount++
	}
	sim.documents.Services = append([]config.Service{service}, sim.documents.Services[1:]...)
	if err := sim.bench.Publish(sim.documents); err != nil {
		sim.violations = append(sim.violations, err.Error())
	}
}

// checkVersions checks that no balancer returned to an older configuration.
func (sim *simulation) checkVersions() {
	for _, node := range sim.bench.Nodes {
		compiled := node.Core.Compiled()
		if compiled == nil {
			continue
		}
		if before := sim.versions[node]; compiled.Version < before && node.Starts() == 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s returned from configuration version %d to %d", node.Instance.Name, before, compiled.Version))
		}
		sim.versions[node] = compiled.Version
	}
}

// safetyViolation describes a violation of the properties that hold under all faults. It
// returns an empty string if there is none.
func safetyViolation(sim *simulation) string {
	c := sim.bench.Callers
	if c.Misrouted+c.Doubled+c.WrongAnswers+c.RefusedAfterForward > 0 {
		return fmt.Sprintf("misrouted packets %d, requests run twice %d, wrong answers %d, refusals of forwarded flows %d", c.Misrouted, c.Doubled, c.WrongAnswers, c.RefusedAfterForward)
	}
	return ""
}

// anyViolation describes a violation of the properties that hold while there is at most one
// fault at a time. It returns an empty string if there is none.
func anyViolation(sim *simulation) string {
	c := sim.bench.Callers
	if c.Broken+c.TwoServed+c.Unanswered+c.Waiting() > 0 {
		return fmt.Sprintf("broken flows %d %v, flows on two backend servers %d, flows never opened %d, flows waiting for an answer %v", c.Broken, c.BrokenReasons, c.TwoServed, c.Unanswered, c.WaitingFlows())
	}
	for name, since := range sim.noNewFlowsAfter {
		if count := sim.bench.NewConnectionsSince(name, since); count > 0 {
			return fmt.Sprintf("backend server %s is leaving and got %d new flows", name, count)
		}
	}
	return safetyViolation(sim)
}

// TestPropertyPlannedChanges checks that planned changes break no flow, however close
// together they are.
func TestPropertyPlannedChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := drawSteps(rt, plannedKinds)
		if fault := simulate(t, seed, 0, steps, 0, anyViolation); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestPropertySingleFaults checks that single faults between planned changes break no flow.
func TestPropertySingleFaults(t *testing.T) {
	t.Parallel()
	kinds := append(append([]string{}, plannedKinds...), "kill", "platform down", "restart")
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := drawSteps(rt, kinds)
		if fault := simulate(t, seed, 0, limitKills(steps), recoveryGap, anyViolation); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// limitKills drops all but the first three kills, so that most balancers stay alive.
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

// TestPropertyAnyFaults checks that under simultaneous faults and packet loss no request is
// run twice, no packet reaches another service and no forwarded flow is refused.
func TestPropertyAnyFaults(t *testing.T) {
	t.Parallel()
	kinds := append(append([]string{}, plannedKinds...), faultKinds...)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := limitKills(drawSteps(rt, kinds))
		if fault := simulate(t, seed, 0.02, steps, 0, safetyViolation); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestRunsAreDeterministic checks that a run depends on its seed and steps only, so that a
// failing seed fails again.
func TestRunsAreDeterministic(t *testing.T) {
	steps := []step{
		{Kind: "drain", Server: 3, Wait: time.Second},
		{Kind: "kill", Node: 2, Wait: 3 * time.Second},
		{Kind: "freeze", Node: 4, Wait: 2 * time.Second},
		{Kind: "replace", Node: 1, Wait: time.Second},
	}
	var first string
	for range 3 {
		var seen string
		simulate(t, 77, 0.02, steps, 0, func(sim *simulation) string {
			c := sim.bench.Callers
			seen = fmt.Sprint(sim.bench.ControlBytes(), c.Answered, c.Broken, c.TwoServed)
			for _, node := range sim.bench.Nodes {
				seen += fmt.Sprint(" ", node.Core.Counters.Values())
			}
			return ""
		})
		if first == "" {
			first = seen
		}
		if seen != first {
			t.Fatalf("two runs with the same seed and steps differ:\n%s\n%s", first, seen)
		}
	}
}
