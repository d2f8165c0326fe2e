package owned_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/ring"
)

var (
	measureEnabled = flag.Bool("measure", false, "run the experiments of make measure")
	experimentName = flag.String("experiment", "", "run only the experiment with this name")
	experimentSeed = flag.Uint64("seed", 11, "seed of the experiments")
)

// experiment describes a load and the changes made under it.
type experiment struct {
	name         string
	openFlows    int
	newPerSecond int
	// warm is the time before the measurement, span is its length.
	warm time.Duration
	span time.Duration
	// drain marks a backend server as leaving after the warm-up.
	drain bool
	// requestInterval is the interval between the requests of a flow, zero for a single request.
	requestInterval time.Duration
	// weights doubles the weight of every other backend server.
	weights bool
}

// experimentResult holds the figures that make measure prints for an experiment.
type experimentResult struct {
	broken, doubled, misrouted int
	// imbalance is the mean of maxOverMean over time, worst its largest value.
	imbalance, worst float64
	exceptionShare   float64
	controlPerSecond float64
	// converge is the time until a change was in force on all balancers, in seconds, or
	// "none" without a change.
	converge string
}

func (r experimentResult) print(name, policy string, seed uint64) {
	fmt.Printf("measure: Experiment=%s Policy=%s Seed=%d BrokenFlows=%d Doubled=%d Misrouted=%d ImbalanceMaxOverMean=%.4f WorstMaxOverMean=%.4f ExceptionShare=%.4f ControlBytesPerSecond=%.0f ConvergeSeconds=%s\n",
		name, policy, seed, r.broken, r.doubled, r.misrouted, r.imbalance, r.worst, r.exceptionShare, r.controlPerSecond, r.converge)
}

// maxOverMean returns the largest load per weight of a service's backend servers, divided by
// the mean. Backend servers that get no new flows are left out.
func maxOverMean(sim *model.Simulation, service config.Service) float64 {
	open := sim.OpenConnections(service.Name)
	var highest, total, weight float64
	for _, backend := range service.Backends {
		if backend.State != config.Active {
			continue
		}
		load := float64(open[backend.Name])
		highest = max(highest, load/float64(backend.Weight))
		total += load
		weight += float64(backend.Weight)
	}
	return highest * weight / total
}

// runExperiment runs an experiment with one placement policy.
func runExperiment(t *testing.T, e experiment, seed uint64, hashOnly bool) (result experimentResult) {
	result.converge = "none"
	synctest.Test(t, func(t *testing.T) {
		fleet := model.HorodisFleet()
		documents := fleet.Documents()
		if e.weights {
			for index := range documents.Services[0].Backends {
				documents.Services[0].Backends[index].Weight *= ring.Weight(1 + index%2)
			}
		}
		sim, err := model.New(model.Config{
			Seed:                  seed,
			Instances:             fleet.Instances(),
			Documents:             documents,
			Delay:                 hopDelay,
			ControlBytesPerSecond: controlBytes,
			HashOnly:              hashOnly,
			Log:                   logr.Discard(),
		})
		if err != nil {
			t.Fatal(err)
		}
		sim.Run(5 * time.Second)
		lifetime := time.Duration(float64(e.openFlows) / float64(e.newPerSecond) * float64(time.Second))
		flowConfig := model.FlowConfig{Service: documents.Services[0], Lifetime: lifetime, ExponentialLifetime: true, RequestInterval: e.requestInterval}
		total := int(float64(e.newPerSecond) * (e.warm + e.span).Seconds())
		sim.Callers.StartFlows(total, e.warm+e.span, flowConfig)
		sim.Run(e.warm)
		bytes := sim.ControlBytes()
		placed, exceptions := countPlacements(sim)
		if e.drain {
			documents = changeBackends(documents, fleet, 0)
			result.converge = fmt.Sprintf("%.2f", publishAndConverge(t, sim, documents).Seconds())
		}
		samples := 0
		for range int(e.span / time.Second) {
			sim.Run(time.Second)
			sample := maxOverMean(sim, documents.Services[0])
			result.imbalance += sample
			result.worst = max(result.worst, sample)
			samples++
		}
		result.imbalance /= float64(samples)
		result.controlPerSecond = float64(sim.ControlBytes()-bytes) / e.span.Seconds() / float64(len(sim.Nodes))
		placedAfter, exceptionsAfter := countPlacements(sim)
		result.exceptionShare = float64(exceptionsAfter-exceptions) / float64(max(1, placedAfter-placed))
		result.broken = sim.Callers.Broken + sim.Callers.Unanswered
		result.doubled = sim.Callers.Doubled + sim.Callers.TwoServed
		result.misrouted = sim.Callers.Misrouted
	})
	return result
}

func countPlacements(sim *model.Simulation) (placed, exceptions int64) {
	for _, node := range sim.Nodes {
		placed += node.Core.Counters.Placed.Load()
		exceptions += node.Core.Counters.Exceptions.Load()
	}
	return placed, exceptions
}

// TestMeasure prints one line per experiment and policy. It compares load-based placement
// with hash-only placement for the same input.
func TestMeasure(t *testing.T) {
	if !*measureEnabled {
		t.Skip("run by make measure")
	}
	experiments := []experiment{
		{name: "Balance30000", openFlows: 30000, newPerSecond: 24000, warm: 75 * time.Second, span: 12 * time.Second},
		{name: "Balance30000Slow", openFlows: 30000, newPerSecond: 500, warm: 90 * time.Second, span: 30 * time.Second},
		{name: "Balance3000", openFlows: 3000, newPerSecond: 50, warm: 90 * time.Second, span: 30 * time.Second},
		{name: "DrainUnderLoad", openFlows: 3000, newPerSecond: 300, warm: 25 * time.Second, span: 15 * time.Second, drain: true},
		{name: "BalanceWeights", openFlows: 30000, newPerSecond: 3000, warm: 70 * time.Second, span: 20 * time.Second, weights: true},
	}
	for _, e := range experiments {
		if *experimentName != "" && *experimentName != e.name {
			continue
		}
		for _, policy := range []string{"HashOnly", "Product"} {
			t.Run(e.name+policy, func(t *testing.T) {
				t.Parallel()
				runExperiment(t, e, *experimentSeed, policy == "HashOnly").print(e.name, policy, *experimentSeed)
			})
		}
	}
}
