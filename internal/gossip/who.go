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
	// whoPause lies between two requests of a balancer.
	whoPause = 100 * time.Millisecond
	// whoMost bounds the members asked for and told in full at once, so that the answer
	// fits the usual 1,500 bytes, and knownMost the list of those that are known.
	whoMost   = 16
	knownMost = 250
)

// who is what a balancer does not know.
type who struct {
	next time.Time
	// unknown are members that the datagram at hand tells in brief and nobody has told in
	// full.
	unknown []uint32
}

// askWho asks a peer for members that it knows and this balancer does not.
func (n *Node) askWho(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	if now.Before(n.who.next) {
		return
	}
	who := &wire.Who{Shorts: n.who.unknown[:min(len(n.who.unknown), whoMost)]}
	if len(who.Shorts) == 0 {
		if int(message.Live) <= n.Count() {
			return
		}
		n.listKnown(who)
	}
	n.who.next = now.Add(whoPause)
	n.out = append(n.out, Message{To: from, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Who{Who: who}})})
}

// listKnown lists those known, dead ones too, or as many as there is room for from some
// place on.
func (n *Node) listKnown(who *wire.Who) {
	who.Known = append(who.Known, uint32(rank(n.self.Name)))
	for short := range n.roster.short {
		who.Known = append(who.Known, short)
	}
	slices.Sort(who.Known)
	who.First, who.Last = 0, math.MaxUint32
	if surplus := len(who.Known) - knownMost; surplus > 0 {
		first := n.settings.Rand.IntN(surplus + 1)
		who.Known = who.Known[first : first+knownMost]
		if first > 0 {
			who.First = who.Known[0]
		}
		if first < surplus {
			who.Last = who.Known[knownMost-1]
		}
	}
}

// introduce tells members in full to a peer that asks.
func (n *Node) introduce(who *wire.Who, to netip.AddrPort, now time.Time) {
	message := n.greeting(now)
	for _, short := range who.Shorts {
		if m := n.roster.short[short]; m != nil {
			message.Members = m.introduceTo(message.Members)
		}
	}
	if len(who.Known) > 0 {
		for _, m := range n.roster.live {
			short := m.brief.Short
			if _, known := slices.BinarySearch(who.Known, short); !known && short >= who.First && short <= who.Last {
				message.Members = m.introduceTo(message.Members)
			}
		}
	}
	if len(message.Members) > 0 {
		n.out = append(n.out, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Gossip{Gossip: message}})})
	}
}

// introduceTo adds a member that lives to a list that has room.
func (m *member) introduceTo(list []*wire.Member) []*wire.Member {
	if !m.alive || len(list) >= whoMost {
		return list
	}
	return append(list, m.told)
}
