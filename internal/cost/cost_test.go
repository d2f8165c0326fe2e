package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonmoor.example/internal/cost"
)

// draw returns a time of requests with a mean of 13 ms, of which 3 % take seven times as long.
func draw(random *rand.Rand) time.Duration {
	milliseconds := 11 * math.Exp(0.5*random.NormFloat64()-0.125)
	if random.Float64() < 0.03 {
		milliseconds *= 7
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// The histogram must not distort means and quantiles by more than its bucket width.
func TestRouteEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var r cost.Route
	sum := time.Duration(0)
	const count = 3000
	for range count {
		d := draw(random)
		sum += d
		r.Observe(d)
	}
	if mean := sum / count; r.Mean() < mean*9/10 || r.Mean() > mean*11/10 {
		t.Errorf("mean is %s, want about %s", r.Mean(), mean)
	}
	if q := r.Quantile(0.5); q < 9*time.Millisecond || q > 16*time.Millisecond {
		t.Errorf("median is %s", q)
	}
}

// A request that has run for longer than most takes longer still than a new one: treating it as
// nearly done sends more requests to a busy server.
func TestRemainingTimeGrowsInTheTail(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var r cost.Route
	for range 3000 {
		r.Observe(draw(random))
	}
	fresh, old := r.Remaining(0), r.Remaining(40*time.Millisecond)
	if old <= fresh {
		t.Errorf("a new request takes %s, one of 40 ms another %s", fresh, old)
	}
	if beyond := r.Remaining(3 * time.Second); beyond < time.Second {
		t.Errorf("a request beyond all others takes another %s", beyond)
	}
}

// A changed distribution must be learned within some thousand requests.
func TestRouteForgets(t *testing.T) {
	var r cost.Route
	for range 20_000 {
		r.Observe(10 * time.Millisecond)
	}
	for range 8000 {
		r.Observe(100 * time.Millisecond)
	}
	if r.Mean() < 70*time.Millisecond {
		t.Errorf("mean is %s after 8,000 requests of 100 ms", r.Mean())
	}
}

// Callers acknowledge short answers after 40 ms. Servers of different speeds must be told apart all
// the same, and a server without observations counts as usual.
func TestSlownessDespiteDelayedAcknowledgments(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var r cost.Route
	var slow, usual cost.Sums
	for range 2000 {
		work := draw(random)
		r.Observe(40*time.Millisecond + work)
		took, expected := r.Work(40*time.Millisecond + work)
		usual = usual.Add(cost.Sums{Took: took, Expected: expected})
		took, expected = r.Work(40*time.Millisecond + 4*work)
		slow = slow.Add(cost.Sums{Took: took, Expected: expected})
	}
	if got := slow.Slowness() / usual.Slowness(); got < 2.5 || got > 5 {
		t.Errorf("a server that takes four times as long is estimated at %.2f times", got)
	}
	if got := (cost.Sums{}).Slowness(); got != 1 {
		t.Errorf("an unknown server has slowness %.2f", got)
	}
}

func ExampleSums_Slowness() {
	// 100 requests that took 30 ms each where 10 ms were expected.
	sums := cost.Sums{Took: 3 * time.Second, Expected: time.Second}
	fmt.Printf("%.1f", sums.Slowness())
	// Output: 2.7
}

func BenchmarkRoute(b *testing.B) {
	var r cost.Route
	for b.Loop() {
		r.Observe(20 * time.Millisecond)
		r.Remaining(10 * time.Millisecond)
	}
}
