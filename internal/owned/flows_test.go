package owned_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/model"
)

const (
	hopDelay     = 1500 * time.Microsecond
	controlBytes = 4000
)

// bench runs a test on a timer fleet whose balancers have found each other.
func bench(t *testing.T, settings model.Config, run func(b *model.Bench, fleet model.FleetConfig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := model.TimerFleet()
		settings.Instances = fleet.Instances()
		settings.Documents = fleet.Documents()
		settings.Delay = hopDelay
		settings.ControlBytesPerSecond = controlBytes
		settings.Log = logr.Discard()
		b, err := model.New(settings)
		is.New(t).NoErr(err)
		b.Run(4 * time.Second)
		run(b, fleet)
	})
}

// lines opens flows that stay open and talk now and then.
func lines(b *model.Bench, documents config.Documents, count int, talk time.Duration) {
	planning := model.Line{Service: documents.Services[0], Talk: talk}
	journal := model.Line{Service: documents.Services[1], Talk: talk}
	b.Callers.StartMany(count, 5*time.Second, planning)
	b.Callers.StartMany(count/4, 5*time.Second, journal)
	b.Run(8 * time.Second)
}

// unharmed checks the promises that hold for every flow.
func unharmed(t *testing.T, b *model.Bench) {
	t.Helper()
	is := is.New(t)
	for _, why := range b.Callers.BrokenWhy {
		t.Log(why)
	}
	is.Equal(b.Callers.Broken, 0)              // broken flows
	is.Equal(b.Callers.Misrouted, 0)           // packets at another service's backend server
	is.Equal(b.Callers.Doubled, 0)             // requests run twice
	is.Equal(b.Callers.TwoServed, 0)           // flows seen by two backend servers
	is.Equal(b.Callers.RefusedAfterForward, 0) // untrue refusals
	is.Equal(b.Callers.WrongAnswers, 0)        // answers that are not whole
	is.Equal(b.Callers.Unanswered, 0)          // flows never opened
}

// settle lets every open flow speak once more and checks that all were answered.
func settle(t *testing.T, b *model.Bench) {
	t.Helper()
	b.Callers.Ask()
	b.Run(40 * time.Second)
	unharmed(t, b)
	is.New(t).Equal(b.Callers.Waiting(), 0) // flows still waiting for an answer
}

func TestFlowsReachOneBackend(t *testing.T) {
	bench(t, model.Config{Seed: 1}, func(b *model.Bench, fleet model.FleetConfig) {
		lines(b, fleet.Documents(), 1000, 5*time.Second)
		settle(t, b)
		is.New(t).Equal(b.Callers.OpenFlows(), 1250)
	})
}

func TestOwnerKilled(t *testing.T) {
	bench(t, model.Config{Seed: 2}, func(b *model.Bench, fleet model.FleetConfig) {
		lines(b, fleet.Documents(), 1000, 0)
		b.Kill(b.Nodes[0])
		b.Run(10 * time.Second)
		settle(t, b)
	})
}

func TestOwnerAndReplicaKilledTogether(t *testing.T) {
	bench(t, model.Config{Seed: 3}, func(b *model.Bench, fleet model.FleetConfig) {
		lines(b, fleet.Documents(), 1000, 0)
		b.Kill(b.Nodes[0])
		b.Kill(b.Nodes[1])
		b.Run(10 * time.Second)
		settle(t, b)
	})
}

func TestBalancersReplacedOneByOne(t *testing.T) {
	bench(t, model.Config{Seed: 4}, func(b *model.Bench, fleet model.FleetConfig) {
		lines(b, fleet.Documents(), 1000, 7*time.Second)
		first := append([]*model.Node(nil), b.Nodes...)
		for index, node := range first {
			b.Add(fleet.Instance(len(first) + index))
			b.Run(8 * time.Second)
			b.Leave(node)
			b.Run(8 * time.Second)
		}
		settle(t, b)
	})
}

// change drains one backend server, adds one and halves a weight.
func change(documents config.Documents, fleet model.FleetConfig, step int) config.Documents {
	service := documents.Services[0]
	service.Backends = append([]config.Backend(nil), service.Backends...)
	service.Backends[step].State = config.Leaving
	service.Backends[step+5].Weight = 50
	service.Backends = append(service.Backends, fleet.Backend(service.Name, 0, 100+step))
	documents.Services = append([]config.Service{service}, documents.Services[1:]...)
	return documents
}

func TestOwnerKilledRightAfterChange(t *testing.T) {
	bench(t, model.Config{Seed: 5}, func(b *model.Bench, fleet model.FleetConfig) {
		lines(b, fleet.Documents(), 1000, 0)
		is.New(t).NoErr(b.Publish(change(fleet.Documents(), fleet, 0)))
		b.Run(300 * time.Millisecond)
		b.Kill(b.Nodes[0])
		b.Kill(b.Nodes[3])
		b.Run(10 * time.Second)
		settle(t, b)
	})
}

func TestBalancersReplacedWhileBackendsChange(t *testing.T) {
	bench(t, model.Config{Seed: 6}, func(b *model.Bench, fleet model.FleetConfig) {
		documents := fleet.Documents()
		lines(b, documents, 1000, 7*time.Second)
		first := append([]*model.Node(nil), b.Nodes...)
		for index, node := range first {
			documents = change(documents, fleet, index%4)
			is.New(t).NoErr(b.Publish(documents))
			b.Add(fleet.Instance(len(first) + index))
			lines(b, documents, 100, 0)
			b.Leave(node)
			b.Run(8 * time.Second)
		}
		settle(t, b)
	})
}

// TestKillSoonAfterLeave is what make demo found: the fleet's start had used the
// control budget up, so that replicas were not brought up to date between a leave
// and a kill, and packets of known slots were dropped in doubt.
func TestKillSoonAfterLeave(t *testing.T) {
	bench(t, model.Config{Seed: 7}, func(b *model.Bench, fleet model.FleetConfig) {
		lines(b, fleet.Documents(), 1000, 3*time.Second)
		b.Leave(b.Nodes[2])
		b.Run(2500 * time.Millisecond)
		b.Kill(b.Nodes[5])
		b.Run(10 * time.Second)
		var doubted int64
		for _, node := range b.Nodes {
			doubted += node.Core.Counters.DroppedDoubt.Load()
		}
		is.New(t).Equal(doubted, int64(0)) // packets dropped in doubt
		settle(t, b)
	})
}

// TestDatagramFlowsStay: each UDP flow is seen by one backend server, silent ones
// too, while backend servers change and owners die.
func TestDatagramFlowsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := model.TimerFleet()
		documents := fleet.Documents()
		documents.Services[0].Protocol = flow.UDP
		b, err := model.New(model.Config{
			Seed:                  9,
			Instances:             fleet.Instances(),
			Documents:             documents,
			Delay:                 hopDelay,
			ControlBytesPerSecond: controlBytes,
			Log:                   logr.Discard(),
		})
		is.NoErr(err)
		b.Run(5 * time.Second)
		send := func(first, count int) {
			for number := first; number < first+count; number++ {
				is.NoErr(b.Callers.SendDatagram(callerOf(number), documents.Services[0].Address))
			}
			b.Run(time.Second)
		}
		const flows = 600
		send(0, flows)
		send(0, flows/2)
		b.Kill(b.Nodes[0])
		b.Run(15 * time.Second)
		send(flows, flows)
		// Half of the flows have been silent since before the owner died.
		send(0, flows)
		b.Leave(b.Nodes[2])
		b.Run(15 * time.Second)
		send(0, 2*flows)
		is.Equal(b.Callers.TwoServed, 0) // flows seen by two backend servers
		is.Equal(b.Callers.Misrouted, 0) // packets at another service's backend server
	})
}
