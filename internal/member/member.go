// Package member decides which other balancers are alive.
//
// It probes one balancer a period in a shuffled round, asks others to probe what
// did not answer, suspects, and after a while declares dead (SWIM). Changes ride
// on probes, so the cost of a balancer does not grow with the fleet. Heartbeats
// from everybody to everybody were rejected: 1,300 balancers would each receive
// as many a period.
//
// A balancer also keeps a lease: it may decide for others' flows only while
// somebody who does not suspect it answered a probe that it sent less than Lease
// ago. Lease is shorter than the time others take to declare it dead, so a
// process that was paused has lost its lease before another decides in its place.
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

// Times of the failure detector.
const (
	ProbeInterval    = 300 * time.Millisecond
	probeTimeout     = 150 * time.Millisecond
	suspicionTimeout = 1500 * time.Millisecond
	LeaseDuration    = 1 * time.Second
	// PauseThreshold is the time between ticks from which a process counts as paused.
	PauseThreshold = 700 * time.Millisecond
	// JoinTimeout is how long a balancer looks for others before it serves alone.
	JoinTimeout          = 1500 * time.Millisecond
	deadProbeInterval    = 1 * time.Second
	indirectProbeCount   = 2
	outdatedProbeFanOut  = 3
	maxUpdatesPerProbe   = 6
	retransmitMultiplier = 3
)

// Status is what is believed of a balancer.
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

// Peer is another balancer, as this one sees it.
type Peer struct {
	Instance    config.Instance
	Key         flow.MemberKey
	Status      Status
	Ready       bool
	Incarnation uint64
	Version     config.Version
	// Since is when the status was taken on.
	StatusSince time.Time
	// Heard is when the balancer last answered a probe.
	LastAck time.Time
}

// Event is a change that the owner of the membership has to act on.
type Event string

// The events of a membership.
const (
	// ViewChanged: the set of balancers that can own slots may have changed.
	ViewChanged Event = "ViewChanged"
	// Woken: this process was paused and must not believe what it knew.
	Resumed Event = "Woken"
	// DeclaredDead: others took over what this balancer owned.
	DeclaredDead Event = "DeclaredDead"
)

// Message is a probe to be sent.
type Message struct {
	To    netip.AddrPort
	Probe *wire.Probe
}

// Config describes the balancer that the membership belongs to.
type Config struct {
	Self config.Instance
	Rand *rand.Rand
}

// pending is a probe that has not been answered.
type pendingProbe struct {
	target            flow.MemberKey
	sentAt            time.Time
	indirectRequested bool
	// requester is the balancer that asked for the probe, zero for own probes.
	requester         flow.MemberKey
	requesterSequence uint32
}

// rumor is an update with the number of times it is still to be repeated.
type queuedUpdate struct {
	update    *wire.Update
	sendsLeft int
}

// Members is the membership of one balancer. It belongs to the control goroutine.
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

// New returns the membership of a balancer that knows nobody yet.
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

// maxRefutations is the largest count of refutations in one life.
const maxRefutations = 1_000_000

// SameRun reports whether two incarnations of a balancer belong to one life.
// A life's first incarnation is the nanosecond at which the process started or
// woke, and refutations count up from it by one, so lives lie far apart.
func SameRun(a, b uint64) bool {
	return max(a, b)-min(a, b) < maxRefutations
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

// SetReady offers to own slots, or takes the offer back.
func (m *Members) SetReady(ready bool) {
	if m.ready == ready {
		return
	}
	m.ready = ready
	m.incarnation++
	m.queueUpdate(m.key, m.incarnation, Alive, ready)
	m.addEvent(ViewChanged)
}

// SetVersion states the configuration version in force here.
func (m *Members) SetVersion(version config.Version) {
	m.version = version
}

// Nudge probes a few random balancers at once, so that a new configuration
// version reaches everybody in a few rounds rather than a few periods.
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

// SetLoadSource gives the source of load reports that ride on probes.
func (m *Members) SetLoadSource(loads func() []*wire.Load) {
	m.loads = loads
}

// SetInstances takes the platform's list. Balancers off the list are forgotten
// once they are dead: the list lags, and an instance that answers is there.
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

// shuffle starts a new round of probes in a new order.
func (m *Members) shuffle() {
	m.probeOrder = m.probeOrder[:0]
	for key := range m.peers {
		m.probeOrder = append(m.probeOrder, key)
	}
	// The sort makes the order depend on the seed alone, not on the map.
	slices.Sort(m.probeOrder)
	m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	m.nextProbeIndex = 0
}

// Peers returns all known peers, by key.
func (m *Members) Peers() []*Peer {
	peers := make([]*Peer, 0, len(m.peers))
	for _, peer := range m.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return int(int64(a.Key) - int64(b.Key)) })
	return peers
}

// Peer returns a peer, nil if it is not known.
func (m *Members) Peer(key flow.MemberKey) *Peer {
	return m.peers[key]
}

// Reachable reports whether the peer is believed to be alive or only suspected.
func (p *Peer) Reachable() bool {
	return p.Status == Alive || p.Status == Suspect
}

// LeaseUntil returns the time until which the balancer may decide. With nobody
// else alive there is nobody who could decide in its place, and the lease does
// not run out.
func (m *Members) LeaseUntil() (until time.Time, alone bool) {
	for _, peer := range m.peers {
		if peer.Reachable() {
			return m.leaseUntil, false
		}
	}
	return time.Time{}, m.JoinFinished()
}

// Found reports whether the balancer has reached another since its start or wake,
// or has looked for long enough to serve alone.
func (m *Members) JoinFinished() bool {
	return m.reachedPeer || time.Since(m.startedAt) >= JoinTimeout
}

// Drain returns and clears what is to be sent and acted on.
func (m *Members) TakeOutput() ([]Message, []Event) {
	messages, events := m.messages, m.events
	m.messages, m.events = nil, nil
	return messages, events
}

func (m *Members) addEvent(addEvent Event) {
	if !slices.Contains(m.events, addEvent) {
		m.events = append(m.events, addEvent)
	}
}

// Handle takes a probe from the network. Senders that are not on the platform's
// list are refused.
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

// acknowledge ends the probe that the answer belongs to.
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
