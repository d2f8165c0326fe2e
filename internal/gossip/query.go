package gossip

// Completing what is known of the members. Telling them by chance leaves gaps for long in a
// large fleet, so whoever hears of a member in brief that it does not know asks the teller,
// and whoever knows fewer than the teller does sends a list of those that it knows.

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/wire"
)

const (
	// queryPause lies between two requests of a balancer.
	queryPause = 100 * time.Millisecond
	// queryMost bounds the members asked for and told in full at once, so that the answer
	// fits the usual 1,500 bytes, and knownMost the list of those that are known.
	queryMost = 16
	knownMost = 250
)

// memberQuery is what a balancer is about to ask of members.
type memberQuery struct {
	next time.Time
	// unknown are members that the datagram at hand tells in brief and nobody has told in
	// full.
	unknown []uint32
}

// queryMembers asks a peer for members that it knows and this balancer does not.
func (n *Node) queryMembers(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	if now.Before(n.query.next) {
		return
	}
	query := &wire.MemberQuery{Shorts: n.query.unknown[:min(len(n.query.unknown), queryMost)]}
	if len(query.Shorts) == 0 {
		if int(message.Live) <= n.Count() {
			return
		}
		n.listKnown(query)
	}
	n.query.next = now.Add(queryPause)
	n.out = append(n.out, Message{To: from, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_MemberQuery{MemberQuery: query}})})
}

// listKnown lists those known, dead ones too, or as many as there is room for from some
// place on.
func (n *Node) listKnown(query *wire.MemberQuery) {
	query.Known = append(query.Known, uint32(rank(n.self.Name)))
	for short := range n.roster.short {
		query.Known = append(query.Known, short)
	}
	slices.Sort(query.Known)
	query.First, query.Last = 0, math.MaxUint32
	if surplus := len(query.Known) - knownMost; surplus > 0 {
		first := n.settings.Rand.IntN(surplus + 1)
		query.Known = query.Known[first : first+knownMost]
		if first > 0 {
			query.First = query.Known[0]
		}
		if first < surplus {
			query.Last = query.Known[knownMost-1]
		}
	}
}

// answerQuery tells members in full to a peer that asks.
func (n *Node) answerQuery(query *wire.MemberQuery, to netip.AddrPort, now time.Time) {
	message := n.greeting(now)
	for _, short := range query.Shorts {
		if m := n.roster.short[short]; m != nil {
			message.Members = m.appendFull(message.Members)
		}
	}
	if len(query.Known) > 0 {
		for _, m := range n.roster.live {
			short := m.brief.Short
			if _, known := slices.BinarySearch(query.Known, short); !known && short >= query.First && short <= query.Last {
				message.Members = m.appendFull(message.Members)
			}
		}
	}
	if len(message.Members) > 0 {
		n.out = append(n.out, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Gossip{Gossip: message}})})
	}
}

// appendFull adds a member that lives to a list that has room.
func (m *member) appendFull(list []*wire.Member) []*wire.Member {
	if !m.alive || len(list) >= queryMost {
		return list
	}
	return append(list, m.told)
}
