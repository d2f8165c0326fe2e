// Package tagged implements the Tagged binding: it routes flows whose packets carry
// the tag of their backend server.
//
// The balancer that places a flow writes the backend server's tag into the flow's
// first packet, and both ends repeat the tag in every later packet. Any balancer that
// knows the published servers can therefore forward the packets of an open flow, even
// if it has never seen the flow or has only just started. Only first packets need
// current load information, and they may be delayed until it is available.
//
// Flow records are kept only to measure the load and to reset the flows of dead
// servers, so the loss of a record does no harm. Handing packets over to the balancer
// that owns the flow, as package owned does, was rejected here: it adds a second
// network hop without a benefit.
//
// A Core has no sockets and starts no goroutines. It is safe for concurrent use.
package tagged

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/policy"
	"wigeonmoor.example/internal/state"
)

// TickInterval is the interval at which Tick must be called. It bounds how late an
// unanswered first packet is detected; 50 ms is a third of the tightest latency
// objective (150 ms).
const TickInterval = 50 * time.Millisecond

const (
	// handshakeTimeout is the time within which a live server completes a handshake.
	// Round trips take up to 10 ms.
	handshakeTimeout = 80 * time.Millisecond
	// unopenedFlowTTL is how long the record of an unopened flow is kept. Callers
	// give up after 1.4 s.
	unopenedFlowTTL = 1500 * time.Millisecond
	// closedFlowTTL is how long the record of a closed flow is kept, for
	// retransmissions.
	closedFlowTTL = 2 * time.Second
	// maxRefusalTableAge is the maximum time since the last confirmation of the table
	// at which a flow may be refused because its route does not exist.
	maxRefusalTableAge = 2 * time.Second
	// lapsedServerTTL is how long a server that is no longer published and not dead
	// may get new flows if its service has no other server. Servers whose entries
	// have expired are published again within two seconds.
	lapsedServerTTL = 2 * time.Second
	// coldStartSlowdown is the factor by which a backend server is slower during its
	// cold start.
	coldStartSlowdown = 1.6
)

// Config configures a Core.
type Config struct {
	// Name identifies this balancer, Domain is its failure domain.
	Name, Domain string
	// MaxFlows is the maximum number of flow records.
	MaxFlows int
	Rand     *rand.Rand
	// ColdOverage and ColdSlack say by how much the rate limit of a cold server may be exceeded:
	// the limit is the service's ColdRate times ColdOverage plus ColdSlack requests per second.
	ColdOverage, ColdSlack float64
	// LearnServers lets the balancer learn the cost of requests and how well servers serve, and
	// place flows accordingly.
	LearnServers bool
	// Policy ranks the backend servers for a new flow. If it is nil, a policy.WaterFiller
	// chooses.
	Policy policy.Policy
	// Log receives the changes of state, DecisionLog one line for each decision on a
	// flow.
	Log         logr.Logger
	DecisionLog logr.Logger
	// ObserveHandshake, if set, is called with the time from a flow's first packet to
	// the first packet that shows the end of its handshake.
	ObserveHandshake func(time.Duration)
}

// Core decides what to do with each packet of a caller. It tracks the load and the
// health of the backend servers from these packets, from active checks and from the
// reports of other balancers.
type Core struct {
	Counters Counters

	config           Config
	mutex            sync.Mutex
	table            *state.Table
	tableConfirmedAt time.Time
	holdUntil        time.Time
	// now is the time of the current call, for the decision log.
	now    time.Time
	byName map[string]*target
	// allTargets has every target of the table; eligible has, by service, those that
	// may get new flows.
	allTargets []*target
	eligible   map[string][]*target
	// suspects has all targets that are not alive. Targets that have recovered are
	// removed from it at the next tick.
	suspects []*target
	// servicesReachable caches the result of ServicesReachable; it is out of date
	// while reachabilityStale is set.
	servicesReachable bool
	reachabilityStale bool
	byTag             map[state.Tag]*target
	flows             records
	// peerCount is the number of other balancers that are known to be alive.
	peerCount           int
	groups              groups
	routeStats          map[state.Endpoint]*routeStats
	domains             map[string]*domainHealth
	selfCheck           selfCheck
	inFlightPerOpenFlow float64
	policyCandidates    []policy.Candidate
	defaultPolicy       policy.WaterFiller
	candidateTargets    []*target
	resets              []Reset
	checks              []Check
	// evacuations holds the failure domains under evacuation.
	evacuations map[string]*evacuation
	// members share the rate limits of cold servers. membersChanged counts the changes.
	members        Members
	membersChanged int
	learning       learning
	// limitReached is set if the last choice left out servers because of their rate limits.
	limitReached bool
}

// Counters counts decisions and events. It may be read at any time.
type Counters struct {
	// Forwarded counts packets sent to a backend server, Placed new flows, PlacedAgain
	// unanswered flows that were moved to another server, and Adopted records of open
	// flows that another balancer has placed.
	Forwarded, Placed, PlacedAgain, Adopted Counter
	// Flows are refused because no route matches, because the route has no backend
	// server, or because the servers are full.
	RefusedRoute, RefusedServers, RefusedBusy Counter
	// Packets are dropped while there is no table, while first packets are held after a
	// pause, or because their tag belongs to no known server.
	DroppedNoTable, DroppedHeld, DroppedUnknown Counter
	// DroppedStaleRoute counts first packets without a route that were dropped because
	// the table may be out of date, DroppedMalformed packets that could not be parsed.
	DroppedStaleRoute, DroppedMalformed Counter
	// RefusedLimited and DroppedLimited count first packets that were refused or dropped because
	// the rate limits of all servers that could get the flow were reached.
	RefusedLimited, DroppedLimited Counter
	// DroppedUnsent and DroppedUnread count errors of the traffic socket, DroppedBusy
	// first packets that were dropped because the servers are full.
	DroppedUnsent, DroppedUnread, DroppedBusy Counter
	// Resets counts flows that were reset. The other counters count backend servers that
	// became suspected or dead, answered again after they were dead, or restarted.
	Resets, Suspected, Died, Returned, Restarted Counter
	// Vouched counts servers that this balancer considered dead while a peer reached
	// them.
	Vouched Counter
	// Ejected counts ejections of servers of which too many requests fail.
	Ejected Counter
}

// Counter counts one kind of decision or event.
type Counter struct{ atomic.Int64 }

// target is a backend server with its load and health as known to this balancer.
type target struct {
	entry  *state.Entry
	health health.Health
	// inFlight is the number of in-flight requests and openFlows the number of open
	// flows of this balancer; peerInFlight and peerOpenFlows are the sums of all other
	// balancers, as far as known.
	inFlight, openFlows         int
	peerInFlight, peerOpenFlows int
	// group is the group in which the load is reported. It is nil until the server is
	// first eligible, and keeps its last value when the server is not eligible any
	// more.
	group *group
	// suspected is set while the target is in Core.suspects.
	suspected bool
	// evacuated is set while the server's failure domain is evacuated.
	evacuated bool
	cold      coldLimit
	learned   learned
	// silentAt is the time of the last check without an answer. peerReachedAt and
	// peerSilentAt are the times at which a peer last reported that it reaches the
	// server, or that it gets no answer from it.
	silentAt, peerReachedAt, peerSilentAt time.Time
}

// dead reports whether the server's flows are lost.
func (t *target) dead() bool {
	return t.entry.AddressReused || t.health.State() == health.Dead
}

// routeStats has the means observed on the flows of one route.
type routeStats struct {
	// meanBytes is the mean number of data bytes that a caller sends on a flow.
	meanBytes float64
	// meanAnswerTime is the mean time from a request to the first packet that
	// acknowledges data of its answer, 0 before the first one.
	meanAnswerTime time.Duration
}

func (c *Core) statsFor(listen state.Endpoint) *routeStats {
	stats := c.routeStats[listen]
	if stats == nil {
		stats = &routeStats{}
		c.routeStats[listen] = stats
	}
	return stats
}

// New returns a core without a table. It drops all packets until SetTable is called.
func New(config Config) *Core {
	return &Core{
		config:     config,
		byName:     make(map[string]*target),
		byTag:      make(map[state.Tag]*target),
		flows:      newRecords(config.MaxFlows),
		routeStats: make(map[state.Endpoint]*routeStats),
		domains:    make(map[string]*domainHealth),

		evacuations: make(map[string]*evacuation),
		learning:    newLearning(),
	}
}

// ConfirmTable records that the current table was the newest one at the given time.
func (c *Core) ConfirmTable(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.After(c.tableConfirmedAt) {
		c.tableConfirmedAt = at
	}
	if !c.holdUntil.IsZero() && at.After(c.holdUntil.Add(-holdTimeout)) {
		c.holdUntil = time.Time{}
	}
}

// holdTimeout is the longest time that first packets are dropped after a pause while
// the balancer waits for a confirmation of its table. Callers send the last copy of a
// first packet after 600 ms.
const holdTimeout = 600 * time.Millisecond

// HoldNewFlows drops first packets after the process was paused, as its table and
// load information may be long out of date. The hold ends with the next confirmation
// of the table, or after holdTimeout: a balancer without contact to any source
// continues with the table that it has.
func (c *Core) HoldNewFlows(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.holdUntil = now.Add(holdTimeout)
	c.config.Log.Info("tagged: paused; first packets are dropped until the table is confirmed")
}

// SetTable replaces the table and returns the flows to reset.
func (c *Core) SetTable(table *state.Table, now time.Time) []Reset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	c.table = table
	before := c.byName
	c.byName = make(map[string]*target, len(table.Entries()))
	c.allTargets = make([]*target, 0, len(table.Entries()))
	c.eligible = make(map[string][]*target)
	c.reachabilityStale = true
	c.selfCheck.hasLocalServers = false
	clear(c.byTag)
	returned := c.applyEvacuations(now)
	for _, entry := range table.Entries() {
		t := before[entry.Name]
		if t == nil {
			t = &target{}
		}
		c.applyEntry(t, entry, now)
		if service := table.LimitedService(entry.Service); service != nil && slices.Contains(returned, entry.Domain) {
			t.cold.until = now.Add(service.ColdStart)
		}
		c.byName[entry.Name] = t
		c.allTargets = append(c.allTargets, t)
		if t.eligible() {
			c.eligible[entry.Service] = append(c.eligible[entry.Service], t)
		}
		c.selfCheck.hasLocalServers = c.selfCheck.hasLocalServers || entry.Published() && entry.Domain == c.config.Domain
		if !entry.Shadowed {
			c.byTag[entry.Tag] = t
		}
		delete(before, entry.Name)
	}
	c.rebuildGroups()
	for _, removed := range before {
		c.suspects = slices.DeleteFunc(c.suspects, func(t *target) bool { return t == removed })
		c.removeFlowsOf(removed)
	}
	return c.drainResets()
}

// applyEntry applies the changes of one table entry to its target: it resets the
// flows of a server that has restarted or been replaced, and suspects a server that
// is no longer published.
func (c *Core) applyEntry(t *target, entry *state.Entry, now time.Time) {
	before := t.entry
	t.entry = entry
	t.evacuated = c.table.Evacuated(entry.Domain)
	if before == nil {
		return
	}
	if before.Started != entry.Started && before.Started != 0 && entry.Started != 0 {
		c.Counters.Restarted.Add(1)
		c.config.Log.Info("tagged: backend server restarted", "Backend", entry.Name, "Revision", entry.Revision.Counter())
		t.health = health.Health{}
		t.learned = learned{work: t.learned.work}
		c.resetAllFlows(t, "backend server has started anew")
	}
	if entry.AddressReused && !before.AddressReused {
		c.config.Log.Info("tagged: backend server's address now belongs to another server", "Backend", entry.Name)
		c.resetAllFlows(t, "backend server is gone")
	}
	if !entry.Published() && before.Published() && c.suspect(t, now, now) {
		c.config.Log.Info("tagged: backend server is no longer published", "Backend", entry.Name)
	}
}

// HandlePacket decides what to do with a packet from a caller.
func (c *Core) HandlePacket(p *Packet, now time.Time) Verdict {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	if c.table == nil {
		c.Counters.DroppedNoTable.Add(1)
		return Verdict{Action: Drop}
	}
	if p.First {
		return c.handleFirstPacket(p, now)
	}
	return c.handleOpenFlow(p, now)
}

// handleOpenFlow decides on a packet of an open flow by its tag. It needs no current
// load information.
func (c *Core) handleOpenFlow(p *Packet, now time.Time) Verdict {
	r := c.flows.get(p.Key)
	t := c.byTag[p.Tag]
	if r != nil && r.opened && r.target != nil {
		// If two servers answered the first packet, the caller repeats the latest tag
		// although it opened the flow with the first server.
		t = r.target
	}
	if t == nil {
		c.Counters.DroppedUnknown.Add(1)
		return Verdict{Action: Drop}
	}
	if r != nil && t.dead() && c.canReset(r, t) {
		// The packet may be a new request, which would count as in progress after observePacket.
		return c.resetOnPacket(p, r, t)
	}
	if r == nil && !p.Abort {
		r = c.adopt(p, t)
	}
	if r != nil {
		c.observePacket(r, t, p, now)
	}
	if t.dead() && (r == nil || c.canReset(r, t)) {
		return c.resetOnPacket(p, r, t)
	}
	if p.Abort && r != nil {
		c.removeFlow(r)
	}
	return c.forward(t)
}

func (c *Core) forward(t *target) Verdict {
	c.Counters.Forwarded.Add(1)
	if t.evacuated {
		c.countEvacuatedPacket(t)
	}
	return Verdict{Action: Forward, To: t.entry.Address, ID: t.entry.ID, Tag: t.entry.Tag}
}

// logFlow writes a decision on a flow to the decision log.
func (c *Core) logFlow(message string, key Key, t *target, reason string) {
	log := c.config.DecisionLog
	if !log.Enabled() {
		return
	}
	age := c.now.Sub(c.tableConfirmedAt).String()
	if t == nil {
		log.Info(message, "Flow", key.String(), "Reason", reason,
			"Version", c.table.Version, "Revision", c.table.Revision.Counter(), "ViewAge", age)
		return
	}
	log.Info(message, "Flow", key.String(), "Backend", t.entry.Name, "Reason", reason,
		"Busy", t.inFlight, "PeerBusy", t.peerInFlight, "Open", t.openFlows, "Health", t.health.State(),
		"Version", c.table.Version, "Revision", c.table.Revision.Counter(), "ViewAge", age)
}
