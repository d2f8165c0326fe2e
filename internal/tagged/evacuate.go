package tagged

// Evacuation: the backend servers of a failure domain get no new flows until the operators take
// that back.
//
// First packets go to the servers of other domains from the moment at which the table has the
// evacuation, and so do retransmissions of first packets whose flow has not opened. Open flows stay
// where they are until they end or expire: their servers live, so a reset would break a flow, and
// dropping their packets would make callers wait until their deadline for requests that the server
// can still answer. If all domains are evacuated, new flows are refused at once.
//
// Only the table decides. A balancer that starts has the evacuations before it is ready, because they
// are part of the state that it loads. One without contact to the platform and to its peers continues
// with those that it knows, as long as it reaches any other server. If the evacuated domain itself is
// cut off, its balancers reach no other server, and cannot know whether the evacuation was taken back
// meanwhile: once their table has not been confirmed for a while, they place flows on the domain's
// servers that respond. Refusing them was rejected, because their callers have no other way.

import (
	"slices"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

// EvacuationStatus is the progress of an evacuation as known to this balancer. The admin interface
// serves it as JSON.
type EvacuationStatus struct {
	Domain string
	// Since is when this balancer put the evacuation in force.
	Since time.Time
	// OpenFlows and Busy are the flows of this balancer that are still open on servers of the
	// domain, and the requests in progress on them.
	OpenFlows, Busy int
	// Packets counts the packets that this balancer has forwarded to the domain since then.
	Packets int64
	// Servers is the number of published servers that new flows avoid, ServersElsewhere that of
	// the servers of the same services that get them instead.
	Servers, ServersElsewhere int
}

// evacuation is the state of an evacuation.
type evacuation struct {
	since   time.Time
	packets int64
}

// applyEvacuations compares the evacuated domains of a new table with those in force. It returns
// the domains whose evacuation was taken back.
func (c *Core) applyEvacuations(now time.Time) (returned []string) {
	domains := c.table.EvacuatedDomains()
	for _, domain := range domains {
		if c.evacuations[domain] == nil {
			c.evacuations[domain] = &evacuation{since: now}
			c.config.Log.Info("tagged: failure domain is evacuated", "Domain", domain, "Revision", c.table.Revision.Counter())
		}
	}
	for domain, e := range c.evacuations {
		if !slices.Contains(domains, domain) {
			delete(c.evacuations, domain)
			returned = append(returned, domain)
			c.config.Log.Info("tagged: evacuation was taken back", "Domain", domain, "Span", now.Sub(e.since).String(), "Packets", e.packets)
		}
	}
	return returned
}

// addEvacuatedCandidates adds the evacuated servers of the balancer's own failure domain to the
// candidates for a new flow if the table may be out of date and no candidate is reachable.
func (c *Core) addEvacuatedCandidates(service string, excluded *target, now time.Time) {
	if !c.table.Evacuated(c.config.Domain) || now.Sub(c.tableConfirmedAt) <= maxRefusalTableAge {
		return
	}
	for _, t := range c.candidateTargets {
		if t.health.State() != health.Unreachable {
			return
		}
	}
	for _, entry := range c.table.Service(service) {
		t := c.byName[entry.Name]
		usable := entry.Domain == c.config.Domain && entry.Published() && entry.State == state.Serving && !entry.Shadowed
		if usable && t != excluded && t.health.State() == health.Alive {
			c.addCandidate(t, now)
		}
	}
}

// countEvacuatedPacket counts a packet that is forwarded to a server of an evacuated domain.
func (c *Core) countEvacuatedPacket(t *target) {
	if e := c.evacuations[t.entry.Domain]; e != nil {
		e.packets++
	}
}

// Evacuations returns the progress of all evacuations, sorted by failure domain.
func (c *Core) Evacuations() []EvacuationStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.table == nil {
		return nil
	}
	list := make([]EvacuationStatus, 0, len(c.evacuations))
	for _, domain := range c.table.EvacuatedDomains() {
		status := EvacuationStatus{Domain: domain}
		if e := c.evacuations[domain]; e != nil {
			status.Since, status.Packets = e.since, e.packets
		}
		services := make(map[string]bool)
		for _, t := range c.allTargets {
			if t.entry.Domain != domain {
				continue
			}
			status.OpenFlows += t.openFlows
			status.Busy += t.inFlight
			if t.entry.Published() {
				status.Servers++
				services[t.entry.Service] = true
			}
		}
		for service := range services {
			status.ServersElsewhere += len(c.eligible[service])
		}
		list = append(list, status)
	}
	return list
}
