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
	// talk is the interval between the requests of a flow, zero for a single request.
	talk time.Duration
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

func (o experimentResult) print(name, policy string, seed uint64) {
	fmt.Printf("measure: Experiment=%s Policy=%s Seed=%d BrokenFlows=%d Doubled=%d Misrouted=%d ImbalanceMaxOverMean=%.4f WorstMaxOverMean=%.4f ExceptionShare=%.4f ControlBytesPerSecond=%.0f ConvergeSeconds=%s\n",
		name, policy, seed, o.broken, o.doubled, o.misrouted, o.imbalance, o.worst, o.exceptionShare, o.controlPerSecond, o.converge)
}

// maxOverMean returns the largest load per weight of a service's backend servers, divided by
// the mean. Backend servers that get no new flows are left out.
func maxOverMean(b *model.Simulation, service config.Service) float64 {
	open := b.OpenConnections(service.Name)
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
		b, err := model.New(model.Config{
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
		b.Run(5 * time.Second)
		life := time.Duration(float64(e.openFlows) / float64(e.newPerSecond) * float64(time.Second))
		line := model.FlowConfig{Service: documents.Services[0], Lifetime: life, ExponentialLifetime: true, RequestInterval: e.talk}
		total := int(float64(e.newPerSecond) * (e.warm + e.span).Seconds())
		b.Callers.StartFlows(total, e.warm+e.span, line)
		b.Run(e.warm)
		bytes := b.ControlBytes()
		placed, exceptions := countPlacements(b)
		if e.drain {
			documents = changeBackends(documents, fleet, 0)
			result.converge = fmt.Sprintf("%.2f", publishAndConverge(t, b, documents).Seconds())
		}
		samples := 0
		for range int(e.span / time.Second) {
			b.Run(time.Second)
			sample := maxOverMean(b, documents.Services[0])
			result.imbalance += sample
			result.worst = max(result.worst, sample)
			samples++
		}
		result.imbalance /= float64(samples)
		result.controlPerSecond = float64(b.ControlBytes()-bytes) / e.span.Seconds() / float64(len(b.Nodes))
		placedAfter, exceptionsAfter := countPlacements(b)
		result.exceptionShare = float64(exceptionsAfter-exceptions) / float64(max(1, placedAfter-placed))
		result.broken = b.Callers.Broken + b.Callers.Unanswered
		result.doubled = b.Callers.Doubled + b.Callers.TwoServed
		result.misrouted = b.Callers.Misrouted
	})
	return result
}

func countPlacements(b *model.Simulation) (placed, exceptions int64) {
	for _, node := range b.Nodes {
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
