package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonmoor.example/internal/policy"
)

// measureShares returns the fraction of choices that falls on each candidate.
func measureShares(candidates []policy.Candidate, flow policy.Flow) []float64 {
	random := rand.New(rand.NewPCG(3, 4))
	var filler policy.WaterFiller
	list := make([]float64, len(candidates))
	const draws = 4000
	for range draws {
		if index, ok := filler.Choose(candidates, flow, random); ok {
			list[index] += 1.0 / draws
		}
	}
	return list
}

func TestFiller(t *testing.T) {
	const requestTime = 50 * time.Millisecond
	candidate := func(slots, others float64, age time.Duration) policy.Candidate {
		return policy.Candidate{Slots: slots, InFlight: others, OthersInFlight: others, OthersAge: age}
	}
	cases := []struct {
		name       string
		candidates []policy.Candidate
		want       []float64
	}{
		{"current data: the idle server", []policy.Candidate{candidate(2, 0, 0), candidate(2, 1, 0)}, []float64{1, 0}},
		{"equal load: equal shares", []policy.Candidate{candidate(2, 1, 0), candidate(2, 1, 0)}, []float64{0.5, 0.5}},
		{"very old data: equal shares", []policy.Candidate{candidate(2, 0, 20*requestTime), candidate(2, 2, 20*requestTime)}, []float64{0.5, 0.5}},
		{"data as old as a mean request: the idle server gets more", []policy.Candidate{candidate(2, 0, requestTime), candidate(2, 2, requestTime)}, []float64{0.66, 0.34}},
		{"a long queue has not drained yet", []policy.Candidate{candidate(2, 0, requestTime), candidate(2, 12, requestTime)}, []float64{1, 0}},
		{"more slots, more flows", []policy.Candidate{candidate(2, 0, 0), candidate(6, 0, 0)}, []float64{0.25, 0.75}},
		{"local domain while it has a free slot", []policy.Candidate{{Slots: 2, Remote: true}, {Slots: 2, InFlight: 1}}, []float64{0, 1}},
		{"remote domain if requests queue in the local one", []policy.Candidate{{Slots: 2, Remote: true}, {Slots: 2, InFlight: 4}}, []float64{1, 0}},
		{"suspected servers last", []policy.Candidate{{Slots: 2, Suspected: true}, {Slots: 2, InFlight: 9}}, []float64{0, 1}},
		{"all suspected", []policy.Candidate{{Slots: 2, Suspected: true}}, []float64{1}},
	}
	for _, c := range cases {
		got := measureShares(c.candidates, policy.Flow{MeanRequestTime: requestTime})
		for index := range got {
			if math.Abs(got[index]-c.want[index]) > 0.05 {
				t.Errorf("%s: shares are %.2f, want %.2f", c.name, got, c.want)
				break
			}
		}
	}
	var filler policy.WaterFiller
	if _, ok := filler.Choose(nil, policy.Flow{}, rand.New(rand.NewPCG(1, 2))); ok {
		t.Error("Choose returned a server without candidates")
	}
}

func ExampleWaterFiller() {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []policy.Candidate{
		{Slots: 2, InFlight: 4, OthersInFlight: 4},
		{Slots: 2, InFlight: 0},
	}
	var filler policy.WaterFiller
	index, _ := filler.Choose(candidates, policy.Flow{MeanRequestTime: 50 * time.Millisecond}, random)
	fmt.Println(index)
	// Output: 1
}

func BenchmarkFiller(b *testing.B) {
	for _, count := range []int{8, 24, 64, 256} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			candidates := make([]policy.Candidate, count)
			for index := range candidates {
				others := float64(random.IntN(4))
				candidates[index] = policy.Candidate{Slots: 2, InFlight: others, OthersInFlight: others, OthersAge: 100 * time.Millisecond}
			}
			var filler policy.WaterFiller
			b.ReportAllocs()
			for b.Loop() {
				filler.Choose(candidates, policy.Flow{}, random)
			}
		})
	}
}
