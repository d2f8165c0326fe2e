package member

// The sending half of the failure detector: direct and indirect probes, their timeouts and
// the updates that are piggybacked on them.

import (
	"maps"
	"slices"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Tick advances the failure detector. It must be called several times per ProbeInterval.
func (m *Members) Tick() {
	now := time.Now()
	if now.Sub(m.lastTick) > PauseThreshold {
		m.resume(now)
	}
	m.lastTick = now
	m.expireProbes(now)
	m.expireSuspects(now)
	if !now.Before(m.nextProbeAt) {
		m.nextProbeAt = now.Add(ProbeInterval)
		m.probeNext(now)
	}
	if !now.Before(m.nextDeadProbeAt) {
		m.nextDeadProbeAt = now.Add(deadProbeInterval)
		m.probeUnreachable(now)
	}
}

// resume resets the state that may be outdated after the process was paused.
func (m *Members) resume(now time.Time) {
	m.incarnation = max(m.incarnation+1, uint64(now.UnixNano()))
	m.ready = false
	m.reachedPeer = false
	m.startedAt = now
	m.leaseUntil = time.Time{}
	clear(m.pending)
	for _, peer := range m.peers {
		// This process could not receive refutations of suspicions while it was paused.
		if peer.Status == Suspect {
			peer.Status = Alive
		}
	}
	m.queueUpdate(m.key, m.incarnation, Alive, false)
	m.recordEvent(Resumed)
	m.recordEvent(ViewChanged)
}

// expireProbes requests indirect probes of peers that did not answer within probeTimeout,
// and suspects those that did not answer within twice that time.
func (m *Members) expireProbes(now time.Time) {
	// The order must not depend on the map's iteration order, because the random
	// generator that selects the indirect probers is used in this order.
	for _, sequence := range slices.Sorted(maps.Keys(m.pending)) {
		pending := m.pending[sequence]
		age := now.Sub(pending.sentAt)
		peer := m.peers[pending.target]
		switch {
		case peer == nil || pending.requester != 0 && age > 2*probeTimeout:
			delete(m.pending, sequence)
		case pending.requester == 0 && !pending.indirectRequested && age >= probeTimeout:
			pending.indirectRequested = true
			m.pending[sequence] = pending
			m.requestIndirectProbes(sequence, pending.target)
		case pending.requester == 0 && age >= 2*probeTimeout:
			delete(m.pending, sequence)
			if peer.Status == Alive {
				m.setStatus(peer, peer.Incarnation, Suspect, peer.Ready)
			}
		}
	}
}

// requestIndirectProbes asks indirectProbeCount random peers to probe a peer that did not
// answer.
func (m *Members) requestIndirectProbes(sequence uint32, target flow.MemberKey) {
	requested := 0
	for _, index := range m.random.Perm(len(m.probeOrder)) {
		peer := m.peers[m.probeOrder[index]]
		if peer == nil || peer.Status != Alive || peer.Key == target {
			continue
		}
		m.send(peer, wire.ProbeKind_PROBE_KIND_REQUEST, sequence, target)
		requested++
		if requested == indirectProbeCount {
			return
		}
	}
}

// expireSuspects declares peers dead whose suspicion has timed out.
func (m *Members) expireSuspects(now time.Time) {
	for _, peer := range m.peers {
		if peer.Status == Suspect && now.Sub(peer.StatusSince) >= suspicionTimeout {
			m.setStatus(peer, peer.Incarnation, Dead, peer.Ready)
		}
	}
}

// probeNext probes the next peer in the round that is not dead.
func (m *Members) probeNext(now time.Time) {
	for range m.probeOrder {
		if m.nextProbeIndex >= len(m.probeOrder) {
			m.shuffle()
		}
		peer := m.peers[m.probeOrder[m.nextProbeIndex]]
		m.nextProbeIndex++
		if peer != nil && peer.Status != Dead {
			m.ping(peer, now, 0, 0)
			return
		}
	}
}

// probeUnreachable probes one random dead peer, to detect the end of a network partition.
// Until the first peer has answered it also probes all peers with unknown status, so that
// a new balancer joins quickly.
func (m *Members) probeUnreachable(now time.Time) {
	var dead []*Peer
	for _, peer := range m.Peers() {
		if peer.Status == Dead {
			dead = append(dead, peer)
		}
		if peer.Status == Unknown && !m.reachedPeer {
			m.ping(peer, now, 0, 0)
		}
	}
	if len(dead) > 0 {
		m.ping(dead[m.random.IntN(len(dead))], now, 0, 0)
	}
}

// ping sends a probe and records it as pending. The requester is zero for the balancer's own
// probes.
func (m *Members) ping(peer *Peer, now time.Time, requester flow.MemberKey, requesterSequence uint32) {
	m.sequence++
	m.pending[m.sequence] = pendingProbe{target: peer.Key, sentAt: now, requester: requester, requesterSequence: requesterSequence}
	m.send(peer, wire.ProbeKind_PROBE_KIND_PING, m.sequence, peer.Key)
}

// send queues a message to a peer. The target is the peer that a request or an
// acknowledgment refers to.
func (m *Members) send(peer *Peer, kind wire.ProbeKind, sequence uint32, target flow.MemberKey) {
	probe := &wire.Probe{
		Kind:          kind,
		From:          uint32(m.key),
		Incarnation:   m.incarnation,
		Sequence:      sequence,
		Ready:         m.ready,
		ConfigVersion: uint64(m.version),
		Suspected:     peer.Status == Suspect || peer.Status == Dead,
		Updates:       m.updatesFor(peer),
	}
	if kind != wire.ProbeKind_PROBE_KIND_PING {
		probe.Target = uint32(target)
	}
	if kind == wire.ProbeKind_PROBE_KIND_PING {
		probe.Loads = m.loads()
	}
	m.messages = append(m.messages, Message{To: peer.Instance.Address, Probe: probe})
}

// updatesFor returns the updates to piggyback on a probe to a peer. If the peer is suspected
// or dead, the first update says so, to allow the peer to refute it.
func (m *Members) updatesFor(peer *Peer) []*wire.Update {
	var updates []*wire.Update
	if peer.Status == Suspect || peer.Status == Dead {
		updates = append(updates, &wire.Update{
			Member:      uint32(peer.Key),
			Incarnation: peer.Incarnation,
			Status:      statusToWire[peer.Status],
		})
	}
	for _, key := range m.leastSentKeys() {
		queued := m.updates[key]
		if key == peer.Key {
			continue
		}
		updates = append(updates, queued.update)
		queued.sendsLeft--
		if queued.sendsLeft <= 0 {
			delete(m.updates, key)
		}
		if len(updates) >= maxUpdatesPerProbe {
			break
		}
	}
	return updates
}

// leastSentKeys returns the keys of the queued updates, least often sent first.
func (m *Members) leastSentKeys() []flow.MemberKey {
	keys := make([]flow.MemberKey, 0, len(m.updates))
	for key := range m.updates {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b flow.MemberKey) int {
		if m.updates[a].sendsLeft != m.updates[b].sendsLeft {
			return m.updates[b].sendsLeft - m.updates[a].sendsLeft
		}
		return int(int64(a) - int64(b))
	})
	return keys
}

// SendCounts queues a message with open-flow counts, encoded as in wire.Probe.Counts, to
// every reachable peer that is ready.
func (m *Members) SendCounts(counts []int32) {
	for _, peer := range m.Peers() {
		if !peer.Ready || !peer.Reachable() {
			continue
		}
		probe := &wire.Probe{
			Kind:          wire.ProbeKind_PROBE_KIND_COUNTS,
			From:          uint32(m.key),
			ConfigVersion: uint64(m.version),
			Counts:        counts,
		}
		m.messages = append(m.messages, Message{To: peer.Instance.Address, Probe: probe})
	}
}
