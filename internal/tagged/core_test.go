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
		Standing: state.Serving, Started: int64(1000 + number), Revision: state.Revision(number),
	}
}

func configuration() *state.Configuration {
	shares := []state.Share{{Service: "planning", Weight: 1}}
	return &state.Configuration{Version: 3, IdleTimeout: 15 * time.Second, Routes: []state.Route{
		{Name: "feed", Listen: endpoint(feed), Shares: shares, Idempotent: true},
		{Name: "orders", Listen: endpoint(orders), Shares: shares},
	}}
}

// bench is a core with a clock of its own.
type bench struct {
	is       *is.I
	core     *tagged.Core
	now      time.Time
	backends []state.Backend
	removals []state.Removal
	// resets are those that wait has not returned yet.
	resets []tagged.Reset
}

func newBench(t *testing.T, servers int) *bench {
	b := &bench{is: is.New(t), now: start}
	b.core = tagged.New(tagged.Config{Domain: "lorient", MaxFlows: 1000, Rand: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(), Decisions: logr.Discard()})
	for number := range servers {
		b.backends = append(b.backends, server(number+1))
	}
	b.publish()
	return b
}

// publish puts the backend servers in force, confirmed as the newest.
func (b *bench) publish() {
	b.resets = append(b.resets, b.core.SetTable(state.NewTable(1, configuration(), b.backends, b.removals), b.now)...)
	b.core.Confirm(b.now)
}

// withdraw takes the first backend server off the list.
func (b *bench) withdraw() {
	b.removals = append(b.removals, state.Removal{Backend: b.backends[0], At: b.now})
	b.backends = b.backends[1:]
	b.publish()
}

// wait lets time pass with its ticks, and fails all checks of the given backend
// servers.
func (b *bench) wait(span time.Duration, result health.Result, failing ...string) []tagged.Reset {
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(tagged.TickPeriod)
		for _, check := range b.core.Tick(b.now) {
			outcome := health.Answered
			for _, name := range failing {
				if name == check.Backend {
					outcome = result
				}
			}
			b.resets = append(b.resets, b.core.Checked(check.Backend, outcome, b.now)...)
		}
	}
	resets := b.resets
	b.resets = nil
	return resets
}

// flow is a caller's side of a flow.
type flow struct {
	b    *bench
	p    tagged.Packet
	last tagged.Verdict
}

func (b *bench) open(port int, route string) *flow {
	f := &flow{b: b, p: tagged.Packet{Key: tagged.Key{Caller: endpoint(fmt.Sprintf("100.64.0.1:%d", port)), Listen: endpoint(route)}}}
	f.first(0)
	return f
}

func (f *flow) first(copies uint32) tagged.Verdict {
	p := f.p
	p.First, p.Copy = true, copies
	f.last = f.b.core.Packet(&p, f.b.now)
	return f.last
}

// answered has the caller end the handshake, with the tag of the last decision.
func (f *flow) answered() tagged.Verdict {
	f.p.Tag = f.last.Tag
	f.p.Acknowledged = 1000
	return f.packet(0)
}

func (f *flow) packet(length int) tagged.Verdict {
	p := f.p
	p.Length = length
	f.p.Sequence += uint32(length)
	return f.b.core.Packet(&p, f.b.now)
}

func (f *flow) again(length int) tagged.Verdict {
	p := f.p
	p.Sequence -= uint32(length)
	p.Length = length
	return f.b.core.Packet(&p, f.b.now)
}

func (f *flow) progress() tagged.Verdict {
	f.p.Acknowledged += 100
	return f.packet(0)
}

func TestPacketsFollowTheirTag(t *testing.T) {
	b := newBench(t, 8)
	for port := range 50 {
		f := b.open(2000+port, feed)
		b.is.Equal(f.last.Action, tagged.Forward)
		b.is.Equal(f.answered(), f.last)
		b.is.Equal(f.packet(100), f.last)
	}
}

func TestAnyBalancerKnowsTheFlow(t *testing.T) {
	b, other := newBench(t, 8), newBench(t, 8)
	f := b.open(2000, orders)
	f.answered()
	f.b = other
	b.is.Equal(f.packet(100), f.last)
	b.is.Equal(other.core.Counters.Adopted.Load(), int64(1))
}

func TestOpenFlowsGoOnWhenAllChanges(t *testing.T) {
	b := newBench(t, 3)
	f := b.open(2000, feed)
	f.answered()
	cases := map[string]func(){
		"draining": func() {
			for index := range b.backends {
				b.backends[index].Standing = state.Draining
			}
		},
		"route dropped": func() { b.core.SetTable(state.NewTable(2, &state.Configuration{Version: 9}, b.backends, nil), b.now) },
		"unconfirmed":   func() { b.now = b.now.Add(10 * time.Second) },
		"paused":        func() { b.core.Hold(b.now) },
	}
	for name, change := range cases {
		change()
		if got := f.packet(10); got != f.last {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func TestFirstPacketOfNoRoute(t *testing.T) {
	b := newBench(t, 3)
	b.is.Equal(b.open(2000, "198.18.0.9:1").last.Action, tagged.Refuse)
	b.now = b.now.Add(10 * time.Second) // nobody has confirmed the view since
	b.is.Equal(b.open(2001, "198.18.0.9:1").last.Action, tagged.Drop)
	b.is.Equal(b.open(2002, feed).last.Action, tagged.Forward)
}

func TestNothingIsResetByABalancerThatKnowsNothing(t *testing.T) {
	b := newBench(t, 1)
	f := b.open(2000, feed)
	f.answered()
	empty := tagged.New(tagged.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	b.is.Equal(empty.Packet(&f.p, b.now).Action, tagged.Drop)
	f.p.Tag = 77 // a tag of no server that is known here
	f.p.Key.Caller++
	b.is.Equal(b.core.Packet(&f.p, b.now).Action, tagged.Drop)
}

func TestPausedProcessHoldsFirstPackets(t *testing.T) {
	b := newBench(t, 2)
	b.now = b.now.Add(time.Minute)
	b.core.Hold(b.now)
	b.is.Equal(b.open(2000, feed).last.Action, tagged.Drop)
	b.core.Confirm(b.now.Add(-time.Second)) // of before the pause
	b.is.Equal(b.open(2000, feed).last.Action, tagged.Drop)
	b.core.Confirm(b.now.Add(10 * time.Millisecond))
	b.is.Equal(b.open(2000, feed).last.Action, tagged.Forward)
	b.core.Hold(b.now)
	b.now = b.now.Add(time.Second) // nobody can tell anything: it goes on
	b.is.Equal(b.open(2001, feed).last.Action, tagged.Forward)
}

func TestDrainingAndLapsedServersGetNoNewFlows(t *testing.T) {
	b := newBench(t, 3)
	b.backends[1].Standing = state.Draining
	b.withdraw()
	for port := range 8 { // as many as the one server that is left takes
		b.is.Equal(b.open(2000+port, feed).last.ID, state.BackendID(3))
	}
}

func TestLapsedServersAreTheLastResort(t *testing.T) {
	b := newBench(t, 1)
	b.withdraw()
	b.is.Equal(b.open(2000, feed).last.Action, tagged.Forward)
	b.now = b.now.Add(2500 * time.Millisecond)
	b.is.Equal(b.open(2001, feed).last.Action, tagged.Refuse)
}

func TestCopiesStayUnlessTheServerIsSuspected(t *testing.T) {
	b := newBench(t, 4)
	f := b.open(2000, feed)
	first := f.last
	b.now = b.now.Add(30 * time.Millisecond)
	b.is.Equal(f.first(1), first) // may have been answered
	b.wait(100*time.Millisecond, health.Silent, "i-0001", "i-0002", "i-0003", "i-0004")
	moved := f.first(1)
	b.is.True(moved.ID != first.ID)
	b.is.Equal(f.first(2), moved) // moves once only
}

func TestSecondCopyGoesElsewhere(t *testing.T) {
	b := newBench(t, 4)
	f := b.open(2000, feed)
	first := f.last
	b.is.True(f.first(2).ID != first.ID)
}

// The caller has opened the flow with the first server, and repeats the tag of the
// second, whose answer came late.
func TestFlowStaysWithTheServerThatOpenedIt(t *testing.T) {
	b := newBench(t, 4)
	f := b.open(2000, feed)
	first := f.last
	second := f.first(2)
	f.p.Tag, f.p.Acknowledged = first.Tag, 1000
	b.is.Equal(f.packet(0), first)
	f.p.Tag = second.Tag
	b.is.Equal(f.packet(50), first)
}

func TestDeadServer(t *testing.T) {
	cases := []struct {
		name   string
		route  string
		result health.Result
		resets int
	}{
		{"repeatable requests are reset", feed, health.Silent, 1},
		{"others may yet be answered while the server may only be out of reach", orders, health.Silent, 0},
		{"they are reset when nothing listens there", orders, health.Refused, 1},
	}
	for _, c := range cases {
		b := newBench(t, 1)
		f := b.open(2000, c.route)
		f.answered()
		f.packet(100)
		b.now = b.now.Add(200 * time.Millisecond)
		f.again(100)
		resets := b.wait(time.Second, c.result, "i-0001")
		if len(resets) != c.resets {
			t.Errorf("%s: %d resets, want %d", c.name, len(resets), c.resets)
		}
		for _, reset := range resets {
			b.is.Equal(reset, tagged.Reset{Key: f.p.Key, Sequence: 1000})
		}
	}
}

// The verdict itself asks for the resets. A copy of a first packet that comes later opens
// the flow elsewhere, and nothing resets it any more.
func TestVerdictResetsAtOnce(t *testing.T) {
	b := newBench(t, 2)
	f := b.open(2000, feed)
	dead := fmt.Sprintf("i-%04x", f.last.ID)
	b.now = b.now.Add(100 * time.Millisecond)
	var resets []tagged.Reset
	for range 2 {
		for _, check := range b.core.Tick(b.now) {
			resets = append(resets, b.core.Checked(check.Backend, health.Refused, b.now)...)
		}
		b.now = b.now.Add(tagged.TickPeriod)
	}
	b.is.Equal(resets, []tagged.Reset{{Key: f.p.Key}})
	again := f.first(1)
	b.is.Equal(again.Action, tagged.Forward)
	b.is.True(fmt.Sprintf("i-%04x", again.ID) != dead)
	f.answered()
	b.is.Equal(len(b.wait(time.Second, health.Refused, dead)), 0)
}

func TestLiveServerIsNeverTakenForDead(t *testing.T) {
	cases := map[string]func(b *bench, f *flow) []tagged.Reset{
		"checks are answered": func(b *bench, f *flow) []tagged.Reset {
			f.again(100)
			return b.wait(2*time.Second, health.Answered)
		},
		"checks fail, but another flow makes progress": func(b *bench, f *flow) []tagged.Reset {
			other := b.open(3000, feed)
			other.answered()
			f.again(100)
			resets := b.wait(100*time.Millisecond, health.Silent, "i-0001")
			for range 20 {
				other.progress()
				resets = append(resets, b.wait(50*time.Millisecond, health.Silent, "i-0001")...)
			}
			return resets
		},
		"packets overtake each other": func(b *bench, f *flow) []tagged.Reset {
			f.packet(100)
			f.packet(100)
			f.again(150)
			return b.wait(2*time.Second, health.Silent, "i-0001")
		},
		"the server works for long": func(b *bench, _ *flow) []tagged.Reset {
			return b.wait(5*time.Second, health.Silent, "i-0001")
		},
	}
	for name, play := range cases {
		b := newBench(t, 1)
		f := b.open(2000, feed)
		f.answered()
		f.packet(100)
		b.now = b.now.Add(200 * time.Millisecond)
		if resets := play(b, f); len(resets) != 0 {
			t.Errorf("%s: %d resets of a live server's flows", name, len(resets))
		}
	}
}

func TestRestartedServerLosesItsFlows(t *testing.T) {
	b := newBench(t, 1)
	f := b.open(2000, orders)
	f.answered()
	b.backends[0].Started++
	b.publish()
	b.is.Equal(len(b.wait(tagged.TickPeriod, health.Answered)), 1)
	b.is.Equal(b.open(2001, orders).last.Action, tagged.Forward)
}

func TestReusedAddressGetsNoForeignFlow(t *testing.T) {
	b := newBench(t, 2)
	f := b.open(2000, orders)
	for f.last.ID != 1 {
		f = b.open(2000+int(b.core.Counters.Placed.Load()), orders)
	}
	f.answered()
	b.backends[1].Address = b.backends[0].Address
	b.withdraw()
	b.is.Equal(f.packet(10).Action, tagged.Refuse)
}

func TestLoadIsForgottenWithItsFlows(t *testing.T) {
	b := newBench(t, 3)
	for port := range 30 {
		f := b.open(2000+port, feed)
		f.answered()
		f.packet(100)
		if port%3 == 0 {
			p := f.p
			p.Last = true
			b.core.Packet(&p, b.now)
		}
	}
	b.core.TakeTotals(tally.UngroupedID, []tally.Load{{Tag: b.backends[0].Tag(), InFlight: 4, OpenFlows: 9}}, b.now)
	b.is.Equal(b.core.Backends()[0].PeerBusy, 4)
	b.wait(20*time.Second, health.Answered)
	for _, status := range b.core.Backends() {
		b.is.Equal([]int{status.Busy, status.Open, status.PeerBusy, status.PeerOpen}, []int{0, 0, 0, 0})
	}
}

// An answer of one packet is acknowledged with the next request. Until then its request
// counts as load for a few of the route's mean answers, not for good.
func TestUnacknowledgedAnswersAreNoLoad(t *testing.T) {
	b := newBench(t, 1)
	busy := func() int { return b.core.Backends()[0].Busy }
	f := b.open(2000, feed)
	f.answered()
	for range 50 {
		f.packet(100)
		b.now = b.now.Add(40 * time.Millisecond)
		f.progress()
	}
	f.packet(100)
	b.wait(100*time.Millisecond, health.Answered)
	b.is.Equal(busy(), 1)
	b.wait(100*time.Millisecond, health.Answered)
	b.is.Equal(busy(), 0) // three means of 40 ms have passed
	g := b.open(2001, orders)
	g.answered()
	g.packet(100)
	b.wait(300*time.Millisecond, health.Answered)
	b.is.Equal(busy(), 1) // nothing is known of this route's answers
	b.wait(200*time.Millisecond, health.Answered)
	b.is.Equal(busy(), 0)
}
