package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/wire"
)

const (
	// heartbeatTimeout is how long a heartbeat may be missing. It covers seven rounds,
	// because relayed heartbeats arrive only every few rounds in larger fleets.
	heartbeatTimeout = 1500 * time.Millisecond
	// heartbeatTimeoutPerMember is added for each known member. A balancer receives about
	// 20 datagrams a second with the heartbeats of twelve others, so that the mean time
	// between two heartbeats of the same member is 4 ms for each known member. Sixteen
	// times the mean is rarely exceeded by chance.
	heartbeatTimeoutPerMember = 65 * time.Millisecond
	// deadMemberTTL is how long dead members are remembered. It exceeds the longest
	// expected network partition, one hour.
	deadMemberTTL = 2 * time.Hour
	// deadProbeProbability is the probability that a round is also sent to a dead member.
	deadProbeProbability = 0.2
	// maxPastIncarnations bounds the remembered earlier incarnations of a member.
	maxPastIncarnations = 4
	// maxLocalTargets bounds the targets of a round in the balancer's own failure domain.
	// samplesPerTarget is the number of live members sampled for each target, so that the
	// sample usually contains enough members both inside and outside the domain.
	maxLocalTargets  = 3
	samplesPerTarget = 8
	// fullRecordsPerDatagram is the number of full records in a datagram besides those of
	// newcomers. Receivers query the full records that they lack.
	fullRecordsPerDatagram = 1
	// expireInterval is the time between two checks for missing heartbeats.
	expireInterval = 250 * time.Millisecond
	// newcomerSends is how often a newcomer's record is sent in addition to its regular
	// turn. Each receiver forwards it to four more members each time.
	newcomerSends = 12
)

// member is another balancer that this one knows.
type member struct {
	// record is the full record of the member's current incarnation.
	record *wire.Member
	// compact is the short form of record, for receivers that know the member. It has the
	// low 32 bits of nameHash and of the incarnation in place of the name, failure domain,
	// endpoint and full incarnation.
	compact *wire.Member
	address netip.AddrPort
	// lastHeartbeat is when the latest heartbeat arrived, directly or relayed.
	lastHeartbeat    time.Time
	alive            bool
	pastIncarnations []uint64
	// nameHash orders the candidates for the reader role, and determines the weights of
	// candidates for collectors.
	nameHash uint64
	// liveIndex is the member's index in memberList.live.
	liveIndex int
	// newcomerSendsLeft is how often the record still has to be sent as that of a newcomer.
	newcomerSendsLeft int
}

// memberList holds the known members. A round neither sorts nor copies it, because it may
// have more than a thousand members.
type memberList struct {
	byName map[string]*member
	// byShort finds members by the name hash in compact records.
	byShort map[uint32]*member
	// live holds the live members in no particular order, and sendQueue all members in the
	// order in which their records are sent. newcomers holds those that have recently joined
	// or restarted, also in sending order.
	live, sendQueue, newcomers []*member
	// readersStale is set when the readers have to be elected again.
	readersStale bool
	// liveChanged is set when a member has become alive or dead.
	liveChanged bool
	// readers are the elected readers, and standbys those who would be elected without them.
	readers, standbys readerPair
	// firstReaderSince and secondReaderSince are when the readers were elected.
	firstReaderSince, secondReaderSince time.Time
	nextExpiry                          time.Time
}

// add adds a newcomer, whose record is sent before those of other members.
func (l *memberList) add(m *member) {
	m.nameHash = hashName(m.record.Name)
	m.compact = &wire.Member{Short: uint32(m.nameHash)}
	l.byName[m.record.Name] = m
	l.byShort[m.compact.Short] = m
	l.sendQueue = append(l.sendQueue, m)
	l.markNewcomer(m)
	if m.alive {
		m.alive = false
		l.setAlive(m, true)
	}
}

// markNewcomer schedules a member's record to be sent as that of a newcomer.
func (l *memberList) markNewcomer(m *member) {
	if m.newcomerSendsLeft == 0 {
		l.newcomers = append(l.newcomers, m)
	}
	m.newcomerSendsLeft = newcomerSends
}

// setAlive adds a member to the live members or removes it from them.
func (l *memberList) setAlive(m *member, alive bool) {
	if m.alive == alive {
		return
	}
	m.alive = alive
	l.readersStale, l.liveChanged = true, true
	if alive {
		m.liveIndex = len(l.live)
		l.live = append(l.live, m)
		return
	}
	last := l.live[len(l.live)-1]
	l.live[m.liveIndex], last.liveIndex = last, m.liveIndex
	l.live = l.live[:len(l.live)-1]
}

func (l *memberList) remove(m *member) {
	l.setAlive(m, false)
	delete(l.byName, m.record.Name)
	delete(l.byShort, m.compact.Short)
	same := func(other *member) bool { return other == m }
	l.sendQueue, l.newcomers = slices.DeleteFunc(l.sendQueue, same), slices.DeleteFunc(l.newcomers, same)
}

// mergeRecord merges a member record and reports whether its member or incarnation was
// unknown. While a member is alive, a new incarnation is accepted only directly from the
// member itself: relayed heartbeats of its previous incarnation may still be in
// circulation.
func (n *Node) mergeRecord(record *wire.Member, direct bool, now time.Time) bool {
	if record.Name == "" {
		n.mergeCompactRecord(record, now)
		return false
	}
	if record.Name == n.self.Name {
		return false
	}
	known := n.members.byName[record.Name]
	if known == nil {
		n.members.add(&member{record: record, address: recordAddress(record), lastHeartbeat: now, alive: !record.Leaving})
		n.config.Log.Info("gossip: member joined", "Member", record.Name, "Domain", record.Domain, "Direct", direct)
		return true
	}
	if record.Incarnation == known.record.Incarnation {
		n.applyHeartbeat(known, record, now)
		return false
	}
	if slices.Contains(known.pastIncarnations, record.Incarnation) || !direct && known.alive {
		return false
	}
	known.pastIncarnations = append(known.pastIncarnations, known.record.Incarnation)
	if len(known.pastIncarnations) > maxPastIncarnations {
		known.pastIncarnations = known.pastIncarnations[1:]
	}
	known.record, known.address, known.lastHeartbeat = record, recordAddress(record), now
	n.members.markNewcomer(known)
	n.members.readersStale = true
	n.members.setAlive(known, !record.Leaving)
	n.config.Log.Info("gossip: member restarted", "Member", record.Name, "Direct", direct)
	return true
}

// mergeCompactRecord applies a compact record if its member is known, and otherwise notes
// that the full record has to be queried.
func (n *Node) mergeCompactRecord(record *wire.Member, now time.Time) {
	known := n.members.byShort[record.Short]
	switch {
	case record.Short == uint32(hashName(n.self.Name)):
	case known == nil:
		n.query.unknownShorts = append(n.query.unknownShorts, record.Short)
	case uint32(known.record.Incarnation) == record.Life:
		n.applyHeartbeat(known, record, now)
	}
}

// applyHeartbeat updates a known member from a record of its current incarnation. Records
// that are not newer are ignored.
func (n *Node) applyHeartbeat(known *member, record *wire.Member, now time.Time) {
	if record.Beat <= known.record.Beat {
		return
	}
	if record.Leaving && !known.record.Leaving {
		n.config.Log.Info("gossip: member is leaving", "Member", known.record.Name)
	}
	if !known.alive && !record.Leaving {
		n.config.Log.Info("gossip: member is alive again", "Member", known.record.Name, "Silent", now.Sub(known.lastHeartbeat).String())
	}
	n.members.readersStale = n.members.readersStale || record.Blind != known.record.Blind
	known.record.Beat, known.record.Leaving, known.record.Blind = record.Beat, record.Leaving, record.Blind
	known.lastHeartbeat = now
	n.members.setAlive(known, !record.Leaving)
}

func recordAddress(record *wire.Member) netip.AddrPort {
	return state.Endpoint(record.Endpoint).AddrPort()
}

// expireMembers marks members without recent heartbeats as dead and removes those that have
// been dead for long. The timeout grows with the fleet, because each member's heartbeat is
// sent less often. Only the readers have a short timeout, since every datagram includes
// their heartbeats.
func (n *Node) expireMembers(now time.Time) {
	if now.Before(n.members.nextExpiry) {
		return
	}
	n.members.nextExpiry = now.Add(expireInterval)
	n.electReaders(now)
	timeout := heartbeatTimeout + time.Duration(len(n.members.sendQueue))*heartbeatTimeoutPerMember
	var expired []*member
	for _, m := range n.members.sendQueue {
		silent := now.Sub(m.lastHeartbeat)
		if m.alive && silent > timeout || n.readerTimedOut(m.record, silent, now) {
			n.members.setAlive(m, false)
			n.config.Log.Info("gossip: member timed out", "Member", m.record.Name, "Silent", silent.String())
		}
		if silent > deadMemberTTL {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		n.members.remove(m)
	}
}

// LiveCount returns the number of live members, this balancer included.
func (n *Node) LiveCount() int { return len(n.members.live) + 1 }

// settleDelay is the time after which all live members know a newcomer: its record travels with
// that of each receiver, so that a few rounds suffice.
const settleDelay = 5 * time.Second

// DomainMembers returns the balancers of this balancer's failure domain that are known, live or
// not. They are settled once this balancer has run for settleDelay and knows as many live members
// as its peers do.
func (n *Node) DomainMembers(now time.Time) tagged.Members {
	names := []string{n.self.Name}
	for _, m := range n.members.sendQueue {
		if m.record.Domain == n.self.Domain {
			names = append(names, m.record.Name)
		}
	}
	slices.Sort(names)
	return tagged.Members{Names: names, Settled: now.Sub(n.startedAt) > settleDelay && n.LiveCount() >= n.peerLiveCount}
}

// pickTargets returns the addresses that a round is sent to. Most of them are in the
// balancer's own failure domain, whose backend servers it uses most and whose links have no
// transfer costs; the others spread changes to other domains. Occasionally a dead member is
// added, because a network partition may have ended.
func (n *Node) pickTargets(count int) []netip.AddrPort {
	var targets, remote []netip.AddrPort
	maxLocal := min(maxLocalTargets, count-1)
	if n.members.readers.contains(&n.self) {
		targets = n.standbyAddresses()
	}
	for _, m := range n.sampleLive(count * samplesPerTarget) {
		switch {
		case slices.Contains(targets, m.address):
		case m.record.Domain == n.self.Domain && len(targets) < maxLocal:
			targets = append(targets, m.address)
		case m.record.Domain != n.self.Domain:
			remote = append(remote, m.address)
		}
	}
	targets = append(targets, remote[:min(len(remote), count-len(targets))]...)
	if n.config.Rand.Float64() >= deadProbeProbability {
		return targets
	}
	var dead []*member
	for _, m := range n.members.sendQueue {
		if !m.alive && !m.record.Leaving {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		targets = append(targets, dead[n.config.Rand.IntN(len(dead))].address)
	}
	return targets
}

// sampleLive returns random distinct live members by a partial Fisher-Yates shuffle. The
// result is valid until the list of live members changes.
func (n *Node) sampleLive(count int) []*member {
	live := n.members.live
	count = min(count, len(live))
	for index := range count {
		other := index + n.config.Rand.IntN(len(live)-index)
		live[index], live[other] = live[other], live[index]
		live[index].liveIndex, live[other].liveIndex = index, other
	}
	return live[:count]
}

// selectRecords returns the member records for a datagram. The readers' heartbeats are
// always included, so that they arrive well within heartbeatTimeout even in a large fleet.
// Newcomers come next, so that they become known quickly, then all members in turn.
// Newcomers and fullRecordsPerDatagram others are sent as full records, the rest as compact
// ones.
func (n *Node) selectRecords() []*wire.Member {
	records := make([]*wire.Member, 0, maxRecordsPerDatagram)
	for _, reader := range []*wire.Member{n.members.readers.first, n.members.readers.second} {
		if reader == nil || reader == &n.self {
			continue
		}
		if m := n.members.byName[reader.Name]; m != nil && m.alive {
			records = append(records, m.compactRecord())
		}
	}
	records = n.members.appendNewcomers(records, maxRecordsPerDatagram/2)
	records = n.members.appendRoundRobin(records, min(len(records)+fullRecordsPerDatagram, maxRecordsPerDatagram), (*member).fullRecord)
	return n.members.appendRoundRobin(records, maxRecordsPerDatagram, (*member).compactRecord)
}

// appendNewcomers appends records of newcomers until there are count records. It removes
// members from the newcomers once they have been sent often enough.
func (l *memberList) appendNewcomers(records []*wire.Member, count int) []*wire.Member {
	for left := len(l.newcomers); left > 0 && len(records) < count; left-- {
		m := l.newcomers[0]
		l.newcomers = l.newcomers[1:]
		if m.alive {
			records = append(records, m.record)
		}
		if m.newcomerSendsLeft--; m.newcomerSendsLeft > 0 {
			l.newcomers = append(l.newcomers, m)
		}
	}
	return records
}

// appendRoundRobin appends records from the front of the send queue until there are count
// records, and moves their members to the end of the queue.
func (l *memberList) appendRoundRobin(records []*wire.Member, count int, recordOf func(*member) *wire.Member) []*wire.Member {
	for left := len(l.sendQueue); left > 0 && len(records) < count; left-- {
		m := l.sendQueue[0]
		l.sendQueue = append(l.sendQueue[1:], m)
		if m.alive && !slices.Contains(records, m.record) && !slices.Contains(records, m.compact) {
			records = append(records, recordOf(m))
		}
	}
	return records
}

func (m *member) fullRecord() *wire.Member { return m.record }

// compactRecord updates and returns the compact record, which the caller must not change.
func (m *member) compactRecord() *wire.Member {
	m.compact.Life = uint32(m.record.Incarnation)
	m.compact.Beat, m.compact.Leaving, m.compact.Blind = m.record.Beat, m.record.Leaving, m.record.Blind
	return m.compact
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
