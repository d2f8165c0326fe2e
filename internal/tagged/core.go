// Package tagged decides where the packets of flows go whose packets carry a tag.
//
// Whoever places a flow's first packet writes the backend server's tag into it, and
// both ends repeat it in every packet. So any balancer that knows the published
// servers sends an open flow's packets on, whether it has seen the flow or not, also
// right after its start. Only first packets need a fresh picture of the load, and
// they may wait for it.
//
// Records of flows are kept only to know the load and to reset the flows of dead
// servers; a lost record harms nothing. Handing packets over to a flow's owner, as in
// the package owned, was rejected here: it costs a second crossing for nothing.
//
// A Core has no sockets and starts no goroutines. It is safe for use by several.
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

// TickPeriod is how often Tick is to be called. It bounds how late an unanswered
// first packet is noticed; 50 ms is a third of the tightest objective (150 ms).
const TickPeriod = 50 * time.Millisecond

const (
	// handshakeLimit is the time in which a live server's handshake ends. Round
	// trips are up to 10 ms on the users' sites.
	handshakeLimit = 80 * time.Millisecond
	// placingLife is how long an unopened flow is remembered: callers give up after
	// 1.4 s.
	placingLife = 1500 * time.Millisecond
	// closedLife is how long a closed flow is remembered, for retransmissions.
	closedLife = 2 * time.Second
	// freshSpan is how old the last confirmation of the table may be for a reset
	// that says that a route does not exist.
	freshSpan = 2 * time.Second
	// returnSpan is how long a server that is no longer published, and shows life,
	// may still get flows if its service has no other. Servers whose entries lapsed
	// come back within two seconds.
	returnSpan = 2 * time.Second
	// coldFactor is how much slower a server is after its start, as on the users'
	// sites.
	coldFactor = 1.6
)

// Config sets a Core up.
type Config struct {
	// Name is the balancer's, Domain its failure domain.
	Name, Domain string
	// MaxFlows bounds the records of flows.
	MaxFlows int
	Rand     *rand.Rand
	// Policy orders backend servers for new flows; nil chooses by a policy.WaterFiller.
	Policy policy.Policy
	// Log gets changes of belief, Decisions a line for each flow.
	Log       logr.Logger
	Decisions logr.Logger
	// Handshake, if set, gets the time from a flow's first packet to the first sight
	// of its handshake's end.
	Handshake func(time.Duration)
}

// Core decides for packets.
type Core struct {
	Counters Counters

	settings  Config
	mutex     sync.Mutex
	table     *state.Table
	confirmed time.Time
	holdUntil time.Time
	// now is the time of the call being served, for the log.
	now     time.Time
	targets map[string]*target
	// list has all targets, placeable those of each service that are published as taking
	// flows.
	list      []*target
	placeable map[string][]*target
	// suspects are the targets that are not taken for alive, and some that are again.
	suspects []*target
	// reachable is what Reachable returns, unless reachStale is set.
	reachable  bool
	reachStale bool
	byTag      map[state.Tag]*target
	flows      records
	// peers is how many other balancers are known to live.
	peers     int
	groups    groups
	classes   map[state.Endpoint]*class
	domains   map[string]*domain
	judge     judge
	openShare float64
	choices   []policy.Candidate
	filler    policy.WaterFiller
	options   []*target
	resets    []Reset
	checks    []Check
}

// Counters count decisions. They may be read at any time.
type Counters struct {
	Forwarded, Placed, PlacedAgain, Adopted      Counter
	RefusedRoute, RefusedServers, RefusedBusy    Counter
	DroppedNoTable, DroppedHeld, DroppedUnknown  Counter
	DroppedStaleRoute, DroppedMalformed          Counter
	DroppedUnsent, DroppedUnread, DroppedBusy    Counter
	Resets, Suspected, Died, Returned, Restarted Counter
	// Vouched counts servers that were taken for dead while others reached them.
	Vouched Counter
}

// Counter counts one kind of decision.
type Counter struct{ atomic.Int64 }

// target is a backend server with what is known of its load and health.
type target struct {
	entry  *state.Entry
	health health.Health
	// busy and open count this balancer's flows; peerBusy and peerOpen are the others',
	// where they are known.
	busy, open         int
	peerBusy, peerOpen int
	// group is the one that its load is told in, nil while it gets no flows.
	group *group
	// suspected is set while the target is among the suspects.
	suspected bool
	// silentAt is when a check found no answer, vouchedAt and confirmedAt when another
	// balancer said that it reaches the server or that it does not either.
	silentAt, vouchedAt, confirmedAt time.Time
}

// dead reports whether the server's flows are lost.
func (t *target) dead() bool {
	return t.entry.Replaced || t.health.State() == health.Dead
}

// class is what has been learned of a route's flows.
type class struct {
	// bytes is the mean size of what callers send on a flow.
	bytes float64
	// answer is the mean time from a request to the first sign of its answer, 0 while
	// none has been seen.
	answer time.Duration
}

func (c *Core) classOf(listen state.Endpoint) *class {
	known := c.classes[listen]
	if known == nil {
		known = &class{}
		c.classes[listen] = known
	}
	return known
}

// New returns a core without a table. It drops all packets until it has one.
func New(settings Config) *Core {
	return &Core{
		settings: settings,
		targets:  make(map[string]*target),
		byTag:    make(map[state.Tag]*target),
		flows:    newRecords(settings.MaxFlows),
		classes:  make(map[state.Endpoint]*class),
		domains:  make(map[string]*domain),
	}
}

// Confirm notes that the table in force was the newest at the given time.
func (c *Core) Confirm(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	if !c.holdUntil.IsZero() && at.After(c.holdUntil.Add(-holdSpan)) {
		c.holdUntil = time.Time{}
	}
}

// holdSpan is how long first packets wait for a fresh table after a pause. A caller
// sends its last copy of a first packet after 600 ms.
const holdSpan = 600 * time.Millisecond

// Hold makes first packets wait after a pause of the process, as what it believes may
// be long out of date. It ends with the next confirmation, or after a while: a
// balancer that nobody can tell anything goes on with what it knows.
func (c *Core) Hold(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.holdUntil = now.Add(holdSpan)
	c.settings.Log.Info("tagged: paused, first packets wait for a fresh view")
}

// SetTable puts a table in force, and returns the flows to reset.
func (c *Core) SetTable(table *state.Table, now time.Time) []Reset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	c.table = table
	before := c.targets
	c.targets = make(map[string]*target, len(table.Entries()))
	c.list = make([]*target, 0, len(table.Entries()))
	c.placeable = make(map[string][]*target)
	c.reachStale = true
	c.judge.nearby = false
	clear(c.byTag)
	for _, entry := range table.Entries() {
		t := before[entry.Name]
		if t == nil {
			t = &target{}
		}
		c.takeEntry(t, entry, now)
		c.targets[entry.Name] = t
		c.list = append(c.list, t)
		if t.placeable() {
			c.placeable[entry.Service] = append(c.placeable[entry.Service], t)
		}
		c.judge.nearby = c.judge.nearby || entry.Published() && entry.Domain == c.settings.Domain
		if !entry.Shadowed {
			c.byTag[entry.Tag] = t
		}
		delete(before, entry.Name)
	}
	c.regroup()
	for _, forgotten := range before {
		c.suspects = slices.DeleteFunc(c.suspects, func(t *target) bool { return t == forgotten })
		c.dropFlows(forgotten)
	}
	return c.takeResets()
}

// takeEntry notes what has changed of a backend server.
func (c *Core) takeEntry(t *target, entry *state.Entry, now time.Time) {
	before := t.entry
	t.entry = entry
	if before == nil {
		return
	}
	if before.Started != entry.Started && before.Started != 0 && entry.Started != 0 {
		c.Counters.Restarted.Add(1)
		c.settings.Log.Info("tagged: backend server has started anew", "Backend", entry.Name, "Revision", entry.Revision)
		t.health = health.Health{}
		c.resetFlows(t, "backend server has started anew", true)
	}
	if entry.Replaced && !before.Replaced {
		c.settings.Log.Info("tagged: backend server's address is another's", "Backend", entry.Name)
		c.resetFlows(t, "backend server is gone", true)
	}
	if !entry.Published() && before.Published() && c.suspect(t, now, now) {
		c.settings.Log.Info("tagged: backend server is no longer published", "Backend", entry.Name)
	}
}

// Packet decides for a caller's packet.
func (c *Core) Packet(p *Packet, now time.Time) Verdict {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	if c.table == nil {
		c.Counters.DroppedNoTable.Add(1)
		return Verdict{Action: Drop}
	}
	if p.First {
		return c.first(p, now)
	}
	return c.next(p, now)
}

// next decides for a packet of an open flow, by its tag. It needs nothing fresh.
func (c *Core) next(p *Packet, now time.Time) Verdict {
	r := c.flows.get(p.Key)
	t := c.byTag[p.Tag]
	if r != nil && r.opened && r.target != nil {
		// A caller that was answered by two servers repeats the last tag, but has
		// opened the flow with the first.
		t = r.target
	}
	if t == nil {
		c.Counters.DroppedUnknown.Add(1)
		return Verdict{Action: Drop}
	}
	if r == nil && !p.Abort {
		r = c.adopt(p, t)
	}
	if r != nil {
		c.observe(r, t, p, now)
	}
	if t.dead() {
		return c.refuseDead(p, r, t)
	}
	if p.Abort && r != nil {
		c.forget(r)
	}
	return c.forward(t)
}

// refuseDead answers a packet of a flow whose server is dead: a reset lets the caller
// try again. Where the server may only be out of reach and a request that must not
// run twice is in progress, the answer may still come.
func (c *Core) refuseDead(p *Packet, r *record, t *target) Verdict {
	if r != nil && !c.resettable(r, t.certain()) {
		return c.forward(t)
	}
	if r != nil {
		c.forget(r)
	}
	if p.Abort {
		return Verdict{Action: Drop}
	}
	c.Counters.Resets.Add(1)
	c.logFlow("tagged: flow reset", p.Key, t, "backend server is dead")
	return Verdict{Action: Refuse}
}

func (t *target) certain() bool { return t.entry.Replaced || t.health.Certain() }

func (c *Core) forward(t *target) Verdict {
	c.Counters.Forwarded.Add(1)
	return Verdict{Action: Forward, To: t.entry.Address, ID: t.entry.ID, Tag: t.entry.Tag}
}

// logFlow writes the line of a decision.
func (c *Core) logFlow(message string, key Key, t *target, reason string) {
	log := c.settings.Decisions
	if !log.Enabled() {
		return
	}
	age := c.now.Sub(c.confirmed).String()
	if t == nil {
		log.Info(message, "Flow", key.String(), "Reason", reason,
			"Version", c.table.Version, "Revision", c.table.Revision, "ViewAge", age)
		return
	}
	log.Info(message, "Flow", key.String(), "Backend", t.entry.Name, "Reason", reason,
		"Busy", t.busy, "PeerBusy", t.peerBusy, "Open", t.open, "Health", t.health.State(),
		"Version", c.table.Version, "Revision", c.table.Revision, "ViewAge", age)
}
