package member

// Status updates that peers spread. The update with the higher incarnation wins; within an
// incarnation, the more severe status wins (dead over suspect over alive). A balancer
// refutes a suspicion of itself by incrementing its incarnation.

import (
	"math/bits"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// applyUpdate processes an update about a peer or about this balancer.
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

// refute increments the incarnation if an update says that this balancer is suspected or dead.
func (m *Members) refute(incarnation uint64, status Status) {
	if incarnation < m.incarnation || status == Alive || status == "" {
		return
	}
	m.incarnation = incarnation + 1
	m.queueUpdate(m.key, m.incarnation, Alive, m.ready)
	if status == Dead {
		m.recordEvent(DeclaredDead)
		m.recordEvent(ViewChanged)
	}
}

// statusSeverity orders the statuses of one incarnation.
var statusSeverity = map[Status]int{Unknown: -1, Alive: 0, Suspect: 1, Dead: 2}

// mergeStatus applies a status if it has a higher incarnation than the known one, or is more
// severe within the same incarnation.
func (m *Members) mergeStatus(peer *Peer, incarnation uint64, status Status, ready bool) {
	if incarnation < peer.Incarnation {
		return
	}
	if incarnation == peer.Incarnation && statusSeverity[status] <= statusSeverity[peer.Status] {
		return
	}
	m.setStatus(peer, incarnation, status, ready)
}

// setStatus updates a peer and queues the update for other peers.
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
		m.recordEvent(ViewChanged)
	}
}

// queueUpdate queues an update to be piggybacked on the next probes, about 3 * log2(n)
// times among n balancers. It replaces a queued update about the same balancer.
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
