package member

// What others say of a peer: the newer incarnation wins, and of one incarnation the worse
// status. A balancer refutes what is said of itself with a newer incarnation.

import (
	"math/bits"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// hear takes a rumor about a balancer.
func (m *Members) hear(update *wire.Update) {
	status := statusFromWire[update.Status]
	key := flow.MemberKey(update.Member)
	if key == m.key {
		m.refute(update.Incarnation, status)
		return
	}
	peer := m.peers[key]
	if peer == nil || status == "" {
		return
	}
	m.believe(peer, update.Incarnation, status, update.Ready)
}

// refute answers a rumor that this balancer is suspected or dead.
func (m *Members) refute(incarnation uint64, status Status) {
	if incarnation < m.incarnation || status == Alive || status == "" {
		return
	}
	m.incarnation = incarnation + 1
	m.spread(m.key, m.incarnation, Alive, m.ready)
	if status == Dead {
		m.event(DeclaredDead)
		m.event(ViewChanged)
	}
}

var statusRank = map[Status]int{Unknown: -1, Alive: 0, Suspect: 1, Dead: 2}

// believe takes news of a peer if it is newer, or worse of the same incarnation.
func (m *Members) believe(peer *Peer, incarnation uint64, status Status, ready bool) {
	if incarnation < peer.Incarnation {
		return
	}
	if incarnation == peer.Incarnation && statusRank[status] <= statusRank[peer.Status] {
		return
	}
	m.set(peer, incarnation, status, ready)
}

func (m *Members) set(peer *Peer, incarnation uint64, status Status, ready bool) {
	changed := peer.Ready != ready || peer.Reachable() != (status == Alive || status == Suspect)
	if incarnation != peer.Incarnation {
		peer.Version = 0
		changed = true
	}
	if status != peer.Status {
		peer.Since = time.Now()
	}
	peer.Incarnation = incarnation
	peer.Status = status
	peer.Ready = ready
	m.spread(peer.Key, incarnation, status, ready)
	if changed {
		m.event(ViewChanged)
	}
}

// spread queues an update to ride on the next probes, about 3 log2(n) times.
func (m *Members) spread(key flow.MemberKey, incarnation uint64, status Status, ready bool) {
	m.rumors[key] = &rumor{
		update: &wire.Update{
			Member:      uint32(key),
			Incarnation: incarnation,
			Status:      statusOnWire[status],
			Ready:       ready,
		},
		left: repeatMultiplier * bits.Len(uint(len(m.peers)+1)),
	}
}
