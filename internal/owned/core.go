// Package owned decides which backend server receives each packet. Every flow is
// decided by the balancer that owns the flow's slot.
//
// The package opens no sockets or files. Packets, datagrams and control messages
// go in as typed values, the datagrams and messages to send come out as typed
// values, and time is read from the runtime's clock. The daemon and the simulation
// in package model both use it this way: they create one Core per balancer, call
// HandlePacket, HandleDatagram, HandleProbe, HandleEnvelope, HandleReport,
// SetBundle, SetInstances and Tick with what arrives, and carry out the returned
// actions. HandlePacket and HandleDatagram may be called from several traffic
// goroutines. Unless a method says otherwise, all others must be called from a
// single control goroutine. See Example.
//
// # Placement and replication
//
// The flow space is divided into slots. Each slot has one owner, which decides for
// the slot's new flows, and replicas on other balancers. Every balancer can compute
// the slot's default backend server from the configuration, so a flow that is
// placed on the default needs no record anywhere else. A flow that is placed on
// another backend server is an exception. Its first packet travels from the owner
// through each replica to the backend server, so that all replicas have recorded
// the exception before the backend server receives the packet. A request and a
// response for each replica were rejected: they cost four messages and a buffer
// for the packet, and the caller retransmits a lost first packet anyway.
//
// # Configuration changes
//
// A new configuration can change a slot's default while flows without a record are
// open. Each slot therefore has a base for each service: the backend server of the
// service's flows that have no record. A base that differs from the default is
// called a cell on the wire. A rebase moves the base to the new default, after the
// flows that depend on the old base have been recorded as exceptions.
//
// # Ownership
//
// The view lists the reachable balancers and names the owner and replicas of each
// slot. When the view names a balancer as the owner of a slot that it does not
// hold, the balancer sends a claim to every reachable balancer. The previous owner
// grants the slot and from then on hands its packets over; the others report the
// records that they have. Packets are queued until all of them have replied.
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

// Times and limits of the core.
const (
	// CacheTTL is how long an ingress balancer may use an owner's answer without
	// asking the owner again.
	CacheTTL = 20 * time.Second
	// closedTTL is how long the record of a closed flow is kept. It covers the
	// caller's TIME_WAIT.
	closedTTL = 60 * time.Second
	// openingTTL is how long the record of a flow with first packets only is kept.
	openingTTL = 120 * time.Second
	// retransmitWindow is how long after a takeover a first packet may be the
	// retransmission of one that the previous, failed owner has forwarded.
	retransmitWindow = 8 * time.Second
	// refusalDelay is how long after a takeover no flow is refused, because the
	// previous owner may have forwarded a packet of the flow.
	refusalDelay = 65 * time.Second
	// UnknownFlowDropTimeout is how long packets of unknown flows are dropped after
	// every balancer that knew the slot's exceptions has become unreachable.
	UnknownFlowDropTimeout = 10 * time.Second
	// formerTTL is how long the records of a slot are still reported as those of a
	// former holder after this balancer stopped owning or replicating the slot.
	formerTTL           = 30 * time.Second
	claimRetryInterval  = 200 * time.Millisecond
	reconcileInterval   = 500 * time.Millisecond
	configRetryInterval = 400 * time.Millisecond
	// grantPushDelay is how long after a view change a held slot is granted to its
	// owner in the view although the owner has not claimed it.
	grantPushDelay  = 2 * time.Second
	removalInterval = 2 * time.Second
	// maxHops is the maximum number of times that a packet is handed over.
	maxHops = 4
	// maxQueuedPackets bounds the queued packets of all slots together.
	maxQueuedPackets = 4096
	// handOversPerAnswer is the number of handed-over packets of a flow after which
	// the owner sends an answer to the ingress balancer.
	handOversPerAnswer = 3
	// slotsPerTick is the number of slots that one tick sweeps for expired records.
	slotsPerTick = 32
	// maxConfigHistory bounds the configurations that are kept as references.
	maxConfigHistory = 64
	maxSlotsPerSync  = 256
	// maxBudgetBurst bounds the unused control budget, as time at the full rate.
	maxBudgetBurst = 10 * time.Second
	// maxBudgetDebt bounds the overdrawn control budget, as time at the full rate,
	// and with it how long one large change delays deferrable traffic.
	maxBudgetDebt = 500 * time.Millisecond
	// readersPerDomain is the number of balancers that watch the platform in each
	// failure domain.
	readersPerDomain = 2
	// reportFetchersPerBackend is the number of balancers that fetch the load reports
	// of each backend server.
	reportFetchersPerBackend = 2
	// readerSalt is the rendezvous salt that selects the platform readers.
	readerSalt = 0x52454144
)

// Config holds the settings of a Core.
type Config struct {
	// Self is the balancer that the core runs on.
	Self config.Instance
	Rand *rand.Rand
	// Log receives rare events.
	Log logr.Logger
	// Decisions receives one line for each decision about a flow.
	Decisions logr.Logger
	// ControlBytesPerSecond is the budget for control traffic. Traffic that cannot be
	// deferred may exceed it.
	ControlBytesPerSecond int
	// MaxFlows limits the flow records. At the limit, flows on their default backend
	// server are no longer recorded and answers are not cached. Zero means no limit.
	MaxFlows int
	// HashOnly places every flow on its slot's default backend server. It is the
	// baseline of measurements.
	HashOnly bool
}

// ActionKind is the kind of destination of an Action.
type ActionKind string

// The kinds of action.
const (
	// Forward sends the packet without a header to a backend server.
	Forward ActionKind = "Forward"
	// SendToPeer sends the header and the packet, if any, to another balancer.
	SendToPeer ActionKind = "Hand"
	// ReturnToCaller sends the packet without a header to its caller.
	ReturnToCaller ActionKind = "Return"
)

// Action is one datagram to be sent.
type Action struct {
	Kind ActionKind
	// To is unset for ReturnToCaller, as the packet carries the caller's address.
	To           netip.AddrPort
	Packet       []byte
	header       [wire.MaxHeaderBytes + wire.AnswerBytes]byte
	headerLength int
}

// Header returns the bytes to send in front of the packet.
func (a *Action) Header() []byte {
	return a.header[:a.headerLength]
}

// Actions collects actions. Callers reuse it from packet to packet.
type Actions struct {
	List []Action
}

// Reset empties the list and keeps its memory for reuse.
func (a *Actions) Reset() {
	a.List = a.List[:0]
}

func (a *Actions) forward(backend *config.CompiledBackend, data []byte) {
	a.List = append(a.List, Action{Kind: Forward, To: backend.Address, Packet: data})
}

func (a *Actions) returnToCaller(data []byte) {
	a.List = append(a.List, Action{Kind: ReturnToCaller, Packet: data})
}

// addPeerAction adds a SendToPeer action and returns it, so that the caller can
// write the header in place. The pointer is valid until the next action is added.
func (a *Actions) addPeerAction(to netip.AddrPort, data []byte) *Action {
	a.List = append(a.List, Action{Kind: SendToPeer, To: to, Packet: data})
	return &a.List[len(a.List)-1]
}

func (a *Actions) handOver(to netip.AddrPort, hops uint8, data []byte) {
	action := a.addPeerAction(to, data)
	action.headerLength = len(wire.AppendHandOver(action.header[:0], hops))
}

func (a *Actions) install(to netip.AddrPort, install wire.Install, data []byte) {
	action := a.addPeerAction(to, data)
	action.headerLength = len(wire.AppendInstall(action.header[:0], install))
}

func (a *Actions) answer(to netip.AddrPort, answer wire.Answer) {
	action := a.addPeerAction(to, nil)
	action.headerLength = len(wire.AppendAnswer(action.header[:0], answer))
}

// Envelope is a message to be sent over the link to another balancer.
type Envelope struct {
	To      flow.MemberKey
	Address netip.AddrPort
	Body    *wire.Envelope
}

// Output holds the datagrams and messages that a control method wants sent.
type Output struct {
	Actions   Actions
	Probes    []member.Message
	Envelopes []Envelope
	// replays are packets that were queued and can now be decided.
	replays []packet.Packet
}

// merge appends another output.
func (o *Output) merge(other Output) {
	o.Actions.List = append(o.Actions.List, other.Actions.List...)
	o.Probes = append(o.Probes, other.Probes...)
	o.Envelopes = append(o.Envelopes, other.Envelopes...)
	o.replays = append(o.replays, other.replays...)
}

// Counters counts what the core has done since its start. The field names are
// published as the names of the counters.
type Counters struct {
	Forwarded       atomic.Int64 // packets sent to backend servers
	HandedOver      atomic.Int64 // packets handed over to the slot's owner
	Placed          atomic.Int64 // new flows placed
	Exceptions      atomic.Int64 // placed flows that are exceptions
	Adopted         atomic.Int64 // open flows without a record that the owner recorded
	Refused         atomic.Int64 // flows refused at their first packet
	Reset           atomic.Int64 // flows reset
	Queued          atomic.Int64 // packets queued until they can be decided
	Answered        atomic.Int64 // answers sent to ingress balancers
	Conflicts       atomic.Int64 // records that contradict a packet or another balancer
	Unrecorded      atomic.Int64 // flows not recorded because of MaxFlows
	ControlBytes    atomic.Int64 // bytes sent to other balancers, without handed-over packets
	DroppedMalform  atomic.Int64 // malformed packets, datagrams and messages
	DroppedService  atomic.Int64 // packets to an address of no service
	DroppedNoConfig atomic.Int64 // packets received before the first configuration
	DroppedNoOwner  atomic.Int64 // packets of slots whose owner is unknown
	DroppedHops     atomic.Int64 // packets handed over too often
	DroppedDoubt    atomic.Int64 // packets of unknown flows after the slot's records were lost
	DroppedQueue    atomic.Int64 // packets that did not fit into the queue
	DroppedBackend  atomic.Int64 // packets of exceptions on an unknown backend server
	DroppedLimit    atomic.Int64 // packets that could be neither placed nor refused
	DroppedStranger atomic.Int64 // datagrams and messages of unknown senders
	ConfigRejected  atomic.Int64 // invalid configurations
	Takeovers       atomic.Int64 // slots in completed claims, including those given up meanwhile
	Wakes           atomic.Int64 // times the process was found to have been paused
}

// peer holds what traffic goroutines need to know about another balancer.
type peer struct {
	address   netip.AddrPort
	reachable bool
}

// view is an immutable snapshot of the configuration and of the other balancers.
// Traffic goroutines read it without a lock.
type view struct {
	config *config.Compiled
	owners *ring.Owners
	peers  map[flow.MemberKey]peer
	// peerAddresses holds the addresses of the balancers on the platform's list.
	peerAddresses map[netip.AddrPort]bool
	// platformReader is true if this balancer is one of those that watch the platform.
	platformReader bool
	// readyMembers lists the reachable balancers that are ready to own slots.
	readyMembers []ring.Member
}

// Core decides for the packets of one balancer.
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
	// leaseUntil is the end of the lease in nanoseconds since 1970.
	leaseUntil  atomic.Int64
	recordCount atomic.Int64
	queuedCount atomic.Int64
	// budgetBytes is what is left of the control budget; negative while overdrawn.
	budgetBytes atomic.Int64
	// packetsAwaitLease is set while packets are queued until the lease is renewed.
	packetsAwaitLease atomic.Bool
	startedAt         time.Time

	// The fields below belong to the control goroutine.
	parser        *packet.Parser
	output        Output
	configHistory []*config.Compiled
	leaving       bool
	viewChanged   bool
	// claim is the pending claim, nil if there is none.
	claim          *claim
	lastID         uint64
	pendingSyncs   map[uint64]*pendingSync
	pendingRebases map[uint64]*pendingRebase
	// pendingRemovals holds, by replica, the low halves of the IDs of exceptions that
	// the replica has yet to delete.
	pendingRemovals  map[flow.MemberKey][]uint32
	fetchedReports   []fetchedReport
	lastIncarnations map[flow.MemberKey]uint64
	// restartedPeers holds the peers that were restarted or paused between the last
	// two views.
	restartedPeers           map[flow.MemberKey]bool
	nextSweepSlot            int
	lastRefillAt             time.Time
	lastGainUpdateAt         time.Time
	controlBytesAtGainUpdate int64
	// removalBytes is the part of the sent control bytes that removals took.
	removalBytes int64
	// peerCounts holds the last open-flow counts received from each peer.
	peerCounts map[flow.MemberKey]reportedCounts
	// sentCounts holds the open-flow counts last sent to the peers.
	sentCounts             map[flow.ServiceKey][]int64
	nextCountsAt           time.Time
	exceptionsAtGainUpdate int64
	nextConfigRequestAt    time.Time
	nextRemovalAt          time.Time
	viewPublishedAt        time.Time
	nextReconcileAt        time.Time
	lastSyncAt             time.Time
	lastRebaseAt           time.Time
}

// New returns a core without a configuration that knows no other balancers.
func New(settings Config) *Core {
	now := time.Now()
	c := &Core{
		settings:         settings,
		key:              settings.Self.Key(),
		log:              settings.Log,
		members:          member.New(member.Config{Self: settings.Self, Rand: settings.Rand}),
		placer:           place.New(place.Config{Rand: rand.New(rand.NewPCG(settings.Rand.Uint64(), settings.Rand.Uint64())), HashOnly: settings.HashOnly}),
		startedAt:        now,
		parser:           packet.NewParser(),
		pendingSyncs:     make(map[uint64]*pendingSync),
		pendingRebases:   make(map[uint64]*pendingRebase),
		pendingRemovals:  make(map[flow.MemberKey][]uint32),
		lastIncarnations: make(map[flow.MemberKey]uint64),
		peerCounts:       make(map[flow.MemberKey]reportedCounts),
		restartedPeers:   make(map[flow.MemberKey]bool),
		lastRefillAt:     now,
		lastGainUpdateAt: now,
	}
	c.view.Store(&view{owners: &ring.Owners{}, peers: map[flow.MemberKey]peer{}, platformReader: true})
	c.members.SetLoadSource(c.nextLoads)
	c.budgetBytes.Store(int64(settings.ControlBytesPerSecond))
	return c
}

// Members returns the membership. It must be used on the control goroutine only.
func (c *Core) Members() *member.Members {
	return c.members
}

// Placer returns the placer that chooses backend servers for new flows.
func (c *Core) Placer() *place.Placer {
	return c.placer
}

// Compiled returns the configuration in force, or nil if there is none. It may be
// called from any goroutine.
func (c *Core) Compiled() *config.Compiled {
	return c.view.Load().config
}

// IsPlatformReader reports whether this balancer is one of the few in its failure
// domain that watch the platform. It may be called from any goroutine.
func (c *Core) IsPlatformReader() bool {
	return c.view.Load().platformReader
}

// PeerAddress returns the address of a balancer, and whether the balancer is on the
// platform's list. It may be called from any goroutine.
func (c *Core) PeerAddress(key flow.MemberKey) (netip.AddrPort, bool) {
	found, listed := c.view.Load().peers[key]
	return found.address, listed
}

// FetchesReport reports whether this balancer fetches the backend server's load
// reports. It may be called from any goroutine.
func (c *Core) FetchesReport(backend flow.BackendKey) bool {
	return ring.RanksWithin(c.view.Load().readyMembers, c.key, uint32(backend), reportFetchersPerBackend)
}

// RecordCount returns the number of flow records, of all kinds. It may be called
// from any goroutine.
func (c *Core) RecordCount() int64 {
	return c.recordCount.Load()
}

// HasNoReadyPeer reports whether no other balancer is ready to own slots. It may be
// called from any goroutine.
func (c *Core) HasNoReadyPeer() bool {
	for _, candidate := range c.view.Load().readyMembers {
		if candidate.Key != c.key {
			return false
		}
	}
	return true
}

// HeldSlotCount returns the number of slots that this balancer owns. It may be
// called from any goroutine.
func (c *Core) HeldSlotCount() int {
	held := 0
	c.forEachSlot(func(s *slot) {
		if s.held {
			held++
		}
	})
	return held
}

// Leave stops offering to own slots, so that other balancers claim the held ones.
// The process may exit once HeldSlotCount returns zero and the fabric has stopped
// sending packets to it.
func (c *Core) Leave() Output {
	c.leaving = true
	c.members.SetReady(false)
	return c.takeOutput()
}

// recordSecond returns a time in the resolution that records use.
func (c *Core) recordSecond(now time.Time) flow.Second {
	return flow.Second(now.Sub(c.startedAt) / time.Second)
}

// leaseValid reports whether the lease has not expired.
func (c *Core) leaseValid(now time.Time) bool {
	return now.UnixNano() < c.leaseUntil.Load()
}

// chargeBudget subtracts sent bytes from the control budget. Replication is never
// delayed, so the budget can become negative; deferrable traffic then waits.
func (c *Core) chargeBudget(count int) {
	c.budgetBytes.Add(-int64(count))
	c.Counters.ControlBytes.Add(int64(count))
}

// hasBudget reports whether the budget allows deferrable traffic of count bytes.
func (c *Core) hasBudget(count int) bool {
	return c.budgetBytes.Load() >= int64(count)
}

// refillBudget adds the budget for the time since the last refill and keeps the
// result between the largest debt and the largest burst.
func (c *Core) refillBudget(now time.Time) {
	rate := float64(c.settings.ControlBytesPerSecond)
	gained := int64(rate * now.Sub(c.lastRefillAt).Seconds())
	c.lastRefillAt = now
	limit := int64(rate * maxBudgetBurst.Seconds())
	lowest := -int64(rate * maxBudgetDebt.Seconds())
	left := c.budgetBytes.Add(gained)
	if left > limit || left < lowest {
		c.budgetBytes.Store(min(max(left, lowest), limit))
	}
}

// refreshLease makes the membership's lease visible to the traffic goroutines. With
// no other balancer alive the lease does not expire.
func (c *Core) refreshLease() {
	until, alone := c.members.LeaseUntil()
	if alone {
		c.leaseUntil.Store(math.MaxInt64)
		return
	}
	if until.IsZero() {
		c.leaseUntil.Store(0)
		return
	}
	c.leaseUntil.Store(until.UnixNano())
}
