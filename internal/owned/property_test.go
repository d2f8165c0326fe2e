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

// propertyRun is a simulated fleet and the state that the properties check it against.
type propertyRun struct {
	sim       *model.Simulation
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
func simulate(t *testing.T, seed uint64, loss float64, steps []step, gap time.Duration, finalCheck func(run *propertyRun) string) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		fleet := model.HorodisFleet()
		sim, err := model.New(model.Config{
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
		run := &propertyRun{
			sim:             sim,
			fleet:           fleet,
			documents:       fleet.Documents(),
			versions:        make(map[*model.Node]config.Version),
			noNewFlowsAfter: make(map[string]time.Time),
		}
		sim.Run(5 * time.Second)
		run.open(simulatedFlows)
		for _, next := range steps {
			run.apply(next)
			sim.Run(next.Wait)
			run.checkVersions()
			if gap > 0 {
				sim.Run(gap)
			}
		}
		sim.Heal()
		sim.PlatformDown = false
		sim.Run(15 * time.Second)
		sim.Callers.RequestAll()
		sim.Run(40 * time.Second)
		run.checkVersions()
		for _, found := range run.violations {
			violation = found
		}
		if violation == "" {
			violation = finalCheck(run)
		}
	})
	return violation
}

// open starts count long flows to the first service, and a quarter as many idle flows to
// the second and short flows to the first.
func (run *propertyRun) open(count int) {
	flowConfig := model.FlowConfig{Service: run.documents.Services[0], RequestInterval: 4 * time.Second}
	run.sim.Callers.StartFlows(count, time.Second, flowConfig)
	flowConfig.Service = run.documents.Services[1]
	flowConfig.RequestInterval = 0
	run.sim.Callers.StartFlows(count/4, time.Second, flowConfig)
	short := model.FlowConfig{Service: run.documents.Services[0], Lifetime: 2 * time.Second, RequestInterval: time.Second}
	run.sim.Callers.StartFlows(count/4, time.Second, short)
	run.sim.Run(1500 * time.Millisecond)
}

// apply applies a step. Node and server numbers wrap around.
func (run *propertyRun) apply(next step) {
	sim := run.sim
	node := sim.Nodes[next.Node%len(sim.Nodes)]
	domain := fmt.Sprintf("domain-%d", next.Domain+1)
	switch next.Kind {
	case "replace":
		sim.Add(run.fleet.Instance(8 + run.addedCount))
		run.addedCount++
		sim.Run(3 * time.Second)
		sim.Leave(node)
		sim.Run(5 * time.Second)
	case "drain", "add server", "reweight":
		run.publish(next)
	case "open":
		run.open(simulatedFlows / 3)
	case "kill":
		sim.Kill(node)
	case "restart":
		sim.Kill(node)
		sim.Run(next.Wait)
		sim.Start(node)
	case "freeze":
		sim.Pause(node)
		sim.Run(2 * next.Wait)
		sim.Resume(node)
	case "cut":
		for other := range 4 {
			if other != next.Domain {
				sim.Partition(domain, fmt.Sprintf("domain-%d", other+1))
			}
		}
		sim.Run(2 * next.Wait)
		sim.Heal()
	case "platform down":
		sim.PlatformDown = true
		sim.Run(next.Wait)
		sim.PlatformDown = false
	}
}

// publish changes or adds one backend server of the first service. It changes copies,
// because the fleet still refers to the previous documents.
func (run *propertyRun) publish(next step) {
	service := run.documents.Services[0]
	service.Backends = append([]config.Backend(nil), service.Backends...)
	backend := &service.Backends[next.Server%len(service.Backends)]
	switch next.Kind {
	case "drain":
		backend.State = config.Leaving
		if _, known := run.noNewFlowsAfter[backend.Name]; !known && !run.sim.PlatformDown {
			run.noNewFlowsAfter[backend.Name] = time.Now().Add(drainPropagationLimit)
		}
	case "reweight":
		backend.Weight = 20 + backend.Weight%150
	case "add server":
		service.Backends = append(service.Backends, run.fleet.Backend(service.Name, 0, 50+run.addedCount))
		run.addedCount++
	}
	run.documents.Services = append([]config.Service{service}, run.documents.Services[1:]...)
	if err := run.sim.Publish(run.documents); err != nil {
		run.violations = append(run.violations, err.Error())
	}
}

// checkVersions checks that no balancer returned to an older configuration.
func (run *propertyRun) checkVersions() {
	for _, node := range run.sim.Nodes {
		compiled := node.Core.Compiled()
		if compiled == nil {
			continue
		}
		if before := run.versions[node]; compiled.Version < before && node.Starts() == 1 {
			run.violations = append(run.violations, fmt.Sprintf("%s returned from configuration version %d to %d", node.Instance.Name, before, compiled.Version))
		}
		run.versions[node] = compiled.Version
	}
}

// safetyViolation describes a violation of the properties that hold under all faults. It
// returns an empty string if there is none.
func safetyViolation(run *propertyRun) string {
	c := run.sim.Callers
	if c.Misrouted+c.Doubled+c.WrongAnswers+c.RefusedAfterForward > 0 {
		return fmt.Sprintf("misrouted packets %d, requests run twice %d, wrong answers %d, refusals of forwarded flows %d", c.Misrouted, c.Doubled, c.WrongAnswers, c.RefusedAfterForward)
	}
	return ""
}

// anyViolation describes a violation of the properties that hold while there is at most one
// fault at a time. It returns an empty string if there is none.
func anyViolation(run *propertyRun) string {
	c := run.sim.Callers
	if c.Broken+c.TwoServed+c.Unanswered+c.Waiting() > 0 {
		return fmt.Sprintf("broken flows %d %v, flows on two backend servers %d, flows never opened %d, flows waiting for an answer %v", c.Broken, c.BrokenReasons, c.TwoServed, c.Unanswered, c.WaitingFlows())
	}
	for name, since := range run.noNewFlowsAfter {
		if count := run.sim.NewConnectionsSince(name, since); count > 0 {
			return fmt.Sprintf("backend server %s is leaving and got %d new flows", name, count)
		}
	}
	return safetyViolation(run)
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
		simulate(t, 77, 0.02, steps, 0, func(run *propertyRun) string {
			c := run.sim.Callers
			seen = fmt.Sprint(run.sim.ControlBytes(), c.Answered, c.Broken, c.TwoServed)
			for _, node := range run.sim.Nodes {
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
