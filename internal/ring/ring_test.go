package ring_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

func makeTargets(count int) []ring.Target {
	all := make([]ring.Target, count)
	for index := range all {
		all[index] = ring.Target{Backend: flow.BackendKey(flow.NameKey(fmt.Sprint("backend-", index))), Weight: 100}
	}
	return all
}

func makeMembers(count int) []ring.Member {
	all := make([]ring.Member, count)
	for index := range all {
		all[index] = ring.Member{
			Key:    flow.MemberKey(flow.NameKey(fmt.Sprint("member-", index))),
			Domain: fmt.Sprint("domain-", index%3),
			Rack:   fmt.Sprint("rack-", index/3%2),
		}
	}
	return all
}

func countSlots(table *ring.Table) map[flow.BackendKey]int {
	counts := make(map[flow.BackendKey]int)
	for _, backend := range table {
		counts[backend]++
	}
	return counts
}

// Each backend server's number of slots is proportional to its weight, within 10 slots.
func TestTableShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := makeTargets(rapid.IntRange(1, 40).Draw(rt, "count"))
		total := 0
		for index := range all {
			all[index].Weight = ring.Weight(rapid.IntRange(1, 10).Draw(rt, "weight"))
			total += int(all[index].Weight)
		}
		counts := countSlots(ring.NewTable(all))
		for _, target := range all {
			expected := flow.SlotCount * int(target.Weight) / total
			if got := counts[target.Backend]; got < expected-10 || got > expected+10 {
				rt.Fatalf("target with weight %d of %d has %d slots, expected about %d", target.Weight, total, got, expected)
			}
		}
	})
}

// Removing one of 15 backend servers reassigns few slots besides its own.
func TestTableMovesFewSlots(t *testing.T) {
	is := is.New(t)
	before := ring.NewTable(makeTargets(15))
	after := ring.NewTable(makeTargets(14))
	moved := 0
	for slot := range before {
		if before[slot] != after[slot] {
			moved++
		}
	}
	is.True(moved < flow.SlotCount/5) // fewer than a fifth of the slots are reassigned
}

func TestEmptyTable(t *testing.T) {
	is.New(t).Equal(ring.NewTable(nil)[0], flow.BackendKey(0))
}

// The first replica is in another failure domain than the owner and the second replica.
func TestReplicasInOtherDomains(t *testing.T) {
	is := is.New(t)
	all := makeMembers(8)
	domains := make(map[flow.MemberKey]string)
	for _, member := range all {
		domains[member.Key] = member.Domain
	}
	for _, holders := range ring.NewOwners(all) {
		is.True(domains[holders.Owner] != domains[holders.Replicas[0]])
		is.True(domains[holders.Replicas[1]] != domains[holders.Replicas[0]])
	}
}

// Removing a member reassigns only the slots that it owned.
func TestOwnersMoveOnlyRemovedMembersSlots(t *testing.T) {
	is := is.New(t)
	all := makeMembers(8)
	before, after := ring.NewOwners(all), ring.NewOwners(all[1:])
	for slot := range before {
		if before[slot].Owner != all[0].Key {
			is.Equal(before[slot].Owner, after[slot].Owner)
		}
	}
}

func BenchmarkCapacityOwners(b *testing.B) {
	for _, count := range []int{8, 36, 72, 145} {
		b.Run(fmt.Sprint("Balancers=", count), func(b *testing.B) {
			all := makeMembers(count)
			for b.Loop() {
				ring.NewOwners(all)
			}
		})
	}
}

func BenchmarkCapacityTable(b *testing.B) {
	for _, count := range []int{7, 15, 60} {
		b.Run(fmt.Sprint("Backends=", count), func(b *testing.B) {
			all := makeTargets(count)
			for b.Loop() {
				ring.NewTable(all)
			}
		})
	}
}
