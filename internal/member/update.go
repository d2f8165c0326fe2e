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
func (m *Members) applyUpdate(update *wire.Update) {
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
	m.mergeStatus(peer, update.Incarnation, status, update.Ready)
}

// refute answers a rumor that this balancer is suspected or dead.
func (m *Members) refute(incarnation uint64, status Status) {
	if incarnation < m.incarnation || status == Alive || status == "" {
		return
	}
	m.incarnation = incarnation + 1
	m.queueUpdate(m.key, m.incarnation, Alive, m.ready)
	if status == Dead {
		m.addEvent(DeclaredDead)
		m.addEvent(ViewChanged)
	}
}

var statusSeverity = map[Status]int{Unknown: -1, Alive: 0, Suspect: 1, Dead: 2}

// believe takes news of a peer if it is newer, or worse of the same incarnation.
func (m *Members) mergeStatus(peer *Peer, incarnation uint64, status Status, ready bool) {
	if incarnation < peer.Incarnation {
		return
	}
	if incarnation == peer.Incarnation && statusSeverity[status] <= statusSeverity[peer.Status] {
		return
	}
	m.setStatus(peer, incarnation, status, ready)
}

func (m *Members) setStatus(peer *Peer, incarnation uint64, status Status, ready bool) {
	changed := peer.Ready != ready || peer.Reachable() != (status == Alive || status == Suspect)
	if incarnation != peer.Incarnation {
		peer.Version = 0
		changed = true
	}
	if status != peer.Status {
		peer.StatusSince = time.Now()
	}
	peer.Incarnation = incarnation
	peer.Status = status
	peer.Ready = ready
	m.queueUpdate(peer.Key, incarnation, status, ready)
	if changed {
		m.addEvent(ViewChanged)
	}
}

// spread queues an update to ride on the next probes, about 3 log2(n) times.
func (m *Members) queueUpdate(key flow.MemberKey, incarnation uint64, status Status, ready bool) {
	m.updates[key] = &queuedUpdate{
		update: &wire.Update{
			Member:      uint32(key),
			Incarnation: incarnation,
			Status:      statusToWire[status],
			Ready:       ready,
		},
		sendsLeft: retransmitMultiplier * bits.Len(uint(len(m.peers)+1)),
	}
}
