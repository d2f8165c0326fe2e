// Package ring computes assignments that all balancers must agree on without
// communicating: the default backend server of each slot, and the balancers that
// own and replicate the slot.
//
// Default servers are assigned by Maglev hashing. It gives each backend server its
// share of slots to within one slot, and reassigns few slots when the set of
// servers changes. Weighted rendezvous hashing was rejected for defaults: with
// 4,093 slots and 15 backend servers, the shares vary by 6 %. Owners are assigned
// by rendezvous hashing. There, a deviation of a few percent does no harm, and when
// a member leaves only its own slots are reassigned.
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

// Table holds the default backend server of each slot. All keys are zero if there are
// no targets.
type Table [flow.SlotCount]flow.BackendKey

// permutation iterates over all slots in an order specific to the target. In each round the
// credit grows by the target's weight; a turn costs the greatest weight of all targets.
type permutation struct {
	target Target
	next   uint32
	skip   uint32
	credit uint32
}

// NewTable computes the Maglev table for the targets. The result does not depend on
// their order. Targets with weight zero get no slots.
func NewTable(targets []Target) *Table {
	table := &Table{}
	permutations := newPermutations(targets)
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
			// For example, a target with half of the greatest weight takes every second
			// turn.
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

// advance moves to the next slot of the permutation.
func (p *permutation) advance() {
	p.next = (p.next + p.skip) % flow.SlotCount
}

// newPermutations returns the permutations of all targets with a weight, sorted by key.
func newPermutations(targets []Target) []permutation {
	permutations := make([]permutation, 0, len(targets))
	for _, target := range targets {
		if target.Weight == 0 {
			continue
		}
		permutations = append(permutations, permutation{
			target: target,
			next:   uint32(hashWithSalt(uint32(target.Backend), 1) % flow.SlotCount),
			skip:   uint32(hashWithSalt(uint32(target.Backend), 2)%(flow.SlotCount-1)) + 1,
		})
	}
	slices.SortFunc(permutations, func(a, b permutation) int {
		return cmp.Compare(a.target.Backend, b.target.Backend)
	})
	return permutations
}

// hashWithSalt returns a hash of a key and a salt. Different salts give independent hashes.
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

// ReplicaCount is the number of replicas that hold copies of an owner's exceptions.
const ReplicaCount = 2

// Holders are the balancers responsible for a slot. Keys are zero if there are too few
// balancers.
type Holders struct {
	Owner    flow.MemberKey
	Replicas [ReplicaCount]flow.MemberKey
}

// HasReplica reports whether the member is one of the slot's replicas.
func (h Holders) HasReplica(member flow.MemberKey) bool {
	return slices.Contains(h.Replicas[:], member)
}

// Owners lists the owner and the replicas of each slot.
type Owners [flow.SlotCount]Holders

// candidate holds the properties of a member that are compared for each slot. Failure
// domains and racks are represented by numbers, which are faster to compare than names.
type candidate struct {
	key    flow.MemberKey
	seed   uint64
	domain int
	rack   int
	score  uint64
}

// NewOwners chooses the holders of each slot. The owner is the member with the highest
// score. The replicas are the next members in the order of scores that share neither
// failure domain nor rack with the holders chosen before, as far as there are any.
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

// indexOf returns the index of a name, and assigns the next free one to a new name.
func indexOf[Name comparable](indices map[Name]int, name Name) int {
	index, known := indices[name]
	if !known {
		index = len(indices)
		indices[name] = index
	}
	return index
}

// Outranks reports whether a balancer has a higher score than another for a slot.
func Outranks(one, other flow.MemberKey, slot flow.Slot) bool {
	return ownerScore(memberSeed(one), slot) > ownerScore(memberSeed(other), slot)
}

// memberSeed returns the part of ownerScore that does not depend on the slot.
func memberSeed(member flow.MemberKey) uint64 {
	return hashWithSalt(uint32(member), ownerSalt)
}

// ownerSalt differs from the salts of the default table.
const ownerSalt = 3

// ownerScore applies the finalizer of splitmix64 to the member's seed and the slot. A full
// hash for each pair was rejected: it took 42 ms for 145 members.
func ownerScore(seed uint64, slot flow.Slot) uint64 {
	value := seed + (uint64(slot)+1)*0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// chooseHolders chooses the owner and the replicas of a slot by the candidates' scores. Each
// replica is separated as far as possible from the holders chosen before.
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

// separationFrom returns how far a member is separated from all of the others: 2 if it is in
// another failure domain, 1 if in another rack, 0 if in the same rack as one of them, and
// -1 if it is one of them.
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

// RanksWithin reports whether a member is one of the first count members in the rendezvous
// order for a salt. Balancers use it to divide work without communicating.
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
