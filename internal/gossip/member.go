package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

const (
	// deadSpan is how long a heartbeat may be missing: seven periods, as relayed
	// heartbeats of larger fleets come every few periods.
	deadSpan = 1500 * time.Millisecond
	// deadSpanEach is added for each known member: of 20 datagrams a second each tells of
	// twelve, so that a heartbeat comes every 4 ms for each member on average, and
	// sixteen times that is hardly ever passed by chance.
	deadSpanEach = 65 * time.Millisecond
	// forgetSpan is how long dead members are remembered. Cuts last up to an hour.
	forgetSpan = 2 * time.Hour
	// revisitChance is the chance in each round to tell a member that seems dead.
	revisitChance = 0.2
	// retiredKept is how many earlier lives of a member are remembered.
	retiredKept = 4
	// nearTargets is how many of those told in a round are of the own failure domain, and
	// drawnEach how many are drawn for each to be told, to find some on either side.
	nearTargets = 3
	drawnEach   = 8
	// fullTold is how many members a datagram tells in full besides newcomers. Who asks
	// gets them in full.
	fullTold = 1
	// expirePeriod is how often members are looked at for silence.
	expirePeriod = 250 * time.Millisecond
	// freshTold is how often a newcomer is told beside its turn: each of those who hear of
	// it tells four more each time.
	freshTold = 12
)

// member is what is known of another balancer.
type member struct {
	told *wire.Member
	// brief is the same for receivers that know the balancer.
	brief   *wire.Member
	address netip.AddrPort
	heard   time.Time
	alive   bool
	retired []uint64
	// rank orders readers; it is a hash of the name.
	rank uint64
	// place is the index in the list of live members.
	place int
	// freshLeft is how often the member is still to be told as a newcomer.
	freshLeft int
}

// roster is who is known: nothing of it is sorted or copied in a round, as there may be
// more than a thousand.
type roster struct {
	named map[string]*member
	// short finds members by the hash in brief heartbeats.
	short map[uint32]*member
	// live has the live members in no order, queue all members in the order in which
	// they are told, and fresh the newcomers among them.
	live, queue, fresh []*member
	// first and second are the readers, nil for nobody; they are chosen anew when stale
	// is set.
	stale bool
	// moved is set when a member has begun or ceased to live.
	moved         bool
	first, second *wire.Member
	// firstSince and secondSince are when they were chosen.
	firstSince, secondSince time.Time
	nextExpiry              time.Time
}

// add enters a newcomer, which is told before all others.
func (r *roster) add(m *member) {
	m.rank = rank(m.told.Name)
	m.brief = &wire.Member{Short: uint32(m.rank)}
	r.named[m.told.Name] = m
	r.short[m.brief.Short] = m
	r.queue = append(r.queue, m)
	r.renew(m)
	if m.alive {
		m.alive = false
		r.setAlive(m, true)
	}
}

// renew has a member told as a newcomer.
func (r *roster) renew(m *member) {
	if m.freshLeft == 0 {
		r.fresh = append(r.fresh, m)
	}
	m.freshLeft = freshTold
}

// setAlive moves a member into the list of live ones or out of it.
func (r *roster) setAlive(m *member, alive bool) {
	if m.alive == alive {
		return
	}
	m.alive = alive
	r.stale, r.moved = true, true
	if alive {
		m.place = len(r.live)
		r.live = append(r.live, m)
		return
	}
	last := r.live[len(r.live)-1]
	r.live[m.place], last.place = last, m.place
	r.live = r.live[:len(r.live)-1]
}

func (r *roster) forget(m *member) {
	r.setAlive(m, false)
	delete(r.named, m.told.Name)
	delete(r.short, m.brief.Short)
	same := func(other *member) bool { return other == m }
	r.queue, r.fresh = slices.DeleteFunc(r.queue, same), slices.DeleteFunc(r.fresh, same)
}

// hear takes a heartbeat in and reports whether it is of a balancer, or of a life of
// one, that was not known. Only the balancer itself is believed at once when it tells
// of a new life: relayed heartbeats of its last life may still be around.
func (n *Node) hear(told *wire.Member, direct bool, now time.Time) bool {
	if told.Name == "" {
		n.hearBrief(told, now)
		return false
	}
	if told.Name == n.self.Name {
		return false
	}
	known := n.roster.named[told.Name]
	if known == nil {
		n.roster.add(&member{told: told, address: addressOf(told), heard: now, alive: !told.Leaving})
		n.settings.Log.Info("gossip: member joined", "Member", told.Name, "Domain", told.Domain, "Direct", direct)
		return true
	}
	if told.Incarnation == known.told.Incarnation {
		n.heartbeat(known, told, now)
		return false
	}
	if slices.Contains(known.retired, told.Incarnation) || !direct && known.alive {
		return false
	}
	known.retired = append(known.retired, known.told.Incarnation)
	if len(known.retired) > retiredKept {
		known.retired = known.retired[1:]
	}
	known.told, known.address, known.heard = told, addressOf(told), now
	n.roster.renew(known)
	n.roster.stale = true
	n.roster.setAlive(known, !told.Leaving)
	n.settings.Log.Info("gossip: member started anew", "Member", told.Name, "Direct", direct)
	return true
}

// hearBrief takes a brief heartbeat in, if it is of a balancer that is known.
func (n *Node) hearBrief(told *wire.Member, now time.Time) {
	known := n.roster.short[told.Short]
	switch {
	case told.Short == uint32(rank(n.self.Name)):
	case known == nil:
		n.query.unknown = append(n.query.unknown, told.Short)
	case uint32(known.told.Incarnation) == told.Life:
		n.heartbeat(known, told, now)
	}
}

func (n *Node) heartbeat(known *member, told *wire.Member, now time.Time) {
	if told.Beat <= known.told.Beat {
		return
	}
	if told.Leaving && !known.told.Leaving {
		n.settings.Log.Info("gossip: member is leaving", "Member", known.told.Name)
	}
	if !known.alive && !told.Leaving {
		n.settings.Log.Info("gossip: member is back", "Member", known.told.Name, "Silent", now.Sub(known.heard).String())
	}
	n.roster.stale = n.roster.stale || told.Blind != known.told.Blind
	known.told.Beat, known.told.Leaving, known.told.Blind = told.Beat, told.Leaving, told.Blind
	known.heard = now
	n.roster.setAlive(known, !told.Leaving)
}

func addressOf(told *wire.Member) netip.AddrPort {
	return state.Endpoint(told.Endpoint).AddrPort()
}

// expire finds members that have fallen silent. The more there are, the more seldom is
// each of them told; only the readers are told by everybody and missed soon.
func (n *Node) expire(now time.Time) {
	if now.Before(n.roster.nextExpiry) {
		return
	}
	n.roster.nextExpiry = now.Add(expirePeriod)
	n.chooseReaders(now)
	span := deadSpan + time.Duration(len(n.roster.queue))*deadSpanEach
	var forgotten []*member
	for _, known := range n.roster.queue {
		silent := now.Sub(known.heard)
		if known.alive && silent > span || n.missed(known.told, silent, now) {
			n.roster.setAlive(known, false)
			n.settings.Log.Info("gossip: member is silent", "Member", known.told.Name, "Silent", silent.String())
		}
		if silent > forgetSpan {
			forgotten = append(forgotten, known)
		}
	}
	for _, known := range forgotten {
		n.roster.forget(known)
	}
}

// missed reports whether a reader has been silent since it became one.
func (n *Node) missed(told *wire.Member, silent time.Duration, now time.Time) bool {
	switch told {
	case n.roster.first:
		return min(silent, now.Sub(n.roster.firstSince)) > deadSpan
	case n.roster.second:
		return min(silent, now.Sub(n.roster.secondSince)) > deadSpan
	}
	return false
}

// Count returns how many members are alive, this balancer included.
func (n *Node) Count() int { return len(n.roster.live) + 1 }

// pickTargets draws the members that are told in a round: most of them in the own failure
// domain, whose backend servers this balancer uses most, and whose links cost nothing;
// the others carry news on.
func (n *Node) pickTargets(count int) []netip.AddrPort {
	var targets, elsewhere []netip.AddrPort
	near := min(nearTargets, count-1)
	for _, m := range n.draw(count * drawnEach) {
		switch {
		case m.told.Domain == n.self.Domain && len(targets) < near:
			targets = append(targets, m.address)
		case m.told.Domain != n.self.Domain:
			elsewhere = append(elsewhere, m.address)
		}
	}
	targets = append(targets, elsewhere[:min(len(elsewhere), count-len(targets))]...)
	if n.settings.Rand.Float64() >= revisitChance {
		return targets
	}
	var dead []*member
	for _, m := range n.roster.queue {
		if !m.alive && !m.told.Leaving {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		targets = append(targets, dead[n.settings.Rand.IntN(len(dead))].address)
	}
	return targets
}

// draw returns some live members by chance, each once: the list is shuffled as far as
// needed.
func (n *Node) draw(count int) []*member {
	live := n.roster.live
	count = min(count, len(live))
	for index := range count {
		other := index + n.settings.Rand.IntN(len(live)-index)
		live[index], live[other] = live[other], live[index]
		live[index].place, live[other].place = index, other
	}
	return live[:count]
}

// tell returns some of the heartbeats known: the readers', so that even in a large fleet
// they are heard of well within deadSpan, then newcomers' and all in turn, so that
// newcomers become known soon. Newcomers and a few of the others are told in full, the
// others in brief.
func (n *Node) tell() []*wire.Member {
	told := make([]*wire.Member, 0, membersTold)
	for _, reader := range []*wire.Member{n.roster.first, n.roster.second} {
		if reader == nil || reader == &n.self {
			continue
		}
		if m := n.roster.named[reader.Name]; m != nil && m.alive {
			told = append(told, m.inBrief())
		}
	}
	told = n.roster.tellFresh(told, membersTold/2)
	told = n.roster.tellInTurn(told, min(len(told)+fullTold, membersTold), (*member).inFull)
	return n.roster.tellInTurn(told, membersTold, (*member).inBrief)
}

// tellFresh takes newcomers from the front of their queue until so many are told. Those
// that have been told often enough leave it.
func (r *roster) tellFresh(told []*wire.Member, count int) []*wire.Member {
	for left := len(r.fresh); left > 0 && len(told) < count; left-- {
		m := r.fresh[0]
		r.fresh = r.fresh[1:]
		if m.alive {
			told = append(told, m.told)
		}
		if m.freshLeft--; m.freshLeft > 0 {
			r.fresh = append(r.fresh, m)
		}
	}
	return told
}

// tellInTurn takes members from the front of the queue until so many are told, and puts
// them at its end.
func (r *roster) tellInTurn(told []*wire.Member, count int, form func(*member) *wire.Member) []*wire.Member {
	for left := len(r.queue); left > 0 && len(told) < count; left-- {
		m := r.queue[0]
		r.queue = append(r.queue[1:], m)
		if m.alive && !slices.Contains(told, m.told) && !slices.Contains(told, m.brief) {
			told = append(told, form(m))
		}
	}
	return told
}

func (m *member) inFull() *wire.Member { return m.told }

func (m *member) inBrief() *wire.Member {
	m.brief.Life = uint32(m.told.Incarnation)
	m.brief.Beat, m.brief.Leaving, m.brief.Blind = m.told.Beat, m.told.Leaving, m.told.Blind
	return m.brief
}

// Reader reports whether this balancer is one of the two that read the platform for
// all, in two failure domains where there are two. Everybody ranks the live members
// alike. Those that do not reach the platform come last, so that one of them goes on
// trying when none does. One reader in each domain was tried: a change costs each
// reader a call, and a domain that is cut off chooses readers of its own anyway.
func (n *Node) Reader(now time.Time) bool {
	n.chooseReaders(now)
	reader := n.isReader(&n.self) && !n.self.Leaving
	if reader != n.wasReader || !n.readerKnown {
		n.settings.Log.Info("gossip: reading for the fleet", "Reader", reader, "Blind", n.self.Blind)
	}
	n.wasReader, n.readerKnown = reader, true
	return reader
}

func (n *Node) isReader(told *wire.Member) bool {
	return told != nil && (told == n.roster.first || told == n.roster.second)
}

// chooseReaders finds the first in rank, and the next one of another failure domain.
func (n *Node) chooseReaders(now time.Time) {
	r := &n.roster
	if !r.stale && r.first != nil {
		return
	}
	r.stale = false
	first, firstRank := &n.self, rank(n.self.Name)
	for _, m := range r.live {
		if before(m.told, m.rank, first, firstRank) {
			first, firstRank = m.told, m.rank
		}
	}
	var second *wire.Member
	var secondRank uint64
	if n.self.Domain != first.Domain {
		second, secondRank = &n.self, rank(n.self.Name)
	}
	for _, m := range r.live {
		if m.told.Domain != first.Domain && (second == nil || before(m.told, m.rank, second, secondRank)) {
			second, secondRank = m.told, m.rank
		}
	}
	if !sameMember(r.first, first) {
		r.firstSince = now
	}
	if !sameMember(r.second, second) {
		r.secondSince = now
	}
	r.first, r.second = first, second
}

func sameMember(one, other *wire.Member) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Incarnation == other.Incarnation
}

// before reports whether one member reads rather than another.
func before(one *wire.Member, oneRank uint64, other *wire.Member, otherRank uint64) bool {
	if one.Blind != other.Blind {
		return other.Blind
	}
	return oneRank < otherRank
}

func rank(name string) uint64 { return xxhash.Sum64String(name) }
