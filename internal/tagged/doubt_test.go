package tagged_test

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// newHarnessInThreeDomains returns a harness with six servers in three failure
// domains, one peer, and an open flow on each server.
func newHarnessInThreeDomains(t *testing.T) (*harness, map[state.BackendID]*flow) {
	h := newHarness(t, 6)
	for index := range h.backends {
		h.backends[index].Domain = []string{"lorient", "vannes", "quimper"}[index%3]
	}
	h.publish()
	open := make(map[state.BackendID]*flow)
	for index := range h.backends {
		// The flow was placed by another balancer.
		key := tagged.Key{Caller: state.NewEndpoint(0x64400001, uint16(2000+index)), Listen: endpoint(feed)}
		f := &flow{harness: h, packet: tagged.Packet{Key: key, Tag: h.backends[index].Tag(), Acknowledged: 1000}}
		f.lastVerdict = f.send(0)
		f.acknowledge()
		open[f.lastVerdict.ID] = f
	}
	h.advance(time.Second, health.Answered)
	h.setOnePeer()
	return h, open
}

// setOnePeer sets the number of known peers to 1.
func (h *harness) setOnePeer() { h.core.SetPeerCount(1) }

// retransmitAll has the callers of the given flows send data and retransmit it
// without an answer.
func (h *harness) retransmitAll(open map[state.BackendID]*flow) {
	for _, f := range open {
		f.send(100)
	}
	h.advance(200*time.Millisecond, health.Answered)
	for _, f := range open {
		f.retransmit(100)
	}
	h.setOnePeer()
}

var allServers = []string{"i-0001", "i-0002", "i-0003", "i-0004", "i-0005", "i-0006"}

// healthByName returns the state of each server by its name.
func (h *harness) healthByName() map[string]health.State {
	states := make(map[string]health.State)
	for _, status := range h.core.Backends() {
		states[status.Backend] = status.Health
	}
	return states
}

// allTags returns the tags of all servers.
func (h *harness) allTags() []state.Tag {
	var list []state.Tag
	for index := range h.backends {
		list = append(list, h.backends[index].Tag())
	}
	return list
}

func TestSilenceAcrossDomainsIsInconclusive(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	h.retransmitAll(open)
	for range 4 {
		h.is.Equal(len(h.advance(400*time.Millisecond, health.Silent, allServers...)), 0)
		h.setOnePeer()
	}
	h.is.Equal(h.healthByName()["i-0001"], health.Unreachable)
	h.is.True(!h.core.ServicesReachable()) // the platform sends packets to other balancers
	h.is.True(len(h.core.PopReachabilityQueries()) > 0)
	verdict := open[1].send(200)
	h.is.Equal(verdict.Action, tagged.Forward) // the server may be alive
}

func TestPeerConfirmsSilence(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	h.retransmitAll(open)
	h.is.Equal(len(h.advance(tagged.TickInterval, health.Silent, allServers...)), 0)
	queries := h.core.PopReachabilityQueries()
	h.is.Equal(len(queries), 6)
	h.core.HandleReachabilityReport("entry-2", tagged.ReachabilityReport{Silent: h.allTags()}, h.now)
	h.is.Equal(len(h.advance(200*time.Millisecond, health.Silent, allServers...)), 6) // all flows are reset
	h.is.Equal(h.healthByName()["i-0004"], health.Dead)
}

func TestServerReachedByPeerIsNotDead(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	h.retransmitAll(map[state.BackendID]*flow{2: open[2]})
	h.advance(100*time.Millisecond, health.Silent, "i-0002")
	h.core.HandleReachabilityReport("entry-2", tagged.ReachabilityReport{Alive: h.allTags()[1:2]}, h.now)
	h.is.Equal(len(h.advance(800*time.Millisecond, health.Silent, "i-0002")), 0)
	h.is.Equal(h.healthByName()["i-0002"], health.Unreachable)
}

// If no peer answers the query, a single silent server is dead after some more
// checks.
func TestServerIsDeadWithoutPeerReport(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	h.retransmitAll(map[state.BackendID]*flow{2: open[2]})
	h.is.Equal(len(h.advance(300*time.Millisecond, health.Silent, "i-0002")), 0)
	h.is.Equal(len(h.advance(700*time.Millisecond, health.Silent, "i-0002")), 1)
	h.is.Equal(h.healthByName()["i-0002"], health.Dead)
}

func TestRefusedChecksAreConclusive(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	h.retransmitAll(open)
	h.is.Equal(len(h.advance(300*time.Millisecond, health.Refused, allServers...)), 6)
}

func TestLateTicksDeclareNoServerDead(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	h.retransmitAll(map[state.BackendID]*flow{2: open[2]})
	h.core.HandleReachabilityReport("entry-2", tagged.ReachabilityReport{Silent: h.allTags()}, h.now)
	for range 3 {
		h.now = h.now.Add(300 * time.Millisecond) // no tick ran
		h.is.Equal(len(h.advance(100*time.Millisecond, health.Silent, "i-0002")), 0)
	}
	h.core.HandleReachabilityReport("entry-2", tagged.ReachabilityReport{Silent: h.allTags()}, h.now)
	h.is.Equal(len(h.advance(time.Second, health.Silent, "i-0002")), 1)
}

func TestAnswerReachabilityQuery(t *testing.T) {
	h, open := newHarnessInThreeDomains(t)
	open[3].acknowledge()
	report, checks := h.core.AnswerReachabilityQuery(h.allTags(), h.now)
	h.is.Equal(report.Alive, h.allTags()[2:3]) // a flow on it has just made progress
	h.is.Equal(len(checks), 5)
	h.is.Equal(h.core.HandlePeerCheckResult(checks[0], health.Answered, h.now), tagged.ReachabilityReport{Alive: h.allTags()[:1]})
	h.is.Equal(h.core.HandlePeerCheckResult(checks[1], health.Silent, h.now), tagged.ReachabilityReport{Silent: h.allTags()[1:2]})
	again, checks := h.core.AnswerReachabilityQuery(h.allTags()[1:2], h.now.Add(100*time.Millisecond))
	h.is.Equal(again.Silent, h.allTags()[1:2]) // known from the check above
	h.is.Equal(len(checks), 0)
	for range 10 {
		_, more := h.core.AnswerReachabilityQuery(h.allTags()[3:], h.now)
		checks = append(checks, more...)
	}
	h.is.True(len(checks) < 20) // the checks on behalf of peers are limited
}
