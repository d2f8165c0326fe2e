package tagged_test

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/tagged"
)

// requestState is the state of a flow's last request when its server stops responding.
type requestState string

const (
	neverSent  requestState = "never sent"
	answered   requestState = "answered"
	settled    requestState = "sent long before"
	inProgress requestState = "in progress"
)

// flowIn opens a flow and brings its last request into a state. The server stops responding at the
// harness's time.
func (h *harness) flowIn(port int, route string, s requestState) *flow {
	f := h.openFlow(port, route)
	f.completeHandshake()
	if s == neverSent {
		return f
	}
	f.send(100)
	switch s {
	case answered:
		h.now = h.now.Add(20 * time.Millisecond)
		f.acknowledge()
	case settled:
		h.now = h.now.Add(time.Second)
	}
	return f
}

// killServer makes the only server fail its checks with a result. A probe flow notices the failure.
func (h *harness) killServer(result health.Result) []tagged.Reset {
	h.openFlow(9000, feed)
	h.now = h.now.Add(100 * time.Millisecond)
	return h.advance(time.Second, result, "i-0001")
}

// Callers that sent into flows of a dead server waited until their deadline, because flows of routes
// that are not idempotent were kept. Each row is a cell of the table in dead.go.
func TestFlowsOfDeadServers(t *testing.T) {
	cases := []struct {
		route  string
		state  requestState
		result health.Result
		reset  bool
	}{
		{feed, neverSent, health.Refused, true},
		{feed, answered, health.Refused, true},
		{feed, settled, health.Refused, true},
		{feed, inProgress, health.Refused, true},
		{feed, neverSent, health.Silent, true},
		{feed, answered, health.Silent, true},
		{feed, settled, health.Silent, true},
		{feed, inProgress, health.Silent, true},
		{orders, neverSent, health.Refused, true},
		{orders, answered, health.Refused, true},
		{orders, settled, health.Refused, true},
		{orders, inProgress, health.Refused, true},
		{orders, neverSent, health.Silent, true},
		{orders, answered, health.Silent, true},
		{orders, settled, health.Silent, true},
		{orders, inProgress, health.Silent, false},
	}
	for _, c := range cases {
		h := newHarness(t, 1)
		f := h.flowIn(2000, c.route, c.state)
		got := false
		for _, reset := range h.killServer(c.result) {
			got = got || reset.Key == f.packet.Key
		}
		if got != c.reset {
			t.Errorf("route %s, request %s, check %s: reset is %v, want %v", c.route, c.state, c.result, got, c.reset)
		}
	}
}

// A retransmission of a request that may be in progress is sent on, as the server may only be out of
// reach.
func TestRequestInProgressIsSentOnToDeadServer(t *testing.T) {
	h := newHarness(t, 1)
	f := h.flowIn(2000, orders, inProgress)
	h.killServer(health.Silent)
	h.is.Equal(f.retransmit(100).Action, tagged.Forward)
}

// A packet of an idle flow that reaches a balancer which knows only that the server is dead is
// answered by a reset at once.
func TestIdleFlowOfDeadServerIsResetByAnyBalancer(t *testing.T) {
	f := newHarness(t, 1).flowIn(2000, orders, answered)
	other := newHarness(t, 1)
	other.killServer(health.Silent)
	f.harness = other
	other.is.Equal(f.send(0).Action, tagged.Refuse)
}

// Flows of a server that is unreachable from this balancer, while a peer reaches it, are kept
// whatever the state of their requests.
func TestFlowsOfUnreachableServersAreKept(t *testing.T) {
	for _, state := range []requestState{neverSent, answered, settled, inProgress} {
		h := newHarness(t, 1)
		h.core.SetPeerCount(3)
		f := h.flowIn(2000, feed, state)
		g := h.flowIn(2001, orders, state)
		h.openFlow(9000, feed)
		h.now = h.now.Add(100 * time.Millisecond)
		for range 20 {
			h.core.HandleReachabilityReport("entry-2", tagged.ReachabilityReport{Alive: h.tags()}, h.now)
			h.is.Equal(len(h.advance(tagged.TickInterval, health.Silent, "i-0001")), 0)
		}
		h.is.Equal(f.send(10).Action, tagged.Forward)
		h.is.Equal(g.send(10).Action, tagged.Forward)
	}
}
