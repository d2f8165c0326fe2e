package tagged_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	feed   = "198.18.0.1:443"
	orders = "198.18.0.1:444"
)

func endpoint(text string) state.Endpoint {
	e, ok := state.EndpointOf(netip.MustParseAddrPort(text))
	if !ok {
		panic(text)
	}
	return e
}

func server(number int) state.Backend {
	return state.Backend{
		Name: fmt.Sprintf("i-%04x", number), ID: state.BackendID(number), Service: "planning", Domain: "lorient",
		Address: netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:80", number)), Slots: 2,
		State: state.Serving, Started: int64(1000 + number), Revision: state.Revision(number),
	}
}

func configuration() *state.Configuration {
	shares := []state.Share{{Service: "planning", Weight: 1}}
	return &state.Configuration{Version: 3, IdleTimeout: 15 * time.Second, Routes: []state.Route{
		{Name: "feed", Listen: endpoint(feed), Shares: shares, Idempotent: true},
		{Name: "orders", Listen: endpoint(orders), Shares: shares},
	}}
}

// harness drives a core with a simulated clock.
type harness struct {
	is       *is.I
	core     *tagged.Core
	now      time.Time
	backends []state.Backend
	removals []state.Removal
	// services are those that the configuration names.
	services []state.Service
	// resets are those that advance has not returned yet.
	resets []tagged.Reset
}

// newHarness returns a harness with the given number of published backend servers.
func newHarness(t *testing.T, count int) *harness {
	h := &harness{is: is.New(t), now: start}
	h.core = tagged.New(tagged.Config{Domain: "lorient", MaxFlows: 1000, Rand: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(), DecisionLog: logr.Discard()})
	for number := range count {
		h.backends = append(h.backends, server(number+1))
	}
	h.publish()
	return h
}

// tags returns the tags of all published backend servers.
func (h *harness) tags() []state.Tag {
	var tags []state.Tag
	for index := range h.backends {
		tags = append(tags, h.backends[index].Tag())
	}
	return tags
}

func (h *harness) configuration() *state.Configuration {
	c := configuration()
	c.Services = h.services
	return c
}

// publish puts a table with the current backend servers in force and confirms it.
func (h *harness) publish() {
	h.resets = append(h.resets, h.core.SetTable(state.NewTable(1, h.configuration(), h.backends, h.removals), h.now)...)
	h.core.ConfirmTable(h.now)
}

// unpublishFirst removes the first backend server from the published ones.
func (h *harness) unpublishFirst() {
	h.removals = append(h.removals, state.Removal{Backend: h.backends[0], RemovedAt: h.now})
	h.backends = h.backends[1:]
	h.publish()
}

// advance moves the clock forward tick by tick and returns the resets. Checks of the
// failing backend servers end with the given result, all others are answered.
func (h *harness) advance(duration time.Duration, result health.Result, failing ...string) []tagged.Reset {
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = h.now.Add(tagged.TickInterval)
		for _, check := range h.core.Tick(h.now) {
			outcome := health.Answered
			for _, name := range failing {
				if name == check.Backend {
					outcome = result
				}
			}
			h.resets = append(h.resets, h.core.HandleCheckResult(check.Backend, outcome, h.now)...)
		}
	}
	resets := h.resets
	h.resets = nil
	return resets
}

// flow is the caller's side of a flow.
type flow struct {
	harness     *harness
	packet      tagged.Packet
	lastVerdict tagged.Verdict
}

// openFlow sends the first packet of a new flow.
func (h *harness) openFlow(port int, route string) *flow {
	f := &flow{harness: h, packet: tagged.Packet{Key: tagged.Key{Caller: endpoint(fmt.Sprintf("100.64.0.1:%d", port)), Listen: endpoint(route)}}}
	f.sendFirst(0)
	return f
}

func (f *flow) sendFirst(retransmits uint32) tagged.Verdict {
	p := f.packet
	p.First, p.Retransmits = true, retransmits
	f.lastVerdict = f.harness.core.HandlePacket(&p, f.harness.now)
	return f.lastVerdict
}

// completeHandshake sends the packet that ends the handshake, with the tag of the
// last verdict on a first packet.
func (f *flow) completeHandshake() tagged.Verdict {
	f.packet.Tag = f.lastVerdict.Tag
	f.packet.Acknowledged = 1000
	return f.send(0)
}

// send sends a packet with new data.
func (f *flow) send(length int) tagged.Verdict {
	p := f.packet
	p.Length = length
	f.packet.Sequence += uint32(length)
	return f.harness.core.HandlePacket(&p, f.harness.now)
}

// retransmit sends the last data again.
func (f *flow) retransmit(length int) tagged.Verdict {
	p := f.packet
	p.Sequence -= uint32(length)
	p.Length = length
	return f.harness.core.HandlePacket(&p, f.harness.now)
}

// acknowledge acknowledges more data of the server.
func (f *flow) acknowledge() tagged.Verdict {
	f.packet.Acknowledged += 100
	return f.send(0)
}

func TestPacketsFollowTheirTag(t *testing.T) {
	h := newHarness(t, 8)
	for port := range 50 {
		f := h.openFlow(2000+port, feed)
		h.is.Equal(f.lastVerdict.Action, tagged.Forward)
		h.is.Equal(f.completeHandshake(), f.lastVerdict)
		h.is.Equal(f.send(100), f.lastVerdict)
	}
}

func TestAnyBalancerForwardsOpenFlow(t *testing.T) {
	h, other := newHarness(t, 8), newHarness(t, 8)
	f := h.openFlow(2000, orders)
	f.completeHandshake()
	f.harness = other
	h.is.Equal(f.send(100), f.lastVerdict)
	h.is.Equal(other.core.Counters.Adopted.Load(), int64(1))
}

func TestOpenFlowsSurviveChanges(t *testing.T) {
	h := newHarness(t, 3)
	f := h.openFlow(2000, feed)
	f.completeHandshake()
	cases := map[string]func(){
		"draining": func() {
			for index := range h.backends {
				h.backends[index].State = state.Draining
			}
		},
		"route dropped": func() { h.core.SetTable(state.NewTable(2, &state.Configuration{Version: 9}, h.backends, nil), h.now) },
		"unconfirmed":   func() { h.now = h.now.Add(10 * time.Second) },
		"paused":        func() { h.core.HoldNewFlows(h.now) },
	}
	for name, change := range cases {
		change()
		if got := f.send(10); got != f.lastVerdict {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func TestFirstPacketWithoutRoute(t *testing.T) {
	h := newHarness(t, 3)
	h.is.Equal(h.openFlow(2000, "198.18.0.9:1").lastVerdict.Action, tagged.Refuse)
	h.now = h.now.Add(10 * time.Second) // the table has not been confirmed since
	h.is.Equal(h.openFlow(2001, "198.18.0.9:1").lastVerdict.Action, tagged.Drop)
	h.is.Equal(h.openFlow(2002, feed).lastVerdict.Action, tagged.Forward)
}

func TestUnknownFlowsAreDroppedNotReset(t *testing.T) {
	h := newHarness(t, 1)
	f := h.openFlow(2000, feed)
	f.completeHandshake()
	empty := tagged.New(tagged.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	h.is.Equal(empty.HandlePacket(&f.packet, h.now).Action, tagged.Drop)
	f.packet.Tag = 77 // no known server has this tag
	f.packet.Key.Caller++
	h.is.Equal(h.core.HandlePacket(&f.packet, h.now).Action, tagged.Drop)
}

func TestPausedProcessHoldsFirstPackets(t *testing.T) {
	h := newHarness(t, 2)
	h.now = h.now.Add(time.Minute)
	h.core.HoldNewFlows(h.now)
	h.is.Equal(h.openFlow(2000, feed).lastVerdict.Action, tagged.Drop)
	h.core.ConfirmTable(h.now.Add(-time.Second)) // confirmed before the pause
	h.is.Equal(h.openFlow(2000, feed).lastVerdict.Action, tagged.Drop)
	h.core.ConfirmTable(h.now.Add(10 * time.Millisecond))
	h.is.Equal(h.openFlow(2000, feed).lastVerdict.Action, tagged.Forward)
	h.core.HoldNewFlows(h.now)
	h.now = h.now.Add(time.Second) // without any confirmation the hold ends by itself
	h.is.Equal(h.openFlow(2001, feed).lastVerdict.Action, tagged.Forward)
}

func TestDrainingAndLapsedServersGetNoNewFlows(t *testing.T) {
	h := newHarness(t, 3)
	h.backends[1].State = state.Draining
	h.unpublishFirst()
	for port := range 8 { // the one remaining server takes this many
		h.is.Equal(h.openFlow(2000+port, feed).lastVerdict.ID, state.BackendID(3))
	}
}

func TestLapsedServerIsUsedWithoutAlternative(t *testing.T) {
	h := newHarness(t, 1)
	h.unpublishFirst()
	h.is.Equal(h.openFlow(2000, feed).lastVerdict.Action, tagged.Forward)
	h.now = h.now.Add(2500 * time.Millisecond)
	h.is.Equal(h.openFlow(2001, feed).lastVerdict.Action, tagged.Refuse)
}

func TestRetransmitStaysUnlessServerIsSuspected(t *testing.T) {
	h := newHarness(t, 4)
	f := h.openFlow(2000, feed)
	first := f.lastVerdict
	h.now = h.now.Add(30 * time.Millisecond)
	h.is.Equal(f.sendFirst(1), first) // the server may have answered
	h.advance(100*time.Millisecond, health.Silent, "i-0001", "i-0002", "i-0003", "i-0004")
	reassigned := f.sendFirst(1)
	h.is.True(reassigned.ID != first.ID)
	h.is.Equal(f.sendFirst(2), reassigned) // a flow is reassigned only once
}

func TestSecondRetransmitIsReassigned(t *testing.T) {
	h := newHarness(t, 4)
	f := h.openFlow(2000, feed)
	first := f.lastVerdict
	h.is.True(f.sendFirst(2).ID != first.ID)
}

// The caller opens the flow with the first server and repeats the tag of the second
// one, whose answer arrives later.
func TestFlowStaysWithServerThatOpenedIt(t *testing.T) {
	h := newHarness(t, 4)
	f := h.openFlow(2000, feed)
	first := f.lastVerdict
	second := f.sendFirst(2)
	f.packet.Tag, f.packet.Acknowledged = first.Tag, 1000
	h.is.Equal(f.send(0), first)
	f.packet.Tag = second.Tag
	h.is.Equal(f.send(50), first)
}

func TestDeadServer(t *testing.T) {
	cases := []struct {
		name   string
		route  string
		result health.Result
		resets int
	}{
		{"flows with idempotent requests are reset", feed, health.Silent, 1},
		{"other flows are kept while the server may only be unreachable", orders, health.Silent, 0},
		{"other flows are reset if the check is refused", orders, health.Refused, 1},
	}
	for _, c := range cases {
		h := newHarness(t, 1)
		f := h.openFlow(2000, c.route)
		f.completeHandshake()
		f.send(100)
		h.now = h.now.Add(200 * time.Millisecond)
		f.retransmit(100)
		resets := h.advance(time.Second, c.result, "i-0001")
		if len(resets) != c.resets {
			t.Errorf("%s: %d resets, want %d", c.name, len(resets), c.resets)
		}
		for _, reset := range resets {
			h.is.Equal(reset, tagged.Reset{Key: f.packet.Key, Sequence: 1000})
		}
	}
}

// The check result that shows a server to be dead must itself produce the resets. A
// first packet that is retransmitted later opens the flow on another server, and a
// late reset would break it.
func TestDeadServerResetsFlowsAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	f := h.openFlow(2000, feed)
	dead := fmt.Sprintf("i-%04x", f.lastVerdict.ID)
	h.now = h.now.Add(100 * time.Millisecond)
	var resets []tagged.Reset
	for range 2 {
		for _, check := range h.core.Tick(h.now) {
			resets = append(resets, h.core.HandleCheckResult(check.Backend, health.Refused, h.now)...)
		}
		h.now = h.now.Add(tagged.TickInterval)
	}
	h.is.Equal(resets, []tagged.Reset{{Key: f.packet.Key}})
	again := f.sendFirst(1)
	h.is.Equal(again.Action, tagged.Forward)
	h.is.True(fmt.Sprintf("i-%04x", again.ID) != dead)
	f.completeHandshake()
	h.is.Equal(len(h.advance(time.Second, health.Refused, dead)), 0)
}

func TestLiveServerIsNotDeclaredDead(t *testing.T) {
	cases := map[string]func(h *harness, f *flow) []tagged.Reset{
		"checks are answered": func(h *harness, f *flow) []tagged.Reset {
			f.retransmit(100)
			return h.advance(2*time.Second, health.Answered)
		},
		"checks fail, but another flow makes progress": func(h *harness, f *flow) []tagged.Reset {
			other := h.openFlow(3000, feed)
			other.completeHandshake()
			f.retransmit(100)
			resets := h.advance(100*time.Millisecond, health.Silent, "i-0001")
			for range 20 {
				other.acknowledge()
				resets = append(resets, h.advance(50*time.Millisecond, health.Silent, "i-0001")...)
			}
			return resets
		},
		"packets overtake each other": func(h *harness, f *flow) []tagged.Reset {
			f.send(100)
			f.send(100)
			f.retransmit(150)
			return h.advance(2*time.Second, health.Silent, "i-0001")
		},
		"a request takes long": func(h *harness, _ *flow) []tagged.Reset {
			return h.advance(5*time.Second, health.Silent, "i-0001")
		},
	}
	for name, act := range cases {
		h := newHarness(t, 1)
		f := h.openFlow(2000, feed)
		f.completeHandshake()
		f.send(100)
		h.now = h.now.Add(200 * time.Millisecond)
		if resets := act(h, f); len(resets) != 0 {
			t.Errorf("%s: %d resets of a live server's flows", name, len(resets))
		}
	}
}

func TestRestartedServerLosesItsFlows(t *testing.T) {
	h := newHarness(t, 1)
	f := h.openFlow(2000, orders)
	f.completeHandshake()
	h.backends[0].Started++
	h.publish()
	h.is.Equal(len(h.advance(tagged.TickInterval, health.Answered)), 1)
	h.is.Equal(h.openFlow(2001, orders).lastVerdict.Action, tagged.Forward)
}

func TestReusedAddressReceivesNoOldFlows(t *testing.T) {
	h := newHarness(t, 2)
	f := h.openFlow(2000, orders)
	for f.lastVerdict.ID != 1 {
		f = h.openFlow(2000+int(h.core.Counters.Placed.Load()), orders)
	}
	f.completeHandshake()
	h.backends[1].Address = h.backends[0].Address
	h.unpublishFirst()
	h.is.Equal(f.send(10).Action, tagged.Refuse)
}

func TestLoadExpiresWithItsFlows(t *testing.T) {
	h := newHarness(t, 3)
	for port := range 30 {
		f := h.openFlow(2000+port, feed)
		f.completeHandshake()
		f.send(100)
		if port%3 == 0 {
			p := f.packet
			p.Last = true
			h.core.HandlePacket(&p, h.now)
		}
	}
	h.core.SetPeerLoads(tally.UngroupedID, []tally.Load{{Tag: h.backends[0].Tag(), InFlight: 4, OpenFlows: 9}}, h.now)
	h.is.Equal(h.core.Backends()[0].PeerBusy, 4)
	h.advance(20*time.Second, health.Answered)
	for _, status := range h.core.Backends() {
		h.is.Equal([]int{status.Busy, status.Open, status.PeerBusy, status.PeerOpen}, []int{0, 0, 0, 0})
	}
}

// An answer of a single packet is acknowledged only with the next request. Until then
// the request counts as load for a few mean answer times of the route, not until the
// next request.
func TestUnacknowledgedAnswersStopCountingAsLoad(t *testing.T) {
	h := newHarness(t, 1)
	inFlight := func() int { return h.core.Backends()[0].Busy }
	f := h.openFlow(2000, feed)
	f.completeHandshake()
	for range 50 {
		f.send(100)
		h.now = h.now.Add(40 * time.Millisecond)
		f.acknowledge()
	}
	f.send(100)
	h.advance(100*time.Millisecond, health.Answered)
	h.is.Equal(inFlight(), 1)
	h.advance(100*time.Millisecond, health.Answered)
	h.is.Equal(inFlight(), 0) // three mean answer times of 40 ms have passed
	g := h.openFlow(2001, orders)
	g.completeHandshake()
	g.send(100)
	h.advance(300*time.Millisecond, health.Answered)
	h.is.Equal(inFlight(), 1) // the answer time of this route is unknown
	h.advance(200*time.Millisecond, health.Answered)
	h.is.Equal(inFlight(), 0)
}
