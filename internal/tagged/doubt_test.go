package tagged_test

import (
	"testing"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// spread gives a bench six servers in three failure domains, a peer, and an open flow on
// each server.
func spread(t *testing.T) (*bench, map[state.BackendID]*flow) {
	b := newBench(t, 6)
	for index := range b.backends {
		b.backends[index].Domain = []string{"lorient", "vannes", "quimper"}[index%3]
	}
	b.publish()
	open := make(map[state.BackendID]*flow)
	for index := range b.backends {
		// Another balancer has placed it.
		key := tagged.Key{Caller: state.NewEndpoint(0x64400001, uint16(2000+index)), Listen: endpoint(feed)}
		f := &flow{b: b, p: tagged.Packet{Key: key, Tag: b.backends[index].Tag(), Acknowledged: 1000}}
		f.last = f.packet(0)
		f.progress()
		open[f.last.ID] = f
	}
	b.wait(time.Second, health.Answered)
	b.hear()
	return b, open
}

// hear has a peer be known.
func (b *bench) hear() { b.core.SetPeers(1) }

// silence has the callers of all flows repeat what no server answers.
func (b *bench) silence(open map[state.BackendID]*flow) {
	for _, f := range open {
		f.packet(100)
	}
	b.wait(200*time.Millisecond, health.Answered)
	for _, f := range open {
		f.again(100)
	}
	b.hear()
}

var all = []string{"i-0001", "i-0002", "i-0003", "i-0004", "i-0005", "i-0006"}

// healthOf returns what is believed of each server.
func (b *bench) healthOf() map[string]health.State {
	states := make(map[string]health.State)
	for _, status := range b.core.Backends() {
		states[status.Backend] = status.Health
	}
	return states
}

// tags returns those of all servers.
func (b *bench) tags() []state.Tag {
	var list []state.Tag
	for index := range b.backends {
		list = append(list, b.backends[index].Tag())
	}
	return list
}

func TestServersOfAllDomainsSilentAtOnce(t *testing.T) {
	b, open := spread(t)
	b.silence(open)
	for range 4 {
		b.is.Equal(len(b.wait(400*time.Millisecond, health.Silent, all...)), 0)
		b.hear()
	}
	b.is.Equal(b.healthOf()["i-0001"], health.Unreachable)
	b.is.True(!b.core.Reachable()) // the platform is to send packets elsewhere
	b.is.True(len(b.core.TakeInquiries()) > 0)
	verdict := open[1].packet(200)
	b.is.Equal(verdict.Action, tagged.Forward) // the server may well live
}

func TestOthersFindThemSilentToo(t *testing.T) {
	b, open := spread(t)
	b.silence(open)
	b.is.Equal(len(b.wait(tagged.TickPeriod, health.Silent, all...)), 0)
	inquiries := b.core.TakeInquiries()
	b.is.Equal(len(inquiries), 6)
	b.core.TakeOpinion("entry-2", tagged.Opinion{Silent: b.tags()}, b.now)
	b.is.Equal(len(b.wait(200*time.Millisecond, health.Silent, all...)), 6) // all flows are reset
	b.is.Equal(b.healthOf()["i-0004"], health.Dead)
}

func TestOneServerReachedElsewhere(t *testing.T) {
	b, open := spread(t)
	b.silence(map[state.BackendID]*flow{2: open[2]})
	b.wait(100*time.Millisecond, health.Silent, "i-0002")
	b.core.TakeOpinion("entry-2", tagged.Opinion{Alive: b.tags()[1:2]}, b.now)
	b.is.Equal(len(b.wait(800*time.Millisecond, health.Silent, "i-0002")), 0)
	b.is.Equal(b.healthOf()["i-0002"], health.Unreachable)
}

// Nobody answers: a single server is dead after some more checks.
func TestOneServerThatNobodySpeaksOf(t *testing.T) {
	b, open := spread(t)
	b.silence(map[state.BackendID]*flow{2: open[2]})
	b.is.Equal(len(b.wait(300*time.Millisecond, health.Silent, "i-0002")), 0)
	b.is.Equal(len(b.wait(700*time.Millisecond, health.Silent, "i-0002")), 1)
	b.is.Equal(b.healthOf()["i-0002"], health.Dead)
}

func TestRefusedChecksLeaveNoDoubt(t *testing.T) {
	b, open := spread(t)
	b.silence(open)
	b.is.Equal(len(b.wait(300*time.Millisecond, health.Refused, all...)), 6)
}

func TestLateProcessorJudgesNobody(t *testing.T) {
	b, open := spread(t)
	b.silence(map[state.BackendID]*flow{2: open[2]})
	b.core.TakeOpinion("entry-2", tagged.Opinion{Silent: b.tags()}, b.now)
	for range 3 {
		b.now = b.now.Add(300 * time.Millisecond) // nothing ran
		b.is.Equal(len(b.wait(100*time.Millisecond, health.Silent, "i-0002")), 0)
	}
	b.core.TakeOpinion("entry-2", tagged.Opinion{Silent: b.tags()}, b.now)
	b.is.Equal(len(b.wait(time.Second, health.Silent, "i-0002")), 1)
}

func TestOpinionForAnother(t *testing.T) {
	b, open := spread(t)
	open[3].progress()
	opinion, checks := b.core.Opine(b.tags(), b.now)
	b.is.Equal(opinion.Alive, b.tags()[2:3]) // it has just shown life
	b.is.Equal(len(checks), 5)
	b.is.Equal(b.core.Observed(checks[0], health.Answered, b.now), tagged.Opinion{Alive: b.tags()[:1]})
	b.is.Equal(b.core.Observed(checks[1], health.Silent, b.now), tagged.Opinion{Silent: b.tags()[1:2]})
	again, checks := b.core.Opine(b.tags()[1:2], b.now.Add(100*time.Millisecond))
	b.is.Equal(again.Silent, b.tags()[1:2]) // known since just now
	b.is.Equal(len(checks), 0)
	for range 10 {
		_, more := b.core.Opine(b.tags()[3:], b.now)
		checks = append(checks, more...)
	}
	b.is.True(len(checks) < 20) // what others may have checked is bounded
}
