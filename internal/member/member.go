// Package member detects which other balancers are alive.
//
// It implements the SWIM protocol. In each interval a balancer probes one peer, in
// a shuffled round-robin order. If the peer does not answer, other peers are asked
// to probe it. A peer that still does not answer is suspected, and declared dead
// when the suspicion times out. Status changes are piggybacked on probes, so the
// cost per balancer does not grow with the number of balancers. Heartbeats from
// every balancer to every other were rejected: each of 1,300 balancers would
// receive 1,300 heartbeats per interval.
//
// A balancer also holds a lease. It may decide about flows of the slots it owns
// only while a peer that does not suspect it has answered a probe sent less than
// LeaseDuration ago. LeaseDuration is shorter than the time after which peers
// declare a balancer dead, so a process that was paused has lost its lease before
// another balancer takes over.
package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Parameters of the failure detector and the lease.
const (
	// ProbeInterval is the time between two probes of the round-robin order.
	ProbeInterval    = 300 * time.Millisecond
	probeTimeout     = 150 * time.Millisecond
	suspicionTimeout = 1500 * time.Millisecond
	// LeaseDuration is the time for which an answer extends the lease, counted from
	// the sending of the probe.
	LeaseDuration = 1 * time.Second
	// PauseThreshold is the time between two ticks above which the process is assumed
	// to have been paused.
	PauseThreshold = 700 * time.Millisecond
	// JoinTimeout is how long a balancer looks for peers before it serves without any.
	JoinTimeout       = 1500 * time.Millisecond
	deadProbeInterval = 1 * time.Second
	// indirectProbeCount is the number of peers that are asked to probe a peer that did
	// not answer.
	indirectProbeCount = 2
	// outdatedProbeFanOut is the number of peers that ProbeOutdated probes.
	outdatedProbeFanOut = 3
	maxUpdatesPerProbe  = 6
	// Each update is sent about retransmitMultiplier * log2(n) times among n balancers.
	retransmitMultiplier = 3
)

// Status is the status of a balancer as determined by the failure detector.
type Status string

// The statuses of a balancer.
const (
	Unknown Status = "Unknown"
	Alive   Status = "Alive"
	Suspect Status = "Suspect"
	Dead    Status = "Dead"
)

var statusToWire = map[Status]wire.Status{
	Unknown: wire.Status_STATUS_UNKNOWN,
	Alive:   wire.Status_STATUS_ALIVE,
	Suspect: wire.Status_STATUS_SUSPECT,
	Dead:    wire.Status_STATUS_DEAD,
}

var statusFromWire = map[wire.Status]Status{
	wire.Status_STATUS_ALIVE:   Alive,
	wire.Status_STATUS_SUSPECT: Suspect,
	wire.Status_STATUS_DEAD:    Dead,
}

// Peer is the state that a balancer knows of another balancer.
type Peer struct {
	Instance config.Instance
	Key      flow.MemberKey
	Status   Status
	// Ready is true if the peer offers to own slots.
	Ready       bool
	Incarnation uint64
	// Version is the configuration version that the peer last reported, 0 if unknown.
	Version config.Version
	// StatusSince is the time of the last change of Status.
	StatusSince time.Time
	// LastAck is the time at which the peer last answered a probe, directly or indirectly.
	LastAck time.Time
}

// Event is a change that the user of Members has to act on.
type Event string

// The values of Event.
const (
	// ViewChanged: the set of balancers that can own slots may have changed.
	ViewChanged Event = "ViewChanged"
	// Resumed: this process was paused, so its state may be outdated.
	Resumed Event = "Woken"
	// DeclaredDead: peers declared this balancer dead and took over its slots.
	DeclaredDead Event = "DeclaredDead"
)

// Message is a probe to send and its destination.
type Message struct {
	To    netip.AddrPort
	Probe *wire.Probe
}

// Config holds the settings of Members: the instance that it runs on and the source of
// randomness.
type Config struct {
	Self config.Instance
	Rand *rand.Rand
}

// pendingProbe is a probe that has been sent and not answered yet.
type pendingProbe struct {
	target            flow.MemberKey
	sentAt            time.Time
	indirectRequested bool
	// requester is the balancer that requested an indirect probe, and
	// requesterSequence the sequence number of its request. Both are zero for the
	// balancer's own probes.
	requester         flow.MemberKey
	requesterSequence uint32
}

// queuedUpdate is a status update and the number of times it is still to be sent.
type queuedUpdate struct {
	update    *wire.Update
	sendsLeft int
}

// Members is one balancer's view of all others in its fabric, maintained by the failure
// detector. It is not safe for concurrent use; the control goroutine owns it.
type Members struct {
	self            config.Instance
	key             flow.MemberKey
	random          *rand.Rand
	peers           map[flow.MemberKey]*Peer
	probeOrder      []flow.MemberKey
	nextProbeIndex  int
	incarnation     uint64
	ready           bool
	version         config.Version
	loads           func() []*wire.Load
	sequence        uint32
	pending         map[uint32]pendingProbe
	updates         map[flow.MemberKey]*queuedUpdate
	events          []Event
	messages        []Message
	startedAt       time.Time
	lastTick        time.Time
	nextProbeAt     time.Time
	nextDeadProbeAt time.Time
	leaseUntil      time.Time
	reachedPeer     bool
}

// New returns Members without peers.
func New(settings Config) *Members {
	now := time.Now()
	return &Members{
		self:        settings.Self,
		key:         settings.Self.Key(),
		random:      settings.Rand,
		peers:       make(map[flow.MemberKey]*Peer),
		incarnation: uint64(now.UnixNano()),
		pending:     make(map[uint32]pendingProbe),
		updates:     make(map[flow.MemberKey]*queuedUpdate),
		startedAt:   now,
		lastTick:    now,
		loads:       func() []*wire.Load { return nil },
	}
}

// maxIncrementsPerRun exceeds the number of times that a process increments its
// incarnation between two starts or pauses.
const maxIncrementsPerRun = 1_000_000

// SameRun reports whether two incarnations of a balancer belong to the same run, which
// is the time from a start or pause of the process to the next. The first incarnation of
// a run is its start time in Unix nanoseconds. Refutations and changes of readiness
// increment it by one, so the incarnations of different runs are far apart.
func SameRun(a, b uint64) bool {
	return max(a, b)-min(a, b) < maxIncrementsPerRun
}

// Key returns the balancer's own key.
func (m *Members) Key() flow.MemberKey {
	return m.key
}

// Incarnation returns the balancer's own incarnation.
func (m *Members) Incarnation() uint64 {
	return m.incarnation
}

// Ready reports whether the balancer offers to own slots.
func (m *Members) Ready() bool {
	return m.ready
}

// SetReady sets whether the balancer offers to own slots.
func (m *Members) SetReady(ready bool) {
	if m.ready == ready {
		return
	}
	m.ready = ready
	m.incarnation++
	m.queueUpdate(m.key, m.incarnation, Alive, ready)
	m.recordEvent(ViewChanged)
}

// SetVersion sets the balancer's own configuration version, which probes carry.
func (m *Members) SetVersion(version config.Version) {
	m.version = version
}

// ProbeOutdated immediately probes a few random peers that have an older configuration
// version, so that a new version spreads within a few round trips rather than a few
// probe intervals.
func (m *Members) ProbeOutdated() {
	now := time.Now()
	probed := 0
	for _, index := range m.random.Perm(len(m.probeOrder)) {
		peer := m.peers[m.probeOrder[index]]
		if peer == nil || !peer.Reachable() || peer.Version >= m.version {
			continue
		}
		m.ping(peer, now, 0, 0)
		probed++
		if probed == outdatedProbeFanOut {
			return
		}
	}
}

// SetLoadSource sets the function that returns the load reports to piggyback on probes.
func (m *Members) SetLoadSource(loads func() []*wire.Load) {
	m.loads = loads
}

// SetInstances sets the platform's list of instances. A peer that is not listed is removed
// only if it is not alive or suspected: the list may be outdated, and an instance that
// answers still exists.
func (m *Members) SetInstances(list config.Instances) {
	listed := make(map[flow.MemberKey]bool, len(list.Instances))
	for _, instance := range list.Instances {
		key := instance.Key()
		listed[key] = true
		if key == m.key || instance.Fabric != m.self.Fabric {
			continue
		}
		if peer, known := m.peers[key]; known {
			peer.Instance = instance
			continue
		}
		m.peers[key] = &Peer{Instance: instance, Key: key, Status: Unknown, StatusSince: time.Now()}
	}
	for key, peer := range m.peers {
		if !listed[key] && peer.Status != Alive && peer.Status != Suspect {
			delete(m.peers, key)
		}
	}
	m.shuffle()
}

// shuffle starts a new round of probes in a new random order.
func (m *Members) shuffle() {
	m.probeOrder = m.probeOrder[:0]
	for key := range m.peers {
		m.probeOrder = append(m.probeOrder, key)
	}
	// Sorting makes the order independent of the map's iteration order, so that it
	// depends only on the random seed.
	slices.Sort(m.probeOrder)
	m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	m.nextProbeIndex = 0
}

// Peers returns all known peers, sorted by key.
func (m *Members) Peers() []*Peer {
	peers := make([]*Peer, 0, len(m.peers))
	for _, peer := range m.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return int(int64(a.Key) - int64(b.Key)) })
	return peers
}

// Peer returns the peer with the given key, or nil if it is unknown.
func (m *Members) Peer(key flow.MemberKey) *Peer {
	return m.peers[key]
}

// Reachable reports whether the peer is alive or suspected.
func (p *Peer) Reachable() bool {
	return p.Status == Alive || p.Status == Suspect
}

// LeaseUntil returns the expiry time of the balancer's lease. If no peer is reachable, no
// other balancer can take over: then alone is true once joining has finished, and the
// lease does not expire.
func (m *Members) LeaseUntil() (until time.Time, alone bool) {
	for _, peer := range m.peers {
		if peer.Reachable() {
			return m.leaseUntil, false
		}
	}
	return time.Time{}, m.JoinFinished()
}

// JoinFinished reports whether the balancer has reached a peer since it was started or
// resumed, or JoinTimeout has elapsed since then.
func (m *Members) JoinFinished() bool {
	return m.reachedPeer || time.Since(m.startedAt) >= JoinTimeout
}

// TakeOutput returns the messages to send and the events to act on, and clears both.
func (m *Members) TakeOutput() ([]Message, []Event) {
	messages, events := m.messages, m.events
	m.messages, m.events = nil, nil
	return messages, events
}

// event adds an event to the output unless it is already there.
func (m *Members) recordEvent(event Event) {
	if !slices.Contains(m.events, event) {
		m.events = append(m.events, event)
	}
}

// HandleProbe processes a probe from the network. It returns false if the sender is not a
// known peer, which means that it is not on the platform's list.
func (m *Members) HandleProbe(probe *wire.Probe) (accepted bool) {
	peer := m.peers[flow.MemberKey(probe.From)]
	if peer == nil {
		return false
	}
	now := time.Now()
	m.mergeStatus(peer, probe.Incarnation, Alive, probe.Ready)
	if peer.Incarnation == probe.Incarnation {
		peer.Version = max(peer.Version, config.Version(probe.ConfigVersion))
	}
	for _, update := range probe.Updates {
		m.applyUpdate(update)
	}
	switch probe.Kind {
	case wire.ProbeKind_PROBE_KIND_PING:
		m.send(peer, wire.ProbeKind_PROBE_KIND_ACK, probe.Sequence, m.key)
	case wire.ProbeKind_PROBE_KIND_REQUEST:
		if target := m.peers[flow.MemberKey(probe.Target)]; target != nil {
			m.ping(target, now, peer.Key, probe.Sequence)
		}
	case wire.ProbeKind_PROBE_KIND_ACK:
		m.handleAck(peer, probe, now)
	}
	return true
}

// handleAck completes the pending probe that the acknowledgment belongs to. It forwards the
// acknowledgment of an indirect probe to its requester. A direct acknowledgment from a
// target that does not suspect this balancer extends the lease.
func (m *Members) handleAck(peer *Peer, probe *wire.Probe, now time.Time) {
	sent, waiting := m.pending[probe.Sequence]
	if !waiting || sent.target != flow.MemberKey(probe.Target) {
		return
	}
	delete(m.pending, probe.Sequence)
	if sent.requester != 0 {
		if requester := m.peers[sent.requester]; requester != nil {
			m.send(requester, wire.ProbeKind_PROBE_KIND_ACK, sent.requesterSequence, sent.target)
		}
		return
	}
	m.reachedPeer = true
	target := m.peers[sent.target]
	target.LastAck = now
	if peer.Key == sent.target && !probe.Suspected {
		if until := sent.sentAt.Add(LeaseDuration); until.After(m.leaseUntil) {
			m.leaseUntil = until
		}
	}
}
