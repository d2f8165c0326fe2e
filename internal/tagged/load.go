package tagged

// This file exchanges load with the other balancers. The servers are split into groups,
// and one balancer, the collector, adds up the reports on each group (package tally).

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tally"
)

const (
	// busyReportInterval is the minimum interval between two reports on a group with
	// at least half of its slots in use, whose load changes quickly;
	// normalReportInterval is that of other groups. The interval is also at least
	// busyIntervalPerGroup or normalIntervalPerGroup times the number of used groups,
	// which limits a balancer to 25 reports per second.
	busyReportInterval     = TickInterval
	busyIntervalPerGroup   = 40 * time.Millisecond
	normalReportInterval   = 4 * TickInterval
	normalIntervalPerGroup = 60 * time.Millisecond
	// remoteReportInterval replaces normalReportInterval for groups of other failure
	// domains while the balancer's own domain has free capacity.
	remoteReportInterval = time.Second
	// busyThreshold is the number of in-flight requests per slot at which a group
	// is busy.
	busyThreshold = 0.5
	// unusedReportInterval is the interval between two reports on a group in which
	// this balancer places no flows but still has some. maxUnusedGroupsPerTick is the
	// number of these groups that are examined per tick.
	unusedReportInterval   = 400 * time.Millisecond
	maxUnusedGroupsPerTick = 32
	// peerLoadTTL is how long the load last received from a group's collector is
	// used.
	peerLoadTTL = 2 * time.Second
	// tickTolerance lets an interval of whole ticks end at a tick that comes slightly
	// early.
	tickTolerance = TickInterval / 2
	// minHealthySubset is the number of healthy servers in a service's subset below
	// which flows are placed on all servers of the service.
	minHealthySubset = 4
)

// LoadReport is this balancer's load on a group of servers, for the group's
// collector.
type LoadReport struct {
	Group tally.GroupID
	// Domain is the failure domain of the servers, empty if they are in several
	// domains.
	Domain string
	Loads  []tally.Load
	// WantsPeerLoads is set if the collector is to reply with the load of the other
	// balancers.
	WantsPeerLoads bool
}

// group is a set of servers whose load is collected together.
type group struct {
	tally.Group
	targets []*target
	// used is set if this balancer places flows in the group.
	used bool
	// peerLoadsAt is the time of the collector's last reply, the zero time if it has
	// expired.
	peerLoadsAt time.Time
	// interval is the time between two reports.
	interval   time.Duration
	nextReport time.Time
	// reportedLoad is set if the last report on an unused group was not empty.
	reportedLoad bool
}

// groups has all groups of the current table.
type groups struct {
	byID   map[tally.GroupID]*group
	used   []*group
	unused []*group
	// nextUnused is the index in unused of the last group that was examined for a
	// report.
	nextUnused int
	// subsets has, by service, the servers on which this balancer places flows.
	subsets map[string][]*target
}

// rebuildGroups splits the servers that may get new flows into groups. Groups that
// continue to exist keep their report schedule.
func (c *Core) rebuildGroups() {
	before := c.groups.byID
	c.groups = groups{byID: make(map[tally.GroupID]*group), subsets: make(map[string][]*target)}
	var servers []tally.Server
	var targets []*target
	for _, t := range c.allTargets {
		if t.eligible() {
			servers = append(servers, tally.Server{Tag: t.entry.Tag, Service: t.entry.Service, Domain: t.entry.Domain})
			targets = append(targets, t)
		}
	}
	split := tally.Split(servers)
	all := make([]*group, len(split))
	for index, part := range split {
		g := &group{Group: part}
		if old := before[part.ID]; old != nil {
			g.peerLoadsAt, g.interval, g.nextReport, g.reportedLoad = old.peerLoadsAt, old.interval, old.nextReport, old.reportedLoad
		}
		for _, server := range part.Servers {
			targets[server].group = g
			g.targets = append(g.targets, targets[server])
		}
		all[index] = g
		c.groups.byID[part.ID] = g
	}
	for _, index := range tally.Subset(split, c.config.Name, c.config.Domain) {
		g := all[index]
		g.used = true
		c.groups.used = append(c.groups.used, g)
		for _, t := range g.targets {
			c.groups.subsets[t.entry.Service] = append(c.groups.subsets[t.entry.Service], t)
		}
	}
	for _, g := range all {
		if !g.used {
			c.groups.unused = append(c.groups.unused, g)
		}
	}
}

// eligible reports whether the server is published as accepting new flows.
func (t *target) eligible() bool {
	return t.entry.Published() && t.entry.State == state.Serving && !t.entry.Shadowed && !t.evacuated
}

// ownLoads returns this balancer's load on the servers of the group.
func (g *group) ownLoads() []tally.Load {
	var list []tally.Load
	for _, t := range g.targets {
		if t.inFlight != 0 || t.openFlows != 0 || t.learned.evidence.Bad > 0 {
			load := tally.Load{Tag: t.entry.Tag, InFlight: max(t.inFlight, 0), OpenFlows: max(t.openFlows, 0)}
			t.learned.addTo(&load)
			list = append(list, load)
		}
	}
	return list
}

// isBusy reports whether the in-flight requests use at least busyThreshold of the
// group's slots, which is half of them.
func (g *group) isBusy() bool {
	slots, inFlight := 0, 0
	for _, t := range g.targets {
		slots += max(t.entry.Slots, 1)
		inFlight += t.inFlight + t.peerInFlight
	}
	return float64(inFlight) >= busyThreshold*float64(slots)
}

// reportInterval returns the time until the next report on a used group. Groups in
// other failure domains get few flows until the balancer's own domain is busy, so
// they are reported less often until then.
func (c *Core) reportInterval(g *group, locallyBusy map[string]bool) time.Duration {
	used := time.Duration(len(c.groups.used))
	remote := g.Domain != "" && g.Domain != c.config.Domain
	switch {
	case g.isBusy() || remote && locallyBusy[g.Service]:
		return max(busyReportInterval, used*busyIntervalPerGroup)
	case remote:
		return max(remoteReportInterval, used*normalIntervalPerGroup)
	}
	return max(normalReportInterval, used*normalIntervalPerGroup)
}

// locallyBusyServices returns the services that are busy in this balancer's failure
// domain or have no servers there. Their flows may be placed in other failure
// domains.
func (c *Core) locallyBusyServices() map[string]bool {
	services := make(map[string]bool)
	for _, g := range c.groups.used {
		if g.Domain == c.config.Domain {
			services[g.Service] = services[g.Service] || g.isBusy()
		}
	}
	for _, g := range c.groups.used {
		if _, known := services[g.Service]; !known {
			services[g.Service] = true
		}
	}
	return services
}

// peerLoadAge returns the mean age of the known load of the other balancers: on
// average they sent their reports to the collector half an interval before it
// replied.
func (g *group) peerLoadAge(now time.Time) time.Duration {
	if g == nil || g.peerLoadsAt.IsZero() {
		return 0
	}
	return now.Sub(g.peerLoadsAt) + g.interval/2
}

// DueLoadReports returns the load reports that are due. It is called on each tick.
func (c *Core) DueLoadReports(now time.Time) []LoadReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var due []LoadReport
	locallyBusy := c.locallyBusyServices()
	for _, g := range c.groups.used {
		g.interval = c.reportInterval(g, locallyBusy)
		// A group that has become busy is reported without waiting for the end of a
		// long interval.
		if now.Before(g.nextReport) && g.nextReport.Sub(now) < g.interval {
			continue
		}
		g.nextReport = now.Add(g.interval - tickTolerance)
		due = append(due, LoadReport{Group: g.ID, Domain: g.Domain, Loads: g.ownLoads(), WantsPeerLoads: true})
	}
	unused := c.groups.unused
	for range min(maxUnusedGroupsPerTick, len(unused)) {
		c.groups.nextUnused = (c.groups.nextUnused + 1) % len(unused)
		g := unused[c.groups.nextUnused]
		if now.Before(g.nextReport) {
			continue
		}
		if loads := g.ownLoads(); len(loads) > 0 || g.reportedLoad {
			g.nextReport, g.reportedLoad = now.Add(unusedReportInterval), len(loads) > 0
			due = append(due, LoadReport{Group: g.ID, Domain: g.Domain, Loads: loads})
		}
	}
	return due
}

// SetPeerLoads records the sum of the other balancers' load on a group, as received
// from the group's collector.
func (c *Core) SetPeerLoads(id tally.GroupID, loads []tally.Load, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.groups.byID[id]
	if g == nil {
		return
	}
	g.peerLoadsAt = now
	g.clearPeerLoads()
	for _, load := range loads {
		if t := c.byTag[load.Tag]; t != nil {
			t.peerInFlight, t.peerOpenFlows = load.InFlight, load.OpenFlows
			t.learned.setPeers(load)
		}
	}
}

// clearPeerLoads sets the load of the other balancers to 0.
func (g *group) clearPeerLoads() {
	for _, t := range g.targets {
		t.peerInFlight, t.peerOpenFlows = 0, 0
		t.learned.setPeers(tally.Load{})
	}
}

// expirePeerLoads clears the load received from collectors that have not replied for
// longer than peerLoadTTL.
func (c *Core) expirePeerLoads(now time.Time) {
	for _, g := range c.groups.used {
		if !g.peerLoadsAt.IsZero() && now.Sub(g.peerLoadsAt) > peerLoadTTL {
			g.peerLoadsAt = time.Time{}
			g.clearPeerLoads()
		}
	}
}

// SetPeerCount sets the number of other balancers that are known to be alive.
func (c *Core) SetPeerCount(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peerCount = count
}

// targetsForService returns the servers of a service on which a flow may be placed:
// its subset, whose load is known, or all its servers if too few in the subset are
// healthy.
func (c *Core) targetsForService(service string, now time.Time) []*target {
	known, all := c.groups.subsets[service], c.eligible[service]
	if len(known) == len(all) {
		return all
	}
	healthy := 0
	for _, t := range known {
		if t.health.State() == health.Alive && !t.ejected(now) {
			if healthy++; healthy == minHealthySubset {
				return known
			}
		}
	}
	return all
}
