package tagged

// Load that balancers tell each other.

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

// reportLife is how long a peer's report counts. Peers report several times a
// second.
const reportLife = 2 * time.Second

// Load is one balancer's load on one backend server.
type Load struct {
	Tag state.Tag
	// Busy is the requests in progress, Open the open flows.
	Busy, Open int
}

// peerLoad is a peer's report, with the servers that it speaks of.
type peerLoad struct {
	at      time.Time
	targets []*target
	loads   []Load
}

// Loads appends this balancer's load to a list.
func (c *Core) Loads(list []Load) []Load {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, t := range c.list {
		if t.busy != 0 || t.open != 0 {
			list = append(list, Load{Tag: t.entry.Tag, Busy: t.busy, Open: t.open})
		}
	}
	return list
}

// TakeLoads replaces what a peer has told. The core keeps the list.
func (c *Core) TakeLoads(peer string, loads []Load, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers[peer].add(-1)
	report := peerLoad{at: now, loads: loads, targets: make([]*target, len(loads))}
	for index, load := range loads {
		report.targets[index] = c.byTag[load.Tag]
	}
	report.add(1)
	c.peers[peer] = report
}

// add adds a report to the sums of its servers, or takes it off again.
func (p peerLoad) add(sign int) {
	for index, t := range p.targets {
		if t != nil {
			t.peerBusy += sign * p.loads[index].Busy
			t.peerOpen += sign * p.loads[index].Open
		}
	}
}

// forgetPeers drops the reports of peers that are silent.
func (c *Core) forgetPeers(now time.Time) {
	for name, report := range c.peers {
		if now.Sub(report.at) > reportLife {
			report.add(-1)
			delete(c.peers, name)
		}
	}
}

// Reachable reports whether this balancer can serve at least half of the services
// that have published servers.
func (c *Core) Reachable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reachStale {
		c.reachStale = false
		c.reachable = c.reaches()
	}
	return c.reachable
}

func (c *Core) reaches() bool {
	served := make(map[string]bool)
	for _, t := range c.list {
		if t.entry.Published() {
			reached := !t.dead() && t.health.State() != health.Unreachable
			served[t.entry.Service] = served[t.entry.Service] || reached
		}
	}
	reachable := 0
	for _, ok := range served {
		if ok {
			reachable++
		}
	}
	return 2*reachable >= len(served)
}

// Status is what is believed of one backend server, for operators.
type Status struct {
	Backend  string
	Service  string
	Domain   string
	Health   health.State
	Standing state.Standing
	Busy     int
	PeerBusy int
	Open     int
	PeerOpen int
}

// Backends lists what is believed of all backend servers in the table.
func (c *Core) Backends() []Status {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.table == nil {
		return nil
	}
	list := make([]Status, 0, len(c.targets))
	for _, entry := range c.table.Entries() {
		t := c.targets[entry.Name]
		list = append(list, Status{
			Backend: entry.Name, Service: entry.Service, Domain: entry.Domain,
			Health: t.health.State(), Standing: entry.Standing,
			Busy: t.busy, PeerBusy: t.peerBusy, Open: t.open, PeerOpen: t.peerOpen,
		})
	}
	return list
}
