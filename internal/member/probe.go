package member

// The failure detector: each period one peer is probed, by way of others if it does not
// answer, and news rides along.

import (
	"maps"
	"slices"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Tick advances the failure detector. It is called several times a ProbePeriod.
func (m *Members) Tick() {
	now := time.Now()
	if now.Sub(m.lastTick) > WakeGap {
		m.wake(now)
	}
	m.lastTick = now
	m.expireProbes(now)
	m.expireSuspects(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(ProbePeriod)
		m.probeNext(now)
	}
	if !now.Before(m.nextRevive) {
		m.nextRevive = now.Add(revivePeriod)
		m.probeLost(now)
	}
}

// wake forgets what the process believed before it was paused.
func (m *Members) wake(now time.Time) {
	m.incarnation = max(m.incarnation+1, uint64(now.UnixNano()))
	m.ready = false
	m.answered = false
	m.startedAt = now
	m.leaseUntil = time.Time{}
	clear(m.pending)
	for _, peer := range m.peers {
		// Suspicions from before the pause have not been running here.
		if peer.Status == Suspect {
			peer.Status = Alive
		}
	}
	m.spread(m.key, m.incarnation, Alive, false)
	m.event(Woken)
	m.event(ViewChanged)
}

func (m *Members) expireProbes(now time.Time) {
	// The order must not depend on the map, as others are asked at random.
	for _, sequence := range slices.Sorted(maps.Keys(m.pending)) {
		probe := m.pending[sequence]
		age := now.Sub(probe.sentAt)
		peer := m.peers[probe.target]
		switch {
		case peer == nil || probe.relayFor != 0 && age > 2*probeTimeout:
			delete(m.pending, sequence)
		case probe.relayFor == 0 && !probe.indirect && age >= probeTimeout:
			probe.indirect = true
			m.pending[sequence] = probe
			m.askOthers(sequence, probe.target)
		case probe.relayFor == 0 && age >= 2*probeTimeout:
			delete(m.pending, sequence)
			if peer.Status == Alive {
				m.set(peer, peer.Incarnation, Suspect, peer.Ready)
			}
		}
	}
}

// askOthers has a few other balancers probe one that did not answer.
func (m *Members) askOthers(sequence uint32, target flow.MemberKey) {
	asked := 0
	for _, index := range m.random.Perm(len(m.order)) {
		peer := m.peers[m.order[index]]
		if peer == nil || peer.Status != Alive || peer.Key == target {
			continue
		}
		m.send(peer, wire.ProbeKind_PROBE_KIND_REQUEST, sequence, target)
		asked++
		if asked == indirectProbers {
			return
		}
	}
}

func (m *Members) expireSuspects(now time.Time) {
	for _, peer := range m.peers {
		if peer.Status == Suspect && now.Sub(peer.Since) >= suspicionTimeout {
			m.set(peer, peer.Incarnation, Dead, peer.Ready)
		}
	}
}

func (m *Members) probeNext(now time.Time) {
	for range m.order {
		if m.next >= len(m.order) {
			m.shuffle()
		}
		peer := m.peers[m.order[m.next]]
		m.next++
		if peer != nil && peer.Status != Dead {
			m.ping(peer, now, 0, 0)
			return
		}
	}
}

// probeLost tries one dead balancer, to find out that a partition has healed,
// and everybody unknown, so that a newcomer finds the others at once.
func (m *Members) probeLost(now time.Time) {
	var dead []*Peer
	for _, peer := range m.Peers() {
		if peer.Status == Dead {
			dead = append(dead, peer)
		}
		if peer.Status == Unknown && !m.answered {
			m.ping(peer, now, 0, 0)
		}
	}
	if len(dead) > 0 {
		m.ping(dead[m.random.IntN(len(dead))], now, 0, 0)
	}
}

func (m *Members) ping(peer *Peer, now time.Time, relayFor flow.MemberKey, relaySequence uint32) {
	m.sequence++
	m.pending[m.sequence] = pending{target: peer.Key, sentAt: now, relayFor: relayFor, relaySequence: relaySequence}
	m.send(peer, wire.ProbeKind_PROBE_KIND_PING, m.sequence, peer.Key)
}

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

// updatesFor returns the updates that ride to a peer, first of all what is
// believed of the peer itself, so that it can refute it.
func (m *Members) updatesFor(peer *Peer) []*wire.Update {
	var updates []*wire.Update
	if peer.Status == Suspect || peer.Status == Dead {
		updates = append(updates, &wire.Update{
			Member:      uint32(peer.Key),
			Incarnation: peer.Incarnation,
			Status:      statusOnWire[peer.Status],
		})
	}
	for _, key := range m.freshest() {
		rumor := m.rumors[key]
		if key == peer.Key {
			continue
		}
		updates = append(updates, rumor.update)
		rumor.left--
		if rumor.left <= 0 {
			delete(m.rumors, key)
		}
		if len(updates) >= updatesPerProbe {
			break
		}
	}
	return updates
}

// freshest returns the rumors' keys, the least repeated first.
func (m *Members) freshest() []flow.MemberKey {
	keys := make([]flow.MemberKey, 0, len(m.rumors))
	for key := range m.rumors {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b flow.MemberKey) int {
		if m.rumors[a].left != m.rumors[b].left {
			return m.rumors[b].left - m.rumors[a].left
		}
		return int(int64(a) - int64(b))
	})
	return keys
}

// TellCounts sends open flows to every other balancer that is ready.
func (m *Members) TellCounts(counts []int32) {
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
