package tagged

// What operators and the platform may know of this balancer's beliefs.

import (
	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

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
	Standing state.BackendState
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
			Health: t.health.State(), Standing: entry.State,
			Busy: t.busy, PeerBusy: t.peerBusy, Open: t.open, PeerOpen: t.peerOpen,
		})
	}
	return list
}
