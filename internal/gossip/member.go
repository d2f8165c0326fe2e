package gossip

import (
	"cmp"
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
	// deadSpanEach is added for each known member, as a datagram tells of only
	// membersTold of them.
	deadSpanEach = 40 * time.Millisecond
	// forgetSpan is how long dead members are remembered. Cuts last up to an hour.
	forgetSpan = 2 * time.Hour
	// revisitChance is the chance in each round to tell a member that seems dead.
	revisitChance = 0.2
	// retiredKept is how many earlier lives of a member are remembered.
	retiredKept = 4
)

// member is what is known of another balancer.
type member struct {
	told    *wire.Member
	address netip.AddrPort
	heard   time.Time
	alive   bool
	retired []uint64
	// timesTold counts how often this balancer has told others of the member.
	timesTold int
}

// hear takes a heartbeat in and reports whether it is of a balancer, or of a life of
// one, that was not known. Only the balancer itself is believed at once when it tells
// of a new life: relayed heartbeats of its last life may still be around.
func (n *Node) hear(told *wire.Member, direct bool, now time.Time) bool {
	if told.Name == "" || told.Name == n.self.Name {
		return false
	}
	known := n.members[told.Name]
	if known == nil {
		n.members[told.Name] = &member{told: told, address: addressOf(told), heard: now, alive: !told.Leaving}
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
	known.told, known.address, known.heard, known.alive = told, addressOf(told), now, !told.Leaving
	n.settings.Log.Info("gossip: member started anew", "Member", told.Name, "Direct", direct)
	return true
}

func (n *Node) heartbeat(known *member, told *wire.Member, now time.Time) {
	if told.Beat <= known.told.Beat {
		return
	}
	if told.Leaving && !known.told.Leaving {
		n.settings.Log.Info("gossip: member is leaving", "Member", told.Name)
	}
	if !known.alive && !told.Leaving {
		n.settings.Log.Info("gossip: member is back", "Member", told.Name, "Silent", now.Sub(known.heard).String())
	}
	known.told, known.heard, known.alive = told, now, !told.Leaving
}

func addressOf(told *wire.Member) netip.AddrPort {
	return state.Endpoint(told.Endpoint).AddrPort()
}

// expire finds members that have fallen silent.
func (n *Node) expire(now time.Time) {
	span := deadSpan + time.Duration(len(n.members))*deadSpanEach
	for name, known := range n.members {
		silent := now.Sub(known.heard)
		if known.alive && silent > span {
			known.alive = false
			n.settings.Log.Info("gossip: member is silent", "Member", name, "Silent", silent.String())
		}
		if silent > forgetSpan {
			delete(n.members, name)
		}
	}
}

// Live returns the members that are alive, by name.
func (n *Node) Live(time.Time) []*member {
	return n.sorted(func(m *member) bool { return m.alive })
}

func (n *Node) sorted(wanted func(*member) bool) []*member {
	var list []*member
	for _, known := range n.members {
		if wanted(known) {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.told.Name, b.told.Name) })
	return list
}

// Count returns how many members are alive, this balancer included.
func (n *Node) Count(now time.Time) int { return len(n.Live(now)) + 1 }

// pickTargets draws the members that are told in a round.
func (n *Node) pickTargets(now time.Time) []netip.AddrPort {
	live := n.Live(now)
	n.settings.Rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var targets []netip.AddrPort
	for _, m := range live[:min(fanout, len(live))] {
		targets = append(targets, m.address)
	}
	if n.settings.Rand.Float64() >= revisitChance {
		return targets
	}
	dead := n.sorted(func(m *member) bool { return !m.alive && !m.told.Leaving })
	if len(dead) > 0 {
		targets = append(targets, dead[n.settings.Rand.IntN(len(dead))].address)
	}
	return targets
}

// tell returns some of the heartbeats known: half of them those told least often, so
// that newcomers become known soon, the others drawn by chance.
func (n *Node) tell(now time.Time) []*wire.Member {
	live := n.Live(now)
	n.settings.Rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	const rare = membersTold / 2
	slices.SortStableFunc(live, func(a, b *member) int { return cmp.Compare(a.timesTold, b.timesTold) })
	if len(live) > rare {
		rest := live[rare:]
		n.settings.Rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	var told []*wire.Member
	for _, m := range live[:min(membersTold, len(live))] {
		m.timesTold++
		told = append(told, m.told)
	}
	return told
}

// Reader reports whether this balancer is one of the two that read the platform for
// all, in two failure domains where there are two. Everybody ranks the live members
// alike. Those that do not reach the platform come last, so that one of them goes on
// trying when none does. One reader in each domain was tried: a change costs each
// reader a call, and a domain that is cut off chooses readers of its own anyway.
func (n *Node) Reader(now time.Time) bool {
	first, second := n.readers(now)
	reader := (first == &n.self || second == &n.self) && !n.self.Leaving
	if reader != n.wasReader || !n.readerKnown {
		n.settings.Log.Info("gossip: reading for the fleet", "Reader", reader, "Blind", n.self.Blind)
	}
	n.wasReader, n.readerKnown = reader, true
	return reader
}

// readers returns the first in rank, and the next one of another failure domain.
func (n *Node) readers(now time.Time) (first, second *wire.Member) {
	ranked := []*wire.Member{&n.self}
	for _, m := range n.Live(now) {
		ranked = append(ranked, m.told)
	}
	first = slices.MinFunc(ranked, compareReaders)
	for _, candidate := range ranked {
		elsewhere := candidate.Domain != first.Domain
		if candidate != first && elsewhere && (second == nil || compareReaders(candidate, second) < 0) {
			second = candidate
		}
	}
	return first, second
}

func compareReaders(one, other *wire.Member) int {
	if one.Blind != other.Blind {
		if one.Blind {
			return 1
		}
		return -1
	}
	return cmp.Compare(rank(one.Name), rank(other.Name))
}

func rank(name string) uint64 { return xxhash.Sum64String(name) }
