package tagged

// This file reports the state known to this balancer to operators and to the platform.

import (
	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

// ServicesReachable reports whether this balancer reaches a backend server of at
// least half of the services that have published servers. The platform sends packets
// to other balancers otherwise.
func (c *Core) ServicesReachable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reachabilityStale {
		c.reachabilityStale = false
		c.servicesReachable = c.computeServicesReachable()
	}
	return c.servicesReachable
}

func (c *Core) computeServicesReachable() bool {
	reachableByService := make(map[string]bool)
	for _, t := range c.allTargets {
		if t.entry.Published() {
			reached := !t.dead() && t.health.State() != health.Unreachable
			reachableByService[t.entry.Service] = reachableByService[t.entry.Service] || reached
		}
	}
	reachable := 0
	for _, ok := range reachableByService {
		if ok {
			reachable++
		}
	}
	return 2*reachable >= len(reachableByService)
}

// BackendStatus is the state of one backend server as known to this balancer. The
// admin interface serves it as JSON.
type BackendStatus struct {
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

// Backends returns the status of every backend server in the table, or nil without a
// table.
func (c *Core) Backends() []BackendStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.table == nil {
		return nil
	}
	list := make([]BackendStatus, 0, len(c.byName))
	for _, entry := range c.table.Entries() {
		t := c.byName[entry.Name]
		list = append(list, BackendStatus{
			Backend: entry.Name, Service: entry.Service, Domain: entry.Domain,
			Health: t.health.State(), Standing: entry.State,
			Busy: t.inFlight, PeerBusy: t.peerInFlight, Open: t.openFlows, PeerOpen: t.peerOpenFlows,
		})
	}
	return list
}
