// Package owned decides where packets go. It has no sockets and no files: typed
// messages go in, typed actions come out, and time is the runtime's clock.
//
// This is the boundary at which a test bench attaches. For each balancer it makes
// a Core, calls Packet, Datagram, Envelope, SetBundle, SetInstances and Tick with
// what arrives, and carries out the actions they return. Packet and Datagram may
// be called from several traffic goroutines; all else belongs to one control
// goroutine. See Example.
//
// Each slot of the flow space has one owner, which decides for new flows. A flow
// on its slot's default backend server needs no record anywhere else: everybody
// can compute it. Another choice is an exception, and its first packet travels
// owner, replica, replica, backend server, so that it is on record with both
// replicas before the backend server sees it. A request and answer to each
// replica was rejected: it costs four messages and a buffer for the packet, and
// the caller retransmits a lost first packet anyway.
//
// Ownership moves by claim: the balancer that the view names as the owner asks
// everybody reachable what they know of the slot. The owner before grants it and
// from then on hands packets over; all others tell what they remember. Packets
// wait until all have answered.
package owned

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/member"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/place"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// Times and sizes of the core.
const (
	// CacheLife bounds how long an ingress balancer repeats an owner's answer.
	CacheLife = 20 * time.Second
	// closedLife covers a caller's TIME_WAIT.
	closedLife  = 60 * time.Second
	openingLife = 120 * time.Second
	// settleTime covers the retransmissions of a first packet that an owner, now
	// dead, may have sent on.
	settleTime = 8 * time.Second
	// refuseTime is how long after a takeover nothing is refused, because the
	// owner before may have sent a packet of the flow on.
	refuseTime = 65 * time.Second
	// DoubtLimit bounds how long packets of unknown flows are dropped after all
	// balancers that knew the slot's exceptions were lost.
	DoubtLimit = 10 * time.Second
	// lapseTime is how long knowledge of a slot counts after the duty for it ended.
	lapseTime          = 30 * time.Second
	claimRetry         = 200 * time.Millisecond
	reviewPeriod       = 500 * time.Millisecond
	configRetry        = 400 * time.Millisecond
	grantPushAfter     = 2 * time.Second
	removalPeriod      = 2 * time.Second
	maxHops            = 4
	maxQueuedPackets   = 4096
	answerAfterHandOff = 3
	sweepSlots         = 32
	historyLength      = 64
	slotsPerMessage    = 256
	budgetBurst        = 10 * time.Second
	// maxDebt bounds for how long one large change holds up what can wait.
	maxDebt           = 500 * time.Millisecond
	readersPerDomain  = 2
	probersPerBackend = 2
	readerSalt        = 0x52454144
)

// Config sets a core up.
type Config struct {
	Self config.Instance
	Rand *rand.Rand
	// Log takes what happens now and then, Decisions a line for each decision.
	Log       logr.Logger
	Decisions logr.Logger
	// ControlBytesPerSecond is the budget for control traffic that can wait.
	ControlBytesPerSecond int
	// MaxFlows bounds the records; above it, default-placed flows go unrecorded.
	MaxFlows int
	// HashOnly places every flow on its default, as the baseline of measurements.
	HashOnly bool
}

// ActionKind says what is to be done with a packet.
type ActionKind string

// The kinds of action.
const (
	// Forward sends the bare packet to a backend server.
	Forward ActionKind = "Forward"
	// Hand sends header and packet to another balancer.
	Hand ActionKind = "Hand"
	// Return sends the bare packet to its caller.
	Return ActionKind = "Return"
)

// Action is something to be sent as one datagram.
type Action struct {
	Kind         ActionKind
	To           netip.AddrPort
	Packet       []byte
	header       [wire.MaxHeaderBytes + wire.AnswerBytes]byte
	headerLength int
}

// Header returns the bytes to be sent in front of the packet.
func (a *Action) Header() []byte {
	return a.header[:a.headerLength]
}

// Actions gathers actions. It is reused from packet to packet.
type Actions struct {
	List []Action
}

// Reset empties the list and keeps its memory.
func (a *Actions) Reset() {
	a.List = a.List[:0]
}

func (a *Actions) forward(backend *config.CompiledBackend, data []byte) {
	a.List = append(a.List, Action{Kind: Forward, To: backend.Address, Packet: data})
}

func (a *Actions) back(data []byte) {
	a.List = append(a.List, Action{Kind: Return, Packet: data})
}

// next returns a new Hand action to fill in place.
func (a *Actions) next(to netip.AddrPort, data []byte) *Action {
	a.List = append(a.List, Action{Kind: Hand, To: to, Packet: data})
	return &a.List[len(a.List)-1]
}

func (a *Actions) hand(to netip.AddrPort, hops uint8, data []byte) {
	action := a.next(to, data)
	action.headerLength = len(wire.AppendForward(action.header[:0], hops))
}

func (a *Actions) install(to netip.AddrPort, install wire.Install, data []byte) {
	action := a.next(to, data)
	action.headerLength = len(wire.AppendInstall(action.header[:0], install))
}

func (a *Actions) answer(to netip.AddrPort, answer wire.Answer) {
	action := a.next(to, nil)
	action.headerLength = len(wire.AppendAnswer(action.header[:0], answer))
}

// Envelope is a message for another balancer's link.
type Envelope struct {
	To      flow.MemberKey
	Address netip.AddrPort
	Body    *wire.Envelope
}

// Output is what the control side wants done.
type Output struct {
	Actions   Actions
	Probes    []member.Message
	Envelopes []Envelope
	// replays are packets that waited for a claim and are to be decided for.
	replays []packet.Packet
}

// merge adds what another step of the control side wants done.
func (o *Output) merge(other Output) {
	o.Actions.List = append(o.Actions.List, other.Actions.List...)
	o.Probes = append(o.Probes, other.Probes...)
	o.Envelopes = append(o.Envelopes, other.Envelopes...)
	o.replays = append(o.replays, other.replays...)
}

// Counters count what the core did since its start.
type Counters struct {
	Forwarded       atomic.Int64
	HandedOver      atomic.Int64
	Placed          atomic.Int64
	Exceptions      atomic.Int64
	Adopted         atomic.Int64
	Refused         atomic.Int64
	Reset           atomic.Int64
	Queued          atomic.Int64
	Answered        atomic.Int64
	Conflicts       atomic.Int64
	Unrecorded      atomic.Int64
	ControlBytes    atomic.Int64
	DroppedMalform  atomic.Int64
	DroppedService  atomic.Int64
	DroppedNoConfig atomic.Int64
	DroppedNoOwner  atomic.Int64
	DroppedHops     atomic.Int64
	DroppedDoubt    atomic.Int64
	DroppedQueue    atomic.Int64
	DroppedBackend  atomic.Int64
	DroppedLimit    atomic.Int64
	DroppedStranger atomic.Int64
	ConfigRejected  atomic.Int64
	Takeovers       atomic.Int64
	Wakes           atomic.Int64
}

// peer is what the traffic side needs to know of another balancer.
type peer struct {
	address   netip.AddrPort
	reachable bool
}

// view is everything that traffic goroutines read. It is immutable.
type view struct {
	config *config.Compiled
	owners *ring.Owners
	peers  map[flow.MemberKey]peer
	// listed holds the peer addresses on the platform's list.
	listed map[netip.AddrPort]bool
	// reader: this balancer is one of those that watch the platform.
	reader bool
	ready  []ring.Member
}

// Core is the decision core of one balancer.
type Core struct {
	// Counters may be read from any goroutine.
	Counters Counters

	settings Config
	key      flow.MemberKey
	log      logr.Logger
	members  *member.Members
	placer   *place.Placer
	view     atomic.Pointer[view]
	slots    [flow.SlotCount]slot
	lease    atomic.Int64
	records  atomic.Int64
	queued   atomic.Int64
	tokens   atomic.Int64
	// kept is set when packets wait for the lease.
	kept      atomic.Bool
	startedAt time.Time

	// All below belongs to the control goroutine.
	parser       *packet.Parser
	output       Output
	history      []*config.Compiled
	leaving      bool
	viewChanged  bool
	claim        *claim
	lastID       uint64
	syncs        map[uint64]*syncing
	rebases      map[uint64]*rebase
	removals     map[flow.MemberKey][]uint32
	fetched      []fetchedReport
	lives        map[flow.MemberKey]uint64
	reborn       map[flow.MemberKey]bool
	sweepNext    int
	lastRefill   time.Time
	lastAdapt    time.Time
	spentAtAdapt int64
	removalBytes int64
	// counts holds what others told of their open flows, told what they were told.
	counts            map[flow.MemberKey]toldCounts
	told              map[flow.ServiceKey][]int64
	nextCounts        time.Time
	exceptionsAtAdapt int64
	nextConfigAsk     time.Time
	nextRemoval       time.Time
	viewSince         time.Time
	nextReview        time.Time
	lastSync          time.Time
	lastRebase        time.Time
}

// New returns a core that knows neither configuration nor other balancers.
func New(settings Config) *Core {
	now := time.Now()
	c := &Core{
		settings:   settings,
		key:        settings.Self.Key(),
		log:        settings.Log,
		members:    member.New(member.Config{Self: settings.Self, Rand: settings.Rand}),
		placer:     place.New(place.Config{Rand: rand.New(rand.NewPCG(settings.Rand.Uint64(), settings.Rand.Uint64())), HashOnly: settings.HashOnly}),
		startedAt:  now,
		parser:     packet.NewParser(),
		syncs:      make(map[uint64]*syncing),
		rebases:    make(map[uint64]*rebase),
		removals:   make(map[flow.MemberKey][]uint32),
		lives:      make(map[flow.MemberKey]uint64),
		counts:     make(map[flow.MemberKey]toldCounts),
		reborn:     make(map[flow.MemberKey]bool),
		lastRefill: now,
		lastAdapt:  now,
	}
	c.view.Store(&view{owners: &ring.Owners{}, peers: map[flow.MemberKey]peer{}, reader: true})
	c.members.SetLoadSource(c.nextLoads)
	c.tokens.Store(int64(settings.ControlBytesPerSecond))
	return c
}

// Members returns the membership. It belongs to the control goroutine.
func (c *Core) Members() *member.Members {
	return c.members
}

// Placer returns the placer.
func (c *Core) Placer() *place.Placer {
	return c.placer
}

// Compiled returns the configuration in force, nil if there is none.
func (c *Core) Compiled() *config.Compiled {
	return c.view.Load().config
}

// Reader reports whether this balancer is one of the few of its failure domain
// that watch the platform.
func (c *Core) Reader() bool {
	return c.view.Load().reader
}

// Listed returns the address of a balancer on the platform's list.
func (c *Core) Listed(key flow.MemberKey) (netip.AddrPort, bool) {
	known, ok := c.view.Load().peers[key]
	return known.address, ok
}

// Probes reports whether this balancer fetches the backend server's load report.
func (c *Core) Probes(backend flow.BackendKey) bool {
	return ring.RanksWithin(c.view.Load().ready, c.key, uint32(backend), probersPerBackend)
}

// Records returns the number of flow records held.
func (c *Core) Records() int64 {
	return c.records.Load()
}

// Alone reports whether no other balancer is ready to own slots.
func (c *Core) Alone() bool {
	for _, candidate := range c.view.Load().ready {
		if candidate.Key != c.key {
			return false
		}
	}
	return true
}

// HeldSlots returns the number of slots that this balancer decides for.
func (c *Core) HeldSlots() int {
	held := 0
	c.eachSlot(func(s *slot) {
		if s.held {
			held++
		}
	})
	return held
}

// Leave takes back the offer to own slots. Others claim what is held; the process
// may end once HeldSlots is zero and the fabric has stopped sending.
func (c *Core) Leave() Output {
	c.leaving = true
	c.members.SetReady(false)
	return c.finish()
}

// second returns the coarse time of a record.
func (c *Core) second(now time.Time) flow.Second {
	return flow.Second(now.Sub(c.startedAt) / time.Second)
}

// mayDecide reports whether the lease still runs.
func (c *Core) mayDecide(now time.Time) bool {
	return now.UnixNano() < c.lease.Load()
}

// spend takes control bytes out of the budget. Replication is never withheld, so
// the budget may go below zero; what can wait then waits.
func (c *Core) spend(count int) {
	c.tokens.Add(-int64(count))
	c.Counters.ControlBytes.Add(int64(count))
}

// affordable reports whether there is budget for something that can wait.
func (c *Core) affordable(count int) bool {
	return c.tokens.Load() >= int64(count)
}

// refill adds the time's budget, up to the burst.
func (c *Core) refill(now time.Time) {
	rate := float64(c.settings.ControlBytesPerSecond)
	gained := int64(rate * now.Sub(c.lastRefill).Seconds())
	c.lastRefill = now
	limit := int64(rate * budgetBurst.Seconds())
	lowest := -int64(rate * maxDebt.Seconds())
	left := c.tokens.Add(gained)
	if left > limit || left < lowest {
		c.tokens.Store(min(max(left, lowest), limit))
	}
}

// refreshLease publishes the lease to the traffic goroutines.
func (c *Core) refreshLease() {
	until, alone := c.members.LeaseUntil()
	if alone {
		c.lease.Store(math.MaxInt64)
		return
	}
	if until.IsZero() {
		c.lease.Store(0)
		return
	}
	c.lease.Store(until.UnixNano())
}
