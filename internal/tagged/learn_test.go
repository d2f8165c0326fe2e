package tagged_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
)

// newLearningHarness returns a harness of a balancer that learns how its servers serve.
func newLearningHarness(t *testing.T, count int) *harness {
	h := newHarness(t, count)
	h.core = tagged.New(tagged.Config{
		Name: "entry-1", Domain: "lorient", MaxFlows: 10_000, Rand: rand.New(rand.NewPCG(1, 2)),
		Log: logr.Discard(), DecisionLog: logr.Discard(), LearnServers: true,
	})
	h.publish()
	return h
}

// play lets callers make requests of a route, one per flow and step, for a number of steps of 10 ms.
// answerTime returns the time of an answer by a server, negative if it does not answer. It returns
// the number of flows that each server got.
func (h *harness) play(port *int, route string, steps int, answerTime func(id state.BackendID) time.Duration) map[state.BackendID]int {
	type pending struct {
		flow *flow
		at   time.Time
	}
	var waiting []pending
	flows := make(map[state.BackendID]int)
	for step := range steps {
		*port++
		f := h.openFlow(10_000+*port, route)
		f.completeHandshake()
		f.send(100)
		id := f.lastVerdict.ID
		flows[id]++
		if d := answerTime(id); d >= 0 {
			waiting = append(waiting, pending{f, h.now.Add(d)})
		}
		h.now = h.now.Add(10 * time.Millisecond)
		kept := waiting[:0]
		for _, p := range waiting {
			if p.at.After(h.now) {
				kept = append(kept, p)
				continue
			}
			p.flow.acknowledge()
			closing := p.flow.packet
			closing.Last = true
			h.core.HandlePacket(&closing, h.now)
		}
		waiting = kept
		if step%5 == 4 {
			for _, check := range h.core.Tick(h.now) {
				h.resets = append(h.resets, h.core.HandleCheckResult(check.Backend, health.Answered, h.now)...)
			}
		}
	}
	return flows
}

func usualTime(state.BackendID) time.Duration { return 60 * time.Millisecond }

// A server that accepts flows and answers no requests, while its health check succeeds, got its full
// share of new flows for as long as the fault lasted: requests without an answer soon ceased to count
// as load. Without learning it still does.
func TestHangingServerGetsHardlyAnyFlows(t *testing.T) {
	hanging := func(id state.BackendID) time.Duration {
		if id == 1 {
			return -1
		}
		return usualTime(id)
	}
	var got [2]int
	for index, h := range []*harness{newHarness(t, 8), newLearningHarness(t, 8)} {
		// Long flows without requests, as on most deployments.
		for number := range 400 {
			h.openFlow(1000+number, feed).completeHandshake()
		}
		port := 0
		h.play(&port, feed, 300, usualTime)
		got[index] = h.play(&port, feed, 300, hanging)[1]
		h.is.Equal(len(h.resets), 0) // open flows on a live server go on
	}
	// Three bad outcomes within a second eject the server, and a few more flows are under way.
	if got[1] > 6 || got[0] < 2*got[1] {
		t.Errorf("of 300 flows, a hanging server got %d without learning and %d with it", got[0], got[1])
	}
}

// A server that answers a part of its requests with errors, at once, must be ejected: it looks like the
// fastest one.
func TestServerThatAnswersWithErrorsIsEjected(t *testing.T) {
	h := newLearningHarness(t, 8)
	port := 0
	h.play(&port, feed, 300, usualTime)
	onServer, failed := 0, 0
	for range 400 {
		port++
		f := h.openFlow(10_000+port, feed)
		f.completeHandshake()
		f.send(100)
		h.now = h.now.Add(10 * time.Millisecond)
		if f.lastVerdict.ID == 1 {
			onServer++
		}
		if f.lastVerdict.ID == 1 && onServer%5 < 2 {
			f.packet.Acknowledged -= 75 // acknowledge adds 100
			failed++
		}
		f.acknowledge()
		closing := f.packet
		closing.Last = true
		h.core.HandlePacket(&closing, h.now)
		if port%5 == 0 {
			h.core.Tick(h.now)
		}
	}
	h.is.True(failed > 0)
	h.is.True(h.core.Counters.Ejected.Load() > 0)
	h.is.True(failed < 10) // half of what its share of the 400 requests would be
}

// The evidence of one balancer may be too little. With that of the others it is enough.
func TestEvidenceOfOtherBalancersCounts(t *testing.T) {
	h := newLearningHarness(t, 8)
	h.core.SetPeerLoads(tally.UngroupedID, []tally.Load{{Tag: h.backends[2].Tag(), Good: 1, Bad: 6}, {Tag: h.backends[3].Tag(), Good: 9, Bad: 0}}, h.now)
	h.advance(300*time.Millisecond, health.Answered)
	for _, status := range h.core.Backends() {
		h.is.Equal(status.Ejected, status.Backend == h.backends[2].Name)
	}
}

// A fault that hits all servers alike, such as this balancer's own, must eject none of them.
func TestOwnFaultEjectsNoServer(t *testing.T) {
	h := newLearningHarness(t, 8)
	port := 0
	h.play(&port, feed, 300, usualTime)
	h.play(&port, feed, 200, func(id state.BackendID) time.Duration {
		if port%2 == 0 {
			return -1
		}
		return usualTime(id)
	})
	h.is.Equal(h.core.Counters.Ejected.Load(), int64(0))
}

// A server that started again must not be judged by its earlier life.
func TestRestartedServerIsJudgedAnew(t *testing.T) {
	h := newLearningHarness(t, 8)
	h.core.SetPeerLoads(tally.UngroupedID, []tally.Load{{Tag: h.backends[2].Tag(), Bad: 6}, {Tag: h.backends[3].Tag(), Good: 9}}, h.now)
	h.advance(300*time.Millisecond, health.Answered)
	h.is.True(h.core.Backends()[2].Ejected)
	h.backends[2].Started++
	h.publish()
	h.is.True(!h.core.Backends()[2].Ejected)
}

// A server that has become five times as slow must get fewer flows than the others, and must be used
// as before soon after it has recovered. Load of four fifths of the slots.
func TestSlowServerGetsFewerFlows(t *testing.T) {
	h := newLearningHarness(t, 4)
	port := 0
	slow := func(id state.BackendID) time.Duration {
		if id == 1 {
			return 5 * usualTime(id)
		}
		return usualTime(id)
	}
	before := h.play(&port, feed, 400, usualTime)[1]
	h.play(&port, feed, 100, slow)
	during := h.play(&port, feed, 400, slow)[1]
	h.play(&port, feed, 1000, usualTime)
	after := h.play(&port, feed, 400, usualTime)[1]
	if during > before/2 || after < before*2/3 {
		t.Errorf("of 400 flows, a server got %d before it was slow, %d meanwhile and %d after it had recovered", before, during, after)
	}
}

// Requests of two routes look alike and cost a server very different amounts of work. A server with
// two cheap requests must be preferred to one with two expensive ones.
func TestCostOfRequestsCounts(t *testing.T) {
	h := newLearningHarness(t, 2)
	port := 0
	for range 10 {
		h.play(&port, feed, 40, func(state.BackendID) time.Duration { return 10 * time.Millisecond })
		h.play(&port, orders, 40, func(state.BackendID) time.Duration { return 190 * time.Millisecond })
		h.advance(300*time.Millisecond, health.Answered)
	}
	busy := make(map[state.BackendID]string)
	for len(busy) < 2 {
		// One server gets two expensive requests, the other one two cheap ones.
		route := []string{orders, feed}[len(busy)]
		port++
		f := h.openFlow(10_000+port, route)
		f.completeHandshake()
		if _, taken := busy[f.lastVerdict.ID]; taken {
			continue
		}
		f.send(100)
		busy[f.lastVerdict.ID] = route
	}
	cheap := 0
	for range 200 {
		port++
		f := h.openFlow(10_000+port, feed)
		if busy[f.lastVerdict.ID] == feed {
			cheap++
		}
		f.completeHandshake()
		closing := f.packet
		closing.Last = true
		h.core.HandlePacket(&closing, h.now)
	}
	if cheap < 125 { // 100 by chance, with a standard deviation of 7
		t.Errorf("%d of 200 flows went to the server with the cheap request", cheap)
	}
}
