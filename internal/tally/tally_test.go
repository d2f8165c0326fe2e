package tally_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tally"
)

var testTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// newServers returns a number of servers, distributed evenly over services and failure
// domains.
func newServers(count, services, domains int) []tally.Server {
	var list []tally.Server
	for number := range count {
		backend := state.Backend{Name: fmt.Sprintf("i-%08x", number)}
		list = append(list, tally.Server{
			Tag:     backend.Tag(),
			Service: fmt.Sprintf("service-%d", number%services),
			Domain:  fmt.Sprintf("domain-%d", number/services%domains),
		})
	}
	return list
}

func TestSplit(t *testing.T) {
	for _, c := range []struct{ count, services, domains, largest int }{
		{0, 1, 1, 0}, {18, 2, 4, 18}, {64, 2, 4, 64}, {65, 2, 4, 16}, {293, 2, 6, 30}, {9000, 40, 9, 32}, {9000, 2, 9, 32},
	} {
		list := newServers(c.count, c.services, c.domains)
		groups := tally.Split(list)
		seen := make(map[int]bool)
		ids := make(map[tally.GroupID]bool)
		for _, g := range groups {
			if ids[g.ID] {
				t.Errorf("%+v: two groups have the same ID", c)
			}
			ids[g.ID] = true
			if len(g.Servers) > c.largest {
				t.Errorf("%+v: a group has %d servers, more than expected", c, len(g.Servers))
			}
			for _, index := range g.Servers {
				seen[index] = true
				if g.ID != tally.UngroupedID && (list[index].Service != g.Service || list[index].Domain != g.Domain) {
					t.Errorf("%+v: server %+v is in a group of service %s in domain %s", c, list[index], g.Service, g.Domain)
				}
			}
		}
		if len(seen) != c.count {
			t.Errorf("%+v: only %d servers are in groups", c, len(seen))
		}
	}
}

// The subset of each balancer contains enough servers of each service, and every group is
// used by some balancer.
func TestSubset(t *testing.T) {
	for _, c := range []struct{ balancers, servers int }{{8, 18}, {90, 150}, {195, 293}, {300, 3000}, {1300, 9000}} {
		list := newServers(c.servers, 2, 6)
		groups := tally.Split(list)
		users := make(map[int]int)
		maxUsed := 0
		for number := range c.balancers {
			domain := fmt.Sprintf("domain-%d", number%6)
			local, all := make(map[string]int), make(map[string]int)
			used := tally.Subset(groups, fmt.Sprintf("entry-%d", number), domain)
			maxUsed = max(maxUsed, len(used))
			for _, index := range used {
				users[index]++
				for _, server := range groups[index].Servers {
					all[list[server].Service]++
					if list[server].Domain == domain {
						local[list[server].Service]++
					}
				}
			}
			for _, service := range []string{"service-0", "service-1"} {
				if all[service] < min(16, c.servers/2) || local[service] < min(8, c.servers/12) {
					t.Fatalf("%+v: balancer %d uses only %d servers of %s, %d in its domain", c, number, all[service], service, local[service])
				}
			}
		}
		if len(users) < len(groups) {
			t.Errorf("%+v: only %d of %d groups are used", c, len(users), len(groups))
		}
		if maxUsed > 16 {
			t.Errorf("%+v: a balancer uses %d groups, more than 16", c, maxUsed)
		}
	}
}

func TestCollector(t *testing.T) {
	is := is.New(t)
	collector := tally.NewCollector()
	collector.SetReport(7, "a", []tally.Load{{Tag: 1, InFlight: 2, OpenFlows: 3}, {Tag: 2, InFlight: 1}}, testTime)
	collector.SetReport(7, "b", []tally.Load{{Tag: 2, InFlight: 5, OpenFlows: 1}}, testTime)
	collector.SetReport(8, "b", []tally.Load{{Tag: 9, InFlight: 9}}, testTime)
	is.Equal(collector.SumOthers(7, "b", testTime), []tally.Load{{Tag: 1, InFlight: 2, OpenFlows: 3}, {Tag: 2, InFlight: 1}})
	is.Equal(collector.SumOthers(7, "c", testTime), []tally.Load{{Tag: 1, InFlight: 2, OpenFlows: 3}, {Tag: 2, InFlight: 6, OpenFlows: 1}})
	collector.SetReport(7, "a", nil, testTime.Add(time.Second)) // a new report replaces the previous one
	is.Equal(collector.SumOthers(7, "c", testTime.Add(time.Second)), []tally.Load{{Tag: 2, InFlight: 5, OpenFlows: 1}})
	is.Equal(len(collector.SumOthers(7, "c", testTime.Add(3*time.Second))), 0) // all reports have expired
	collector.Expire(testTime.Add(time.Minute))
	is.Equal(len(collector.SumOthers(8, "c", testTime)), 0)
}

func ExampleSplit() {
	list := []tally.Server{
		{Tag: 1, Service: "planning", Domain: "lorient"},
		{Tag: 2, Service: "journal", Domain: "vannes"},
	}
	groups := tally.Split(list)
	fmt.Println(len(groups), groups[0].Servers, slices.Equal(tally.Subset(groups, "entry-1", "lorient"), []int{0}))
	// Output: 1 [0 1] true
}
