// Package gossip maintains the membership of a fleet of balancers, starting from a few
// seeds, and distributes the platform's published state and the load that each balancer
// causes.
//
// In each round a balancer sends a gossip datagram to a few others. It carries the sender's
// heartbeat, some of the other heartbeats that it knows, the revision of its replica and
// the time at which that revision was last known to be current. A receiver with an older
// revision requests the difference, which is sent in parts by any balancer that has some of
// them (transfer.go, serve.go, fetch.go). Loads are reported in datagrams of their own
// (collect.go).
//
// Sessions between all pairs, as in package link, were rejected: each pair costs a
// connection and its wake-ups, and a session may stop working without an error. With
// gossip, the next round makes up for a lost datagram. The probes of SWIM were rejected as
// well: nothing here depends on the fast detection of a dead balancer, because any other
// balancer can continue its flows.
//
// A Node has no sockets and no goroutines. It is not safe for concurrent use.
package gossip

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
	"wigeonmoor.example/internal/wire"
)

const (
	// RoundInterval is the time between two rounds. A change reaches a thousand balancers
	// in five or six rounds, and each datagram costs two system calls.
	RoundInterval = 200 * time.Millisecond
	// fanout is the number of balancers that a round sends to.
	fanout = 4
	// readerFanout replaces fanout for the two readers (see IsReader). They are the first to
	// have changes, and their heartbeats must reach all of a large fleet within
	// heartbeatTimeout.
	readerFanout = 8
	// maxRecordsPerDatagram bounds the member records in a datagram, so that its size does
	// not grow with the fleet.
	maxRecordsPerDatagram = 13
	// seedInterval is the time between two datagrams to the seeds that are not known to be
	// alive. isolatedSeedInterval replaces it while no live member is known.
	seedInterval         = 2 * time.Second
	isolatedSeedInterval = 100 * time.Millisecond
	// maxRemovalTransfers is the number of times that a new balancer fetches the removals
	// of backend servers, usually from different peers. One is not enough, because
	// that peer may itself have just started.
	maxRemovalTransfers = 3
	// platformReadMargin is the usual upper bound of the duration of a call to the
	// platform. The result of a call is known to have been current that long before the
	// call returned.
	platformReadMargin = 100 * time.Millisecond
)

// Config holds the settings, state and callbacks of a Node. All callbacks are required.
type Config struct {
	// Name identifies the balancer in the fleet, Domain is its failure domain, and Address
	// the IPv4 address and port at which it receives datagrams.
	Name    string
	Domain  string
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	Rand    *rand.Rand
	Log     logr.Logger
	Replica *state.Replica
	// TransferRate bounds the rate at which parts of transfers are sent. 0 means
	// DefaultTransferRate.
	TransferRate BytesPerSecond
	// DueLoadReports returns this balancer's loads on the groups of backend servers that are
	// due to be reported. HandlePeerLoads receives the load that all other balancers cause in
	// a group.
	DueLoadReports  func(now time.Time) []tagged.LoadReport
	HandlePeerLoads func(group tally.GroupID, loads []tally.Load, now time.Time)
	// HandleReachabilityQuery is called when a peer queries whether backend servers are
	// reachable from here; ReportReachability returns the answer to send.
	// HandleReachabilityReport receives the answer of a peer.
	HandleReachabilityQuery  func(from netip.AddrPort, tags []state.Tag, now time.Time)
	HandleReachabilityReport func(peer string, report tagged.ReachabilityReport, now time.Time)
	// OnChange is called after the replica has changed. The source is "platform" or the
	// address of the peer that completed the transfer.
	OnChange func(source string, now time.Time)
	// OnConfirm is called with the latest time at which the replica is known to have been
	// current.
	OnConfirm func(at time.Time)
}

// Message is a datagram to be sent by the caller.
type Message struct {
	To   netip.AddrPort
	Data []byte
}

// Node is the gossip state machine of one balancer. Its methods return the datagrams to
// send.
type Node struct {
	config      Config
	self        wire.Member
	members     memberList
	confirmedAt time.Time
	nextRound   time.Time
	nextSeeds   time.Time
	query       queryState
	uploads     uploads
	// stateFetch receives changes of the published state, removalFetch the removals of
	// backend servers from it.
	stateFetch, removalFetch fetch
	// removalTransfers counts the complete transfers of removals.
	removalTransfers int
	loads            loadExchange
	outbox           []Message
	readerLogged     bool
	wasReader        bool
	// startedAt is the time of the first tick. peerLiveCount is the number of live members that
	// the last peer has reported.
	startedAt     time.Time
	peerLiveCount int
}

// New returns a node that knows no other members. It returns an error if the address is not
// IPv4.
func New(config Config) (*Node, error) {
	endpoint, ok := state.EndpointOf(config.Address)
	if !ok {
		return nil, fmt.Errorf("gossip: peer address %s is not IPv4", config.Address)
	}
	n := &Node{
		config:  config,
		members: memberList{byName: make(map[string]*member), byShort: make(map[uint32]*member)},
		loads:   newLoadExchange(),
	}
	n.uploads.rate = cmp.Or(config.TransferRate, DefaultTransferRate)
	// Incarnations are random numbers rather than start times, because the wall clock may
	// jump.
	n.self = wire.Member{
		Name:        config.Name,
		Domain:      config.Domain,
		Endpoint:    uint64(endpoint),
		Incarnation: config.Rand.Uint64(),
	}
	return n, nil
}

// SetSeeds replaces the seed addresses when the settings are reloaded.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.config.Seeds = seeds }

// ConfirmedAt returns the latest time at which the replica is known to have been current,
// the zero time if there is none.
func (n *Node) ConfirmedAt() time.Time { return n.confirmedAt }

// ApplyPlatformDelta applies a delta that was read from the platform. If it changes the
// replica, a round is sent at once. A delta that is older than the replica confirms nothing.
func (n *Node) ApplyPlatformDelta(delta state.Delta, now time.Time) []Message {
	n.outbox = nil
	if !n.config.Replica.CanApply(delta) {
		return nil
	}
	changed, err := n.config.Replica.Apply(delta, now)
	if err != nil {
		n.config.Log.Error(err, "gossip: could not apply delta read from the platform")
		return nil
	}
	if changed {
		n.config.OnChange("platform", now)
		n.sendRound(now)
	}
	if delta.To >= n.config.Replica.Revision() {
		n.confirm(now.Add(-platformReadMargin))
	}
	return n.outbox
}

// confirm records that the replica was current at the given time.
func (n *Node) confirm(at time.Time) {
	if at.After(n.confirmedAt) {
		n.confirmedAt = at
		n.config.OnConfirm(at)
	}
}

// Tick runs all periodic work that is due.
func (n *Node) Tick(now time.Time) []Message {
	n.outbox = nil
	if n.startedAt.IsZero() {
		n.startedAt = now
	}
	n.expireMembers(now)
	if !now.Before(n.nextRound) {
		n.nextRound = now.Add(RoundInterval)
		n.sendRound(now)
	}
	if !now.Before(n.nextSeeds) {
		n.gossipToSeeds(now)
	}
	n.requestMissing(now)
	n.sendParts(now)
	n.sendReports(now)
	return n.outbox
}

// Leave announces to some peers that this balancer is about to stop.
func (n *Node) Leave(now time.Time) []Message {
	n.outbox = nil
	n.self.Leaving = true
	n.sendRound(now)
	return n.outbox
}

// SetPlatformUnreachable records whether this balancer cannot reach the platform. A change
// is announced at once, so that another balancer becomes a reader.
func (n *Node) SetPlatformUnreachable(unreachable bool, now time.Time) []Message {
	n.outbox = nil
	if n.self.Blind != unreachable {
		n.self.Blind = unreachable
		n.members.readersStale = true
		n.sendRound(now)
	}
	return n.outbox
}

// sendRound sends a gossip datagram to a few members.
func (n *Node) sendRound(now time.Time) {
	n.self.Beat++
	n.electReaders(now)
	targets := n.pickTargets(n.roundFanout())
	if len(targets) == 0 {
		return
	}
	data := n.marshalGossip(n.selectRecords(), now)
	for _, target := range targets {
		n.outbox = append(n.outbox, Message{To: target, Data: data})
	}
}

// roundFanout returns the number of live members that a round sends to.
func (n *Node) roundFanout() int {
	if n.members.readers.contains(&n.self) {
		return readerFanout
	}
	return fanout
}

// gossipToSeeds sends a gossip datagram to each seed that is not a live member.
func (n *Node) gossipToSeeds(now time.Time) {
	live := n.members.live
	interval := seedInterval
	if len(live) == 0 {
		interval = isolatedSeedInterval
	}
	n.nextSeeds = now.Add(interval)
	known := make(map[netip.AddrPort]bool, len(live))
	for _, m := range live {
		known[m.address] = true
	}
	for _, seed := range n.config.Seeds {
		if seed != n.config.Address && !known[seed] {
			n.outbox = append(n.outbox, Message{To: seed, Data: n.marshalGossip(n.selectRecords(), now)})
		}
	}
}

// newGossip returns a gossip message with the sender's current state and no member records.
func (n *Node) newGossip(now time.Time) *wire.Gossip {
	message := &wire.Gossip{
		Sender:   &n.self,
		Revision: uint64(n.config.Replica.Revision()),
		Live:     uint32(n.LiveCount()),
		Fetching: uint64(n.stateFetch.targetRevision()),
	}
	if !n.confirmedAt.IsZero() {
		message.ConfirmedMilliseconds = uint32(now.Sub(n.confirmedAt).Milliseconds()) + 1
	}
	return message
}

// marshalGossip returns a gossip datagram with the given member records.
func (n *Node) marshalGossip(records []*wire.Member, now time.Time) []byte {
	message := n.newGossip(now)
	message.Members = records
	return n.marshal(&wire.Exchange{Body: &wire.Exchange_Gossip{Gossip: message}})
}

// Receive handles a datagram and returns the datagrams to send in response. It returns an
// error if the datagram cannot be parsed or its content cannot be applied.
func (n *Node) Receive(data []byte, from netip.AddrPort, now time.Time) ([]Message, error) {
	n.outbox = nil
	exchange := &wire.Exchange{}
	if err := proto.Unmarshal(data, exchange); err != nil {
		return nil, fmt.Errorf("gossip: unmarshal datagram from %s: %w", from, err)
	}
	switch body := exchange.Body.(type) {
	case *wire.Exchange_Gossip:
		n.handleGossip(body.Gossip, from, now)
	case *wire.Exchange_MemberQuery:
		n.handleMemberQuery(body.MemberQuery, from, now)
	case *wire.Exchange_Tally:
		n.handleTally(body.Tally, from, now)
	case *wire.Exchange_Totals:
		n.handleTotals(body.Totals, from, now)
	case *wire.Exchange_Want:
		n.handleWant(body.Want, from, now)
	case *wire.Exchange_Part:
		err := n.handlePart(body.Part, from, now)
		return n.outbox, err
	case *wire.Exchange_Inquiry:
		n.config.HandleReachabilityQuery(from, decodeTags(body.Inquiry.Tags), now)
	case *wire.Exchange_Opinion:
		n.config.HandleReachabilityReport(from.String(), decodeReachabilityReport(body.Opinion), now)
	default:
		return nil, fmt.Errorf("gossip: datagram from %s has no body", from)
	}
	return n.outbox, nil
}

func (n *Node) handleGossip(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	sender := message.Sender
	if sender == nil || sender.Name == "" || sender.Name == n.self.Name {
		return
	}
	n.query.unknownShorts = n.query.unknownShorts[:0]
	n.peerLiveCount = int(message.Live)
	isNew := n.mergeRecord(sender, true, now)
	for _, other := range message.Members {
		n.mergeRecord(other, false, now)
	}
	if isNew {
		n.outbox = append(n.outbox, Message{To: from, Data: n.marshalGossip(n.selectRecords(), now)})
	}
	n.queryMissingMembers(message, from, now)
	n.compareRevisions(message, from, now)
	n.requestRemovalsIfNeeded(message, from, now)
}
