package tagged_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// newDomainHarness returns a harness with four servers in each of two failure domains, with the
// odd numbers in "lorient" and the even ones in "vannes".
func newDomainHarness(t *testing.T) *harness {
	h := newHarness(t, 8)
	for index := 1; index < 8; index += 2 {
		h.backends[index].Domain = "vannes"
	}
	h.publish()
	return h
}

// setEvacuated publishes the failure domains under evacuation.
func (h *harness) setEvacuated(domains ...string) {
	r := state.NewReplica()
	delta := state.Delta{Full: true, To: 1, Backends: h.backends, Configuration: h.configuration()}
	for _, domain := range domains {
		delta.Evacuations = append(delta.Evacuations, state.Evacuation{Domain: domain, Active: true, Revision: 1})
	}
	if _, err := r.Apply(delta, h.now); err != nil {
		panic(err)
	}
	h.resets = append(h.resets, h.core.SetTable(r.Table(), h.now)...)
	h.core.ConfirmTable(h.now)
}

// domainOf returns the failure domain of the server that a verdict names.
func (h *harness) domainOf(v tagged.Verdict) string {
	for _, backend := range h.backends {
		if backend.ID == v.ID {
			return backend.Domain
		}
	}
	return ""
}

// First packets must avoid an evacuated domain, open flows there must go on, and the domain must
// get flows again once the evacuation is taken back.
func TestNewFlowsAvoidEvacuatedDomain(t *testing.T) {
	h := newDomainHarness(t)
	var open []*flow
	for port := range 40 {
		f := h.openFlow(2000+port, feed)
		f.completeHandshake()
		open = append(open, f)
	}
	h.setEvacuated("lorient")
	left := 0
	for _, f := range open {
		h.is.Equal(f.send(10), f.lastVerdict)
		if h.domainOf(f.lastVerdict) == "lorient" {
			left++
		}
	}
	for port := range 40 {
		h.is.Equal(h.domainOf(h.openFlow(3000+port, orders).lastVerdict), "vannes")
	}
	h.is.Equal(len(h.resets), 0)
	status := h.core.Evacuations()
	h.is.Equal(len(status), 1)
	h.is.Equal(status[0].OpenFlows, left)
	h.is.Equal(status[0].Packets, int64(left))
	h.is.Equal(status[0].Servers, 4)
	h.is.Equal(status[0].ServersElsewhere, 4)
	h.setEvacuated()
	back := 0
	for port := range 40 {
		if h.domainOf(h.openFlow(4000+port, feed).lastVerdict) == "lorient" {
			back++
		}
	}
	h.is.True(back > 0)
	h.is.Equal(len(h.core.Evacuations()), 0)
}

// A retransmitted first packet must not open a flow in a domain that was evacuated after the first
// transmission.
func TestRetransmitLeavesEvacuatedDomain(t *testing.T) {
	h := newDomainHarness(t)
	for port := range 40 {
		f := h.openFlow(2000+port, feed)
		if h.domainOf(f.lastVerdict) != "lorient" {
			continue
		}
		h.setEvacuated("lorient")
		h.is.Equal(h.domainOf(f.sendFirst(1)), "vannes")
		h.is.Equal(h.domainOf(f.sendFirst(2)), "vannes")
		// Another balancer, or one that has started since, has no record of the flow.
		f.harness = newDomainHarness(t)
		f.harness.setEvacuated("lorient")
		h.is.Equal(h.domainOf(f.sendFirst(2)), "vannes")
		h.setEvacuated()
	}
}

// With all domains evacuated there is no server for a new flow. It is refused at once, and open
// flows go on.
func TestAllDomainsEvacuated(t *testing.T) {
	h := newDomainHarness(t)
	f, unopened := h.openFlow(2000, orders), h.openFlow(2002, orders)
	f.completeHandshake()
	h.setEvacuated("lorient", "vannes")
	h.is.Equal(h.openFlow(2001, orders).lastVerdict.Action, tagged.Refuse)
	h.is.Equal(f.send(10), f.lastVerdict)
	h.is.Equal(unopened.sendFirst(1).Action, tagged.Drop) // it may just have opened
	h.setEvacuated("lorient")
	h.is.Equal(h.domainOf(h.openFlow(2003, orders).lastVerdict), "vannes")
}

// Callers of an evacuated domain that is cut off have only its servers left. They were refused for
// as long as the cut lasted.
func TestEvacuatedDomainThatIsCutOff(t *testing.T) {
	h := newDomainHarness(t)
	h.setEvacuated("lorient")
	remote := []string{"i-0002", "i-0004", "i-0006", "i-0008"}
	for port := range 12 {
		h.openFlow(2000+port, feed)
	}
	h.advance(time.Second, health.Silent, remote...)
	h.is.Equal(h.openFlow(3000, feed).lastVerdict.Action, tagged.Refuse) // the table is recent
	h.advance(1500*time.Millisecond, health.Silent, remote...)
	h.is.Equal(h.domainOf(h.openFlow(3001, feed).lastVerdict), "lorient")
	h.setEvacuated("lorient") // in contact again
	h.is.Equal(h.openFlow(3002, feed).lastVerdict.Action, tagged.Refuse)
}

// coldHarness returns a harness of a balancer named entry-1, of whose service cold servers have a
// limited rate. The first four servers, two of each domain, are cold for 2 s.
func coldHarness(t *testing.T, coldCount int) *harness {
	h := newDomainHarness(t)
	h.services = []state.Service{{Name: "planning", ColdRate: 2, ColdStart: 2 * time.Second}}
	h.core = tagged.New(tagged.Config{
		Name: "entry-1", Domain: "lorient", MaxFlows: 1000, Rand: rand.New(rand.NewPCG(1, 2)),
		Log: logr.Discard(), DecisionLog: logr.Discard(), ColdOverage: 1.5, ColdSlack: 5,
	})
	h.core.SetMembers(tagged.Members{Names: []string{"entry-1", "entry-2"}, Settled: true})
	for index := range coldCount {
		h.backends[index].ColdUntil = h.now.Add(2 * time.Second)
	}
	h.publish()
	return h
}

// Each balancer of the domain uses its share of a cold server's rate and no more, and balancers of
// other domains none: 2 x 1.5 + 5 requests per second, of which four fifths are divided by two.
func TestColdServersGetTheirShareOfTheRate(t *testing.T) {
	h := coldHarness(t, 4)
	flows := make(map[state.BackendID]int)
	for port := range 200 {
		f := h.openFlow(2000+port, feed)
		flows[f.lastVerdict.ID]++
		f.completeHandshake()
		h.now = h.now.Add(4 * time.Millisecond)
	}
	h.is.Equal(flows[1], 3)
	h.is.Equal(flows[3], 3)
	h.is.Equal(flows[2]+flows[4], 0) // cold servers of the other domain
	h.is.Equal(flows[1]+flows[3]+flows[5]+flows[6]+flows[7]+flows[8], 200)
}

// A balancer that the others may not know yet must not use a share.
func TestNewcomerPlacesNothingOnColdServers(t *testing.T) {
	h := coldHarness(t, 4)
	h.core.SetMembers(tagged.Members{Names: []string{"entry-1"}, Settled: false})
	for port := range 50 {
		f := h.openFlow(2000+port, feed)
		h.is.True(f.lastVerdict.ID > 4)
		f.completeHandshake()
	}
}

// If all servers are cold and their rates are used up, first packets are dropped while the caller
// will retransmit them, and refused after that.
func TestFirstPacketsBeyondAllRates(t *testing.T) {
	h := coldHarness(t, 8)
	actions := make(map[tagged.Action]int)
	for port := range 30 {
		actions[h.openFlow(2000+port, feed).lastVerdict.Action]++
	}
	h.is.Equal(actions[tagged.Forward], 4*3)
	h.is.Equal(actions[tagged.Drop], 30-4*3)
	last := h.openFlow(3000, feed)
	h.is.Equal(last.sendFirst(1).Action, tagged.Drop)
	h.is.Equal(last.sendFirst(2).Action, tagged.Refuse)
	h.now = h.now.Add(1100 * time.Millisecond)
	h.is.Equal(h.openFlow(3001, feed).lastVerdict.Action, tagged.Forward)
}

// Servers whose domain returns from an evacuation are cold for a while, whether their entries say
// so yet or not.
func TestReturnedDomainIsCold(t *testing.T) {
	h := coldHarness(t, 0)
	h.setEvacuated("lorient")
	h.setEvacuated()
	flows := make(map[state.BackendID]int)
	for port := range 100 {
		flows[h.openFlow(2000+port, feed).lastVerdict.ID]++
	}
	for id := state.BackendID(1); id <= 7; id += 2 {
		h.is.Equal(flows[id], 3)
	}
	h.now = h.now.Add(2100 * time.Millisecond)
	back := 0
	for port := range 100 {
		if h.domainOf(h.openFlow(4000+port, feed).lastVerdict) == "lorient" {
			back++
		}
	}
	h.is.True(back > 12)
}
