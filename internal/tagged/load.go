package tagged

// Load that balancers tell each other, by groups of servers (package tally).

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tally"
)

const (
	// busyPause lies between two reports of a group that is at least half busy, where what
	// is known soon grows old, and calmPause of others. With more groups in use busyEach
	// and calmEach for each of them bound the reports to 25 a second.
	busyPause = TickPeriod
	busyEach  = 40 * time.Millisecond
	calmPause = 4 * TickPeriod
	calmEach  = 60 * time.Millisecond
	// farPause is calmPause for groups of other failure domains, as long as the own one has
	// room.
	farPause = time.Second
	// halfBusy is the requests in progress for each slot at which a group counts as busy.
	halfBusy = 0.5
	// reportOther lies between two reports of a group that this balancer does not use but
	// has flows in, and otherGroups is how many of these are looked at in a tick.
	reportOther = 400 * time.Millisecond
	otherGroups = 32
	// totalsLife is how long what a collector has told counts.
	totalsLife = 2 * time.Second
	// tickSlack lets a pause of whole ticks end with a tick that is a little early.
	tickSlack = TickPeriod / 2
	// subsetEnough is the number of healthy servers of a subset below which all of the
	// service are offered.
	subsetEnough = 4
)

// Report is this balancer's load in a group of servers.
type Report struct {
	Group tally.GroupID
	// Domain is the servers', empty where they are of several.
	Domain string
	Loads  []tally.Load
	// Asks is set where the others' load is wanted.
	Asks bool
}

// group is some servers whose load is known together.
type group struct {
	tally.Group
	targets []*target
	// used groups are those in which this balancer places flows.
	used bool
	// told is when a collector last told of the others' load.
	told time.Time
	// pause is the time between two reports.
	pause      time.Duration
	nextReport time.Time
	// reported is set if the last report had load in it.
	reported bool
}

// groups is all of them.
type groups struct {
	named map[tally.GroupID]*group
	used  []*group
	other []*group
	// next is the place in other where the next look begins.
	next int
	// subset has the servers in which flows of each service are placed.
	subset map[string][]*target
}

// regroup splits the servers that may get flows into groups.
func (c *Core) regroup() {
	before := c.groups.named
	c.groups = groups{named: make(map[tally.GroupID]*group), subset: make(map[string][]*target)}
	var servers []tally.Server
	var targets []*target
	for _, t := range c.list {
		if t.placeable() {
			servers = append(servers, tally.Server{Tag: t.entry.Tag, Service: t.entry.Service, Domain: t.entry.Domain})
			targets = append(targets, t)
		}
	}
	split := tally.Split(servers)
	all := make([]*group, len(split))
	for index, part := range split {
		g := &group{Group: part}
		if old := before[part.ID]; old != nil {
			g.told, g.pause, g.nextReport, g.reported = old.told, old.pause, old.nextReport, old.reported
		}
		for _, server := range part.Servers {
			targets[server].group = g
			g.targets = append(g.targets, targets[server])
		}
		all[index] = g
		c.groups.named[part.ID] = g
	}
	for _, index := range tally.Subset(split, c.settings.Name, c.settings.Domain) {
		g := all[index]
		g.used = true
		c.groups.used = append(c.groups.used, g)
		for _, t := range g.targets {
			c.groups.subset[t.entry.Service] = append(c.groups.subset[t.entry.Service], t)
		}
	}
	for _, g := range all {
		if !g.used {
			c.groups.other = append(c.groups.other, g)
		}
	}
}

// placeable reports whether a server is published as taking flows.
func (t *target) placeable() bool {
	return t.entry.Published() && t.entry.Standing == state.Serving && !t.entry.Shadowed
}

// loads returns this balancer's load in a group.
func (g *group) loads() []tally.Load {
	var list []tally.Load
	for _, t := range g.targets {
		if t.busy != 0 || t.open != 0 {
			list = append(list, tally.Load{Tag: t.entry.Tag, InFlight: max(t.busy, 0), OpenFlows: max(t.open, 0)})
		}
	}
	return list
}

// busy reports whether at least half of the slots of a group are in use.
func (g *group) busy() bool {
	slots, busy := 0, 0
	for _, t := range g.targets {
		slots += max(t.entry.Slots, 1)
		busy += t.busy + t.peerBusy
	}
	return float64(busy) >= halfBusy*float64(slots)
}

// pauseOf returns the time until the next report of a group that is used. Those of other
// failure domains hardly get flows until the own one is busy.
func (c *Core) pauseOf(g *group, nearBusy map[string]bool) time.Duration {
	used := time.Duration(len(c.groups.used))
	far := g.Domain != "" && g.Domain != c.settings.Domain
	switch {
	case g.busy() || far && nearBusy[g.Service]:
		return max(busyPause, used*busyEach)
	case far:
		return max(farPause, used*calmEach)
	}
	return max(calmPause, used*calmEach)
}

// nearBusy returns the services that are busy in this balancer's failure domain, or have
// no servers there.
func (c *Core) nearBusy() map[string]bool {
	services := make(map[string]bool)
	for _, g := range c.groups.used {
		if g.Domain == c.settings.Domain {
			services[g.Service] = services[g.Service] || g.busy()
		}
	}
	for _, g := range c.groups.used {
		if _, near := services[g.Service]; !near {
			services[g.Service] = true
		}
	}
	return services
}

// age returns how old what is known of the others' load is: others have told it to the
// collector half a period before that on the mean.
func (g *group) age(now time.Time) time.Duration {
	if g == nil || g.told.IsZero() {
		return 0
	}
	return now.Sub(g.told) + g.pause/2
}

// Reports returns the reports that are due.
func (c *Core) Reports(now time.Time) []Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var due []Report
	nearBusy := c.nearBusy()
	for _, g := range c.groups.used {
		g.pause = c.pauseOf(g, nearBusy)
		// A group that has become busy does not wait for the end of a long pause.
		if now.Before(g.nextReport) && g.nextReport.Sub(now) < g.pause {
			continue
		}
		g.nextReport = now.Add(g.pause - tickSlack)
		due = append(due, Report{Group: g.ID, Domain: g.Domain, Loads: g.loads(), Asks: true})
	}
	others := c.groups.other
	for range min(otherGroups, len(others)) {
		c.groups.next = (c.groups.next + 1) % len(others)
		g := others[c.groups.next]
		if now.Before(g.nextReport) {
			continue
		}
		if loads := g.loads(); len(loads) > 0 || g.reported {
			g.nextReport, g.reported = now.Add(reportOther), len(loads) > 0
			due = append(due, Report{Group: g.ID, Domain: g.Domain, Loads: loads})
		}
	}
	return due
}

// TakeTotals takes in what all other balancers have told of a group.
func (c *Core) TakeTotals(id tally.GroupID, loads []tally.Load, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.groups.named[id]
	if g == nil {
		return
	}
	g.told = now
	g.clear()
	for _, load := range loads {
		if t := c.byTag[load.Tag]; t != nil {
			t.peerBusy, t.peerOpen = load.InFlight, load.OpenFlows
		}
	}
}

func (g *group) clear() {
	for _, t := range g.targets {
		t.peerBusy, t.peerOpen = 0, 0
	}
}

// forgetTotals drops what collectors have told that are silent.
func (c *Core) forgetTotals(now time.Time) {
	for _, g := range c.groups.used {
		if !g.told.IsZero() && now.Sub(g.told) > totalsLife {
			g.told = time.Time{}
			g.clear()
		}
	}
}

// SetPeers notes how many other balancers are known to live.
func (c *Core) SetPeers(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers = count
}

// candidates returns the servers of a service among which a flow is placed: those whose
// load is known, unless hardly any of them is healthy.
func (c *Core) candidates(service string) []*target {
	known, all := c.groups.subset[service], c.placeable[service]
	if len(known) == len(all) {
		return all
	}
	healthy := 0
	for _, t := range known {
		if t.health.State() == health.Alive {
			if healthy++; healthy == subsetEnough {
				return known
			}
		}
	}
	return all
}
