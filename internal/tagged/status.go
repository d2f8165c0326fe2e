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

// computeServicesReachable leaves out the servers of evacuated failure domains, which get no new
// flows: a balancer that reaches no others passes its callers on to other failure domains. They
// count only if there are no others at all.
func (c *Core) computeServicesReachable() bool {
	reachableByService := make(map[string]bool)
	add := func(evacuated bool) {
		for _, t := range c.allTargets {
			if t.entry.Published() && t.evacuated == evacuated {
				reached := !t.dead() && t.health.State() != health.Unreachable
				reachableByService[t.entry.Service] = reachableByService[t.entry.Service] || reached
			}
		}
	}
	add(false)
	if len(reachableByService) == 0 {
		add(true)
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
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Evacuated is set while the server's failure domain is evacuated.
	Evacuated bool
	// Slowness is how many times as long as usual the server takes, and Good and Bad are the
	// outcomes of recent requests at all balancers, as far as they are learned. Ejected is set
	// while the server gets no new flows because of them.
	Slowness  float64
	Good, Bad float64
	Ejected   bool
	Busy      int
	PeerBusy  int
	Open      int
	PeerOpen  int
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
			Slots: entry.Slots, Evacuated: t.evacuated, Slowness: t.slowness(), Ejected: t.ejected(c.now),
			Good: t.learned.evidence.Good + t.learned.peerEvidence.Good, Bad: t.learned.evidence.Bad + t.learned.peerEvidence.Bad,
			Busy: t.inFlight, PeerBusy: t.peerInFlight, Open: t.openFlows, PeerOpen: t.peerOpenFlows,
		})
	}
	return list
}
