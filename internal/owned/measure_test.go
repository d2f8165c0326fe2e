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
	measure = flag.Bool("measure", false, "run the experiments of make measure")
	only    = flag.String("experiment", "", "run only the experiment with this name")
	seed    = flag.Uint64("seed", 11, "seed of the experiments")
)

// experiment is a load, and what happens under it.
type experiment struct {
	name         string
	openFlows    int
	newPerSecond int
	warm         time.Duration
	span         time.Duration
	// drain marks a backend server as leaving when the load is warm.
	drain   bool
	talk    time.Duration
	weights bool
}

// outcome is a line of make measure.
type outcome struct {
	broken, doubled, misrouted int
	imbalance, worst           float64
	exceptionShare             float64
	controlPerSecond           float64
	// converge is the time until a change was in force everywhere, in seconds.
	converge string
}

func (o outcome) print(name, policy string, seed uint64) {
	fmt.Printf("measure: Experiment=%s Policy=%s Seed=%d BrokenFlows=%d Doubled=%d Misrouted=%d ImbalanceMaxOverMean=%.4f WorstMaxOverMean=%.4f ExceptionShare=%.4f ControlBytesPerSecond=%.0f ConvergeSeconds=%s\n",
		name, policy, seed, o.broken, o.doubled, o.misrouted, o.imbalance, o.worst, o.exceptionShare, o.controlPerSecond, o.converge)
}

// imbalance returns the largest load of a service's backend servers by weight
// over the mean, leaving out those that get nothing new.
func imbalance(b *model.Bench, service config.Service) float64 {
	open := b.Open(service.Name)
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

// run plays an experiment with one policy.
func run(t *testing.T, e experiment, seed uint64, hashOnly bool) (result outcome) {
	result.converge = "none"
	synctest.Test(t, func(t *testing.T) {
		fleet := model.TimerFleet()
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
		line := model.Line{Service: documents.Services[0], Life: life, Skewed: true, Talk: e.talk}
		total := int(float64(e.newPerSecond) * (e.warm + e.span).Seconds())
		b.Callers.StartMany(total, e.warm+e.span, line)
		b.Run(e.warm)
		bytes := b.ControlBytes()
		placed, exceptions := placements(b)
		if e.drain {
			documents = change(documents, fleet, 0)
			result.converge = fmt.Sprintf("%.2f", converge(t, b, documents).Seconds())
		}
		samples := 0
		for range int(e.span / time.Second) {
			b.Run(time.Second)
			sample := imbalance(b, documents.Services[0])
			result.imbalance += sample
			result.worst = max(result.worst, sample)
			samples++
		}
		result.imbalance /= float64(samples)
		result.controlPerSecond = float64(b.ControlBytes()-bytes) / e.span.Seconds() / float64(len(b.Nodes))
		placedAfter, exceptionsAfter := placements(b)
		result.exceptionShare = float64(exceptionsAfter-exceptions) / float64(max(1, placedAfter-placed))
		result.broken = b.Callers.Broken + b.Callers.Unanswered
		result.doubled = b.Callers.Doubled + b.Callers.TwoServed
		result.misrouted = b.Callers.Misrouted
	})
	return result
}

func placements(b *model.Bench) (placed, exceptions int64) {
	for _, node := range b.Nodes {
		placed += node.Core.Counters.Placed.Load()
		exceptions += node.Core.Counters.Exceptions.Load()
	}
	return placed, exceptions
}

// TestMeasure prints a line an experiment, the product beside hash-only placement
// with the same input.
func TestMeasure(t *testing.T) {
	if !*measure {
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
		if *only != "" && *only != e.name {
			continue
		}
		for _, policy := range []string{"HashOnly", "Product"} {
			t.Run(e.name+policy, func(t *testing.T) {
				t.Parallel()
				run(t, e, *seed, policy == "HashOnly").print(e.name, policy, *seed)
			})
		}
	}
}
