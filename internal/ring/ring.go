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
	permutations := permutations(targets)
	if len(permutations) == 0 {
		return table
	}
	var heaviest Weight
	for _, target := range targets {
		heaviest = max(heaviest, target.Weight)
	}
	filled := 0
	taken := [flow.SlotCount]bool{}
	for {
		for index := range permutations {
			order := &permutations[index]
			// A target with half of the heaviest weight takes every second turn.
			order.credit += uint32(order.target.Weight)
			if order.credit < uint32(heaviest) {
				continue
			}
			order.credit -= uint32(heaviest)
			for taken[order.next] {
				order.advance()
			}
			taken[order.next] = true
			table[order.next] = order.target.Backend
			filled++
			if filled == flow.SlotCount {
				return table
			}
		}
	}
}

func (w *permutation) advance() {
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
			next:   uint32(hashWithSalt(uint32(target.Backend), 1) % flow.SlotCount),
			skip:   uint32(hashWithSalt(uint32(target.Backend), 2)%(flow.SlotCount-1)) + 1,
		})
	}
	slices.SortFunc(walks, func(a, b permutation) int {
		return cmp.Compare(a.target.Backend, b.target.Backend)
	})
	return walks
}

// mix hashes a key with a salt.
func hashWithSalt(key uint32, salt uint32) uint64 {
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
func (h Holders) HasReplica(member flow.MemberKey) bool {
	return slices.Contains(h.Replicas[:], member)
}

// Owners holds the holders of each slot.
type Owners [flow.SlotCount]Holders

// candidate is a member with what choosing compares. Failure domains and racks
// are numbered, as they are compared for every slot.
type candidate struct {
	key    flow.MemberKey
	seed   uint64
	domain int
	rack   int
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
	candidates := newCandidates(members)
	for slot := range owners {
		for index := range candidates {
			candidates[index].score = ownerScore(candidates[index].seed, flow.Slot(slot))
		}
		owners[slot] = chooseHolders(candidates)
	}
	return owners
}

func newCandidates(members []Member) []candidate {
	domains := make(map[string]int)
	racks := make(map[[2]string]int)
	candidates := make([]candidate, len(members))
	for index, member := range members {
		candidates[index] = candidate{
			key:    member.Key,
			seed:   memberSeed(member.Key),
			domain: indexOf(domains, member.Domain),
			rack:   indexOf(racks, [2]string{member.Domain, member.Rack}),
		}
	}
	return candidates
}

// indexOf numbers names in the order in which they come.
func indexOf[Name comparable](indices map[Name]int, name Name) int {
	index, known := indices[name]
	if !known {
		index = len(indices)
		indices[name] = index
	}
	return index
}

// Outranks reports whether one balancer comes before another in a slot's order.
func Outranks(one, other flow.MemberKey, slot flow.Slot) bool {
	return ownerScore(memberSeed(one), slot) > ownerScore(memberSeed(other), slot)
}

func memberSeed(member flow.MemberKey) uint64 {
	return hashWithSalt(uint32(member), ownerSalt)
}

const ownerSalt = 3

// ownerScore is a finalizer of splitmix64 over the member's seed and the slot. A
// whole hash for each pair took 42 ms for 145 members.
func ownerScore(seed uint64, slot flow.Slot) uint64 {
	value := seed + (uint64(slot)+1)*0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// choose takes the owner and replicas from the candidates' scores for a slot.
func chooseHolders(candidates []candidate) Holders {
	var chosen [1 + ReplicaCount]*candidate
	for position := range chosen {
		var best *candidate
		bestSeparation := -1
		for index := range candidates {
			member := &candidates[index]
			separation := separationFrom(member, chosen[:position])
			if separation < 0 {
				continue
			}
			if separation > bestSeparation || separation == bestSeparation && member.score > best.score {
				best, bestSeparation = member, separation
			}
		}
		if bestSeparation < 0 {
			break
		}
		chosen[position] = best
	}
	holders := Holders{Owner: chosen[0].key}
	for index, replica := range chosen[1:] {
		if replica != nil {
			holders.Replicas[index] = replica.key
		}
	}
	return holders
}

// distance counts how a member is set apart from all the others given: 2 in
// another failure domain, 1 in another rack, 0 in the same rack, and below zero if
// it is one of them.
func separationFrom(member *candidate, others []*candidate) int {
	separation := 2
	for _, other := range others {
		switch {
		case other == member:
			return -1
		case other.rack == member.rack:
			separation = 0
		case other.domain == member.domain:
			separation = min(separation, 1)
		}
	}
	return separation
}

// Chosen reports whether a member is among the first count of the members in the
// rendezvous order of a salt, to share a duty out without speaking.
func RanksWithin(members []Member, key flow.MemberKey, salt uint32, count int) bool {
	own := hashWithSalt(uint32(key), salt)
	better := 0
	found := false
	for _, member := range members {
		if member.Key == key {
			found = true
			continue
		}
		if hashWithSalt(uint32(member.Key), salt) > own {
			better++
		}
	}
	return found && better < count
}
