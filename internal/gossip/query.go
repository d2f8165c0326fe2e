package gossip

// Queries for unknown members. Random gossip leaves gaps in the membership of a large fleet
// for a long time. A balancer that receives a compact record of an unknown member therefore
// queries its sender for the full record, and one that knows fewer live members than the
// sender sends the hashes of those that it knows.

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/wire"
)

const (
	// minQueryInterval is the minimum time between two queries of a balancer.
	minQueryInterval = 100 * time.Millisecond
	// maxQueryRecords bounds the records that a query requests or an answer contains, so
	// that an answer fits into the usual 1,500 bytes. maxKnownHashes bounds the known
	// members that a query lists.
	maxQueryRecords = 16
	maxKnownHashes  = 250
)

// queryState is the state of this balancer's queries for unknown members.
type queryState struct {
	nextQuery time.Time
	// unknownShorts holds the name hashes from the current datagram's compact records whose
	// members are unknown.
	unknownShorts []uint32
}

// queryMissingMembers queries the sender of a gossip message for members that this balancer
// does not know.
func (n *Node) queryMissingMembers(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	if now.Before(n.query.nextQuery) {
		return
	}
	query := &wire.MemberQuery{Shorts: n.query.unknownShorts[:min(len(n.query.unknownShorts), maxQueryRecords)]}
	if len(query.Shorts) == 0 {
		if int(message.Live) <= n.LiveCount() {
			return
		}
		n.fillKnown(query)
	}
	n.query.nextQuery = now.Add(minQueryInterval)
	n.outbox = append(n.outbox, Message{To: from, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_MemberQuery{MemberQuery: query}})})
}

// fillKnown adds the hashes of all known members, including dead ones, to a query. If there
// are too many, it adds those in a random contiguous range of hashes.
func (n *Node) fillKnown(query *wire.MemberQuery) {
	query.Known = append(query.Known, uint32(hashName(n.self.Name)))
	for short := range n.members.byShort {
		query.Known = append(query.Known, short)
	}
	slices.Sort(query.Known)
	query.First, query.Last = 0, math.MaxUint32
	if surplus := len(query.Known) - maxKnownHashes; surplus > 0 {
		first := n.config.Rand.IntN(surplus + 1)
		query.Known = query.Known[first : first+maxKnownHashes]
		if first > 0 {
			query.First = query.Known[0]
		}
		if first < surplus {
			query.Last = query.Known[maxKnownHashes-1]
		}
	}
}

// handleMemberQuery answers a query with full records.
func (n *Node) handleMemberQuery(query *wire.MemberQuery, to netip.AddrPort, now time.Time) {
	message := n.newGossip(now)
	for _, short := range query.Shorts {
		if m := n.members.byShort[short]; m != nil {
			message.Members = m.appendRecord(message.Members)
		}
	}
	if len(query.Known) > 0 {
		for _, m := range n.members.live {
			short := m.compact.Short
			if _, known := slices.BinarySearch(query.Known, short); !known && short >= query.First && short <= query.Last {
				message.Members = m.appendRecord(message.Members)
			}
		}
	}
	if len(message.Members) > 0 {
		n.outbox = append(n.outbox, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Gossip{Gossip: message}})})
	}
}

// appendRecord appends the full record of a member if it is alive and the list has room.
func (m *member) appendRecord(records []*wire.Member) []*wire.Member {
	if !m.alive || len(records) >= maxQueryRecords {
		return records
	}
	return append(records, m.record)
}
