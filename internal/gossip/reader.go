package gossip

// This file elects the readers, the balancers that read the platform for the whole fleet.
//
// There are two readers. They are in two failure domains if live members are in at least two. All
// balancers rank the live members by the same criteria. Those that cannot reach the platform rank
// last, so that one of them keeps trying even if none can. One reader for each failure domain was
// rejected: each change costs one call for each reader, and a domain that is partitioned off
// elects its own readers anyway.
//
// Readers that are killed together are missed after heartbeatTimeout, and no change is read until
// then. Their successors therefore stand by: readers send each round to them directly, and when
// both readers have been silent for standbyTimeout, the successors read as well, without declaring
// anybody dead. A third reader with a watch of its own was rejected, because it would cost half as
// many calls again all the time. A shorter heartbeatTimeout for everybody was rejected, because in
// a large fleet the readers' heartbeats take several rounds to reach all members.

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/wire"
)

// standbyTimeout is how long both readers must be silent until their successors read the
// platform. It allows for two lost datagrams of each reader.
const standbyTimeout = 700 * time.Millisecond

// readerPair is the result of an election. first and second are in different failure domains, and
// nil for none.
type readerPair struct {
	first, second *wire.Member
}

func (p *readerPair) contains(record *wire.Member) bool {
	return record != nil && (record == p.first || record == p.second)
}

// IsReader reports whether this balancer reads the platform for the whole fleet: it is elected, or
// stands in for both elected readers, which are silent.
func (n *Node) IsReader(now time.Time) bool {
	n.electReaders(now)
	reader := !n.self.Leaving && (n.members.readers.contains(&n.self) || n.standsIn(now))
	if reader != n.wasReader || !n.readerLogged {
		n.config.Log.Info("gossip: reader role updated", "Reader", reader, "Elected", n.members.readers.contains(&n.self), "Blind", n.self.Blind)
	}
	n.wasReader, n.readerLogged = reader, true
	return reader
}

// standsIn reports whether both readers are silent and this balancer would be elected among the
// members that are not.
func (n *Node) standsIn(now time.Time) bool {
	readers := &n.members.readers
	if !n.readerSilent(readers.first, n.members.firstReaderSince, now) || !n.readerSilent(readers.second, n.members.secondReaderSince, now) {
		return false
	}
	// Heartbeats of other members than the readers arrive less often in a large fleet.
	timeout := standbyTimeout + time.Duration(len(n.members.sendQueue))*heartbeatTimeoutPerMember
	successors := n.elect(true, func(m *member) bool {
		return !readers.contains(m.record) && now.Sub(m.lastHeartbeat) <= timeout
	})
	return successors.contains(&n.self)
}

// readerSilent reports whether a reader has sent no heartbeat for standbyTimeout, counted from its
// election at the earliest. A reader that does not exist counts as silent.
func (n *Node) readerSilent(record *wire.Member, electedAt, now time.Time) bool {
	if record == nil {
		return true
	}
	m := n.members.byName[record.Name]
	return m != nil && min(now.Sub(m.lastHeartbeat), now.Sub(electedAt)) > standbyTimeout
}

// electReaders elects the readers and their successors again if the members have changed.
func (n *Node) electReaders(now time.Time) {
	members := &n.members
	if !members.readersStale && members.readers.first != nil {
		return
	}
	members.readersStale = false
	elected := n.elect(true, func(*member) bool { return true })
	if !sameIncarnation(members.readers.first, elected.first) {
		members.firstReaderSince = now
	}
	if !sameIncarnation(members.readers.second, elected.second) {
		members.secondReaderSince = now
	}
	members.readers = elected
	members.standbys = n.elect(!elected.contains(&n.self), func(m *member) bool { return !elected.contains(m.record) })
}

// elect returns the highest-ranking member, and the highest-ranking one in another failure domain,
// of the eligible live members and, if withSelf is set, of this balancer.
func (n *Node) elect(withSelf bool, eligible func(*member) bool) readerPair {
	var pair readerPair
	var firstHash, secondHash uint64
	if withSelf {
		pair.first, firstHash = &n.self, hashName(n.self.Name)
	}
	for _, m := range n.members.live {
		if (pair.first == nil || outranks(m.record, m.nameHash, pair.first, firstHash)) && eligible(m) {
			pair.first, firstHash = m.record, m.nameHash
		}
	}
	if pair.first == nil {
		return pair
	}
	if withSelf && n.self.Domain != pair.first.Domain {
		pair.second, secondHash = &n.self, hashName(n.self.Name)
	}
	for _, m := range n.members.live {
		if m.record.Domain != pair.first.Domain && (pair.second == nil || outranks(m.record, m.nameHash, pair.second, secondHash)) && eligible(m) {
			pair.second, secondHash = m.record, m.nameHash
		}
	}
	return pair
}

// standbyAddresses returns the addresses of the readers' successors. It is called by readers only.
func (n *Node) standbyAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, standby := range []*wire.Member{n.members.standbys.first, n.members.standbys.second} {
		if standby != nil {
			addresses = append(addresses, recordAddress(standby))
		}
	}
	return addresses
}

func sameIncarnation(one, other *wire.Member) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Incarnation == other.Incarnation
}

// outranks reports whether one member takes precedence over another for the reader role.
func outranks(one *wire.Member, oneHash uint64, other *wire.Member, otherHash uint64) bool {
	if one.Blind != other.Blind {
		return other.Blind
	}
	return oneHash < otherHash
}

// readerTimedOut reports whether a reader has sent no heartbeat for heartbeatTimeout,
// counted from its election at the earliest.
func (n *Node) readerTimedOut(record *wire.Member, silent time.Duration, now time.Time) bool {
	switch record {
	case n.members.readers.first:
		return min(silent, now.Sub(n.members.firstReaderSince)) > heartbeatTimeout
	case n.members.readers.second:
		return min(silent, now.Sub(n.members.secondReaderSince)) > heartbeatTimeout
	}
	return false
}
