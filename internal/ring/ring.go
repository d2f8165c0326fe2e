// Package ring computes what every balancer must agree on without speaking: the
// default backend server of each slot, and the balancers that own and replicate
// it.
//
// Defaults use a Maglev table over the slots: it gives each backend server its
// share of slots to within one, and moves few slots when the set changes.
// Weighted rendezvous was rejected for defaults: over 4,093 slots and 15 backend
// servers its shares vary by 6 %. Owners use rendezvous, where a share that is a
// few percent off costs nothing and a member's leaving moves only its own slots.
package ring

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonmoor.example/internal/flow"
)

// Weight is a backend server's share of new flows, relative to the others.
type Weight uint32

// Target is a backend server in a default table.
type Target struct {
	Backend flow.BackendKey
	Weight  Weight
}

// Table holds the default backend server of each slot. An empty set of targets
// gives a table of zero keys.
type Table [flow.SlotCount]flow.BackendKey

// permutation walks all slots in an order of the target's own.
type permutation struct {
	target Target
	next   uint32
	skip   uint32
	credit uint32
}

// NewTable fills a Maglev table for the targets. The result does not depend on
// their order; targets with weight zero get no slot.
func NewTable(targets []Target) *Table {
	table := &Table{}
	walks := permutations(targets)
	if len(walks) == 0 {
		return table
	}
	var heaviest Weight
	for _, target := range targets {
		heaviest = max(heaviest, target.Weight)
	}
	filled := 0
	taken := [flow.SlotCount]bool{}
	for {
		for index := range walks {
			walk := &walks[index]
			// A target with half of the heaviest weight takes every second turn.
			walk.credit += uint32(walk.target.Weight)
			if walk.credit < uint32(heaviest) {
				continue
			}
			walk.credit -= uint32(heaviest)
			for taken[walk.next] {
				walk.step()
			}
			taken[walk.next] = true
			table[walk.next] = walk.target.Backend
			filled++
			if filled == flow.SlotCount {
				return table
			}
		}
	}
}

func (w *permutation) step() {
	w.next = (w.next + w.skip) % flow.SlotCount
}

func permutations(targets []Target) []permutation {
	walks := make([]permutation, 0, len(targets))
	for _, target := range targets {
		if target.Weight == 0 {
			continue
		}
		walks = append(walks, permutation{
			target: target,
			next:   uint32(mix(uint32(target.Backend), 1) % flow.SlotCount),
			skip:   uint32(mix(uint32(target.Backend), 2)%(flow.SlotCount-1)) + 1,
		})
	}
	slices.SortFunc(walks, func(a, b permutation) int {
		return cmp.Compare(a.target.Backend, b.target.Backend)
	})
	return walks
}

// mix hashes a key with a salt.
func mix(key uint32, salt uint32) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint32(buffer[:], key)
	binary.LittleEndian.PutUint32(buffer[4:], salt)
	return xxhash.Sum64(buffer[:])
}

// Member is a balancer that can own slots.
type Member struct {
	Key    flow.MemberKey
	Domain string
	Rack   string
}

// ReplicaCount is the number of copies of an owner's exceptions.
const ReplicaCount = 2

// Holders are the balancers responsible for a slot, zero where there is none.
type Holders struct {
	Owner    flow.MemberKey
	Replicas [ReplicaCount]flow.MemberKey
}

// Includes reports whether the member is one of the slot's replicas.
func (h Holders) Includes(member flow.MemberKey) bool {
	return slices.Contains(h.Replicas[:], member)
}

// Owners holds the holders of each slot.
type Owners [flow.SlotCount]Holders

// scored is a member with its rendezvous score for one slot.
type scored struct {
	member *Member
	score  uint64
}

// NewOwners ranks the members for each slot. The first is the owner; replicas
// are the next that share neither failure domain nor rack with a holder chosen
// before, as far as there are such members.
func NewOwners(members []Member) *Owners {
	owners := &Owners{}
	if len(members) == 0 {
		return owners
	}
	ranks := make([]scored, len(members))
	for slot := range owners {
		for index := range members {
			member := &members[index]
			ranks[index] = scored{member, ownerScore(member.Key, flow.Slot(slot))}
		}
		owners[slot] = choose(ranks)
	}
	return owners
}

// Outranks reports whether one balancer comes before another in a slot's order.
func Outranks(one, other flow.MemberKey, slot flow.Slot) bool {
	return ownerScore(one, slot) > ownerScore(other, slot)
}

func ownerScore(member flow.MemberKey, slot flow.Slot) uint64 {
	return mix(uint32(member), uint32(slot)+flow.SlotCount)
}

// choose takes the owner and replicas from the members' scores for a slot.
func choose(ranks []scored) Holders {
	var chosen [1 + ReplicaCount]*Member
	for place := range chosen {
		var best scored
		bestDistance := -1
		for _, candidate := range ranks {
			if slices.Contains(chosen[:place], candidate.member) {
				continue
			}
			distance := distance(candidate.member, chosen[:place])
			if distance > bestDistance || distance == bestDistance && candidate.score > best.score {
				best, bestDistance = candidate, distance
			}
		}
		chosen[place] = best.member
	}
	holders := Holders{Owner: chosen[0].Key}
	for index, replica := range chosen[1:] {
		if replica != nil {
			holders.Replicas[index] = replica.Key
		}
	}
	return holders
}

// distance counts how a member is set apart from all the others given: 2 in
// another failure domain, 1 in another rack, 0 in the same rack.
func distance(member *Member, others []*Member) int {
	result := 2
	for _, other := range others {
		if other == nil {
			continue
		}
		switch {
		case other.Domain == member.Domain && other.Rack == member.Rack:
			return 0
		case other.Domain == member.Domain:
			result = 1
		}
	}
	return result
}

// Chosen reports whether a member is among the first count of the members in the
// rendezvous order of a salt, to share a duty out without speaking.
func Chosen(members []Member, key flow.MemberKey, salt uint32, count int) bool {
	own := mix(uint32(key), salt)
	better := 0
	found := false
	for _, member := range members {
		if member.Key == key {
			found = true
			continue
		}
		if mix(uint32(member.Key), salt) > own {
			better++
		}
	}
	return found && better < count
}
