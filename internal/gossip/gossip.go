// Package gossip lets balancers find each other from a few seeds, and relay what the
// platform publishes and the load that each of them causes.
//
// Every period a balancer sends one datagram to a few others. It carries the sender's
// heartbeat, some of the heartbeats that it knows, the revision of its replica with
// the time at which that was known to be the newest, and its load. A receiver with an
// older revision asks for the difference, which comes in parts, from whoever has some
// of them (transfer.go, serve.go, fetch.go).
//
// Sessions between all pairs, as package link has them, were rejected: they cost a
// connection and its wake-ups for each pair, and may go silent without an error. A
// lost datagram is repaired by the next period. SWIM's probes were rejected as well:
// nothing here depends on knowing soon that a balancer is dead, since its flows go on
// at any other.
//
// A Node has no sockets and no goroutines; it belongs to one goroutine.
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
	// Period lies between two rounds. News reaches a thousand balancers in five or six, and
	// each datagram costs two system calls.
	Period = 200 * time.Millisecond
	// fanout is the number of balancers told in each round.
	fanout = 4
	// readerFanout is the same for the two readers: what they know is news to all, and
	// their heartbeats are to reach all of a large fleet within deadSpan.
	readerFanout = 8
	// membersTold bounds the heartbeats in a datagram, so that its size does not
	// grow with the fleet.
	membersTold = 13
	// seedPeriod lies between two datagrams to a seed that is not known to be alive,
	// seedHurry while nobody is known at all.
	seedPeriod = 2 * time.Second
	seedHurry  = 100 * time.Millisecond
	// departedSources is how many peers tell a newcomer of departed backend servers: some
	// of them may have just started, too.
	departedSources = 3
	// newestMargin is how long a call to the platform may take at the most usually;
	// what a call returned was the newest that long ago.
	newestMargin = 100 * time.Millisecond
)

// Config sets a Node up.
type Config struct {
	Name    string
	Domain  string
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	Rand    *rand.Rand
	Log     logr.Logger
	Replica *state.Replica
	// BulkRate bounds what is sent of differences, 0 is DefaultBulkRate.
	BulkRate Rate
	// Reports returns this balancer's load in the groups of backend servers that are due.
	// TakeTotals gets the others' load in a group.
	Reports    func(now time.Time) []tagged.LoadReport
	TakeTotals func(group tally.GroupID, loads []tally.Load, now time.Time)
	// Inquired is called when a peer asks whether backend servers are reached from here;
	// the answer is made with Opinion. TakeOpinion gets a peer's answer.
	Inquired    func(from netip.AddrPort, tags []state.Tag, now time.Time)
	TakeOpinion func(peer string, opinion tagged.ReachabilityReport, now time.Time)
	// Changed is called after the replica has changed.
	Changed func(source string, now time.Time)
	// Confirmed is called with a time at which the replica was the newest.
	Confirmed func(at time.Time)
}

// Message is a datagram to send.
type Message struct {
	To   netip.AddrPort
	Data []byte
}

// Node is one balancer's part in the gossip.
type Node struct {
	settings  Config
	self      wire.Member
	roster    roster
	confirmed time.Time
	nextRound time.Time
	nextSeeds time.Time
	query     memberQuery
	outgoing  outgoing
	// view is what is fetched of changes, departed of backend servers that have left.
	view, departed fetch
	// departedAnswers counts the peers that have told of departed backend servers.
	departedAnswers int
	collecting      collecting
	out             []Message
	readerKnown     bool
	wasReader       bool
}

// New returns a node that knows nobody.
func New(settings Config) (*Node, error) {
	endpoint, ok := state.EndpointOf(settings.Address)
	if !ok {
		return nil, fmt.Errorf("gossip: listen on %s: the address is not IPv4", settings.Address)
	}
	n := &Node{
		settings:   settings,
		roster:     roster{named: make(map[string]*member), short: make(map[uint32]*member)},
		collecting: newCollecting(),
	}
	n.outgoing.rate = cmp.Or(settings.BulkRate, DefaultBulkRate)
	// The time of day may jump, so that lives are told apart by a random number.
	n.self = wire.Member{
		Name:        settings.Name,
		Domain:      settings.Domain,
		Endpoint:    uint64(endpoint),
		Incarnation: settings.Rand.Uint64(),
	}
	return n, nil
}

// SetSeeds replaces the seeds after a reload.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.settings.Seeds = seeds }

// Confirmed returns when the replica was last known to be the newest.
func (n *Node) Confirmed() time.Time { return n.confirmed }

// TakeReading takes in what the platform has answered, and tells peers at once if
// that is news.
func (n *Node) TakeReading(delta state.Delta, now time.Time) []Message {
	n.out = nil
	if !n.settings.Replica.CanApply(delta) {
		return nil
	}
	changed, err := n.settings.Replica.Apply(delta, now)
	if err != nil {
		n.settings.Log.Error(err, "gossip: reading of the platform refused")
		return nil
	}
	if changed {
		n.settings.Changed("platform", now)
		n.round(now)
	}
	n.confirm(now.Add(-newestMargin))
	return n.out
}

func (n *Node) confirm(at time.Time) {
	if at.After(n.confirmed) {
		n.confirmed = at
		n.settings.Confirmed(at)
	}
}

// Tick does what is due.
func (n *Node) Tick(now time.Time) []Message {
	n.out = nil
	n.expire(now)
	if !now.Before(n.nextRound) {
		n.nextRound = now.Add(Period)
		n.round(now)
	}
	if !now.Before(n.nextSeeds) {
		n.tellSeeds(now)
	}
	n.pursue(now)
	n.serve(now)
	n.report(now)
	return n.out
}

// Leave tells some peers that this balancer is about to end.
func (n *Node) Leave(now time.Time) []Message {
	n.out = nil
	n.self.Leaving = true
	n.round(now)
	return n.out
}

// SetBlind notes whether the platform can be reached from here, and tells peers at once
// if that is news: another one is to read instead.
func (n *Node) SetBlind(blind bool, now time.Time) []Message {
	n.out = nil
	if n.self.Blind != blind {
		n.self.Blind = blind
		n.roster.stale = true
		n.round(now)
	}
	return n.out
}

// round tells a few members, and now and then one that seems dead: a cut may have
// ended.
func (n *Node) round(now time.Time) {
	n.self.Beat++
	n.chooseReaders(now)
	targets := n.pickTargets(n.width())
	if len(targets) == 0 {
		return
	}
	data := n.gossip(n.tell(), now)
	for _, target := range targets {
		n.out = append(n.out, Message{To: target, Data: data})
	}
}

// width returns how many members a round tells.
func (n *Node) width() int {
	if n.isReader(&n.self) {
		return readerFanout
	}
	return fanout
}

func (n *Node) tellSeeds(now time.Time) {
	live := n.roster.live
	pause := seedPeriod
	if len(live) == 0 {
		pause = seedHurry
	}
	n.nextSeeds = now.Add(pause)
	known := make(map[netip.AddrPort]bool, len(live))
	for _, m := range live {
		known[m.address] = true
	}
	for _, seed := range n.settings.Seeds {
		if seed != n.settings.Address && !known[seed] {
			n.out = append(n.out, Message{To: seed, Data: n.gossip(n.tell(), now)})
		}
	}
}

// greeting returns what a datagram of this moment tells of the sender.
func (n *Node) greeting(now time.Time) *wire.Gossip {
	message := &wire.Gossip{
		Sender:   &n.self,
		Revision: uint64(n.settings.Replica.Revision()),
		Live:     uint32(n.Count()),
		Fetching: uint64(n.view.fetching()),
	}
	if !n.confirmed.IsZero() {
		message.ConfirmedMilliseconds = uint32(now.Sub(n.confirmed).Milliseconds()) + 1
	}
	return message
}

// gossip returns a datagram of this moment that tells of some members.
func (n *Node) gossip(members []*wire.Member, now time.Time) []byte {
	message := n.greeting(now)
	message.Members = members
	return n.marshal(&wire.Exchange{Body: &wire.Exchange_Gossip{Gossip: message}})
}

// Receive takes a datagram in. The error says what is wrong with it.
func (n *Node) Receive(data []byte, from netip.AddrPort, now time.Time) ([]Message, error) {
	n.out = nil
	exchange := &wire.Exchange{}
	if err := proto.Unmarshal(data, exchange); err != nil {
		return nil, fmt.Errorf("gossip: read datagram of %s: %w", from, err)
	}
	switch body := exchange.Body.(type) {
	case *wire.Exchange_Gossip:
		n.takeGossip(body.Gossip, from, now)
	case *wire.Exchange_MemberQuery:
		n.answerQuery(body.MemberQuery, from, now)
	case *wire.Exchange_Tally:
		n.takeTally(body.Tally, from, now)
	case *wire.Exchange_Totals:
		n.takeTotals(body.Totals, from, now)
	case *wire.Exchange_Want:
		n.answer(body.Want, from, now)
	case *wire.Exchange_Part:
		err := n.takePart(body.Part, from, now)
		return n.out, err
	case *wire.Exchange_Inquiry:
		n.settings.Inquired(from, tagsOf(body.Inquiry.Tags), now)
	case *wire.Exchange_Opinion:
		n.settings.TakeOpinion(from.String(), decodeOpinion(body.Opinion), now)
	default:
		return nil, fmt.Errorf("gossip: datagram of %s has no body", from)
	}
	return n.out, nil
}

func (n *Node) takeGossip(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	sender := message.Sender
	if sender == nil || sender.Name == "" || sender.Name == n.self.Name {
		return
	}
	n.query.unknown = n.query.unknown[:0]
	newcomer := n.hear(sender, true, now)
	for _, other := range message.Members {
		n.hear(other, false, now)
	}
	if newcomer {
		n.out = append(n.out, Message{To: from, Data: n.gossip(n.tell(), now)})
	}
	n.queryMembers(message, from, now)
	n.compare(message, from, now)
	n.learnDeparted(message, from, now)
}
