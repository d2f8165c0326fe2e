// Package tally aggregates the load that balancers put on backend servers, so that each
// balancer knows nearly all load on the servers it uses, with little delay and at a cost
// that does not grow with the number of balancers.
//
// Backend servers are split into groups by service and failure domain. A balancer places
// flows within a few groups of each service, its subset. It reports the load that it causes
// in each group to the group's collector, a balancer that all balancers determine
// independently by rendezvous hashing. The collector replies with the sum of the other
// balancers' reports. A balancer thus learns of all load on the servers in its subset, and
// of no other load.
//
// Rejected alternatives:
//   - Reporting to all balancers. The age of each peer's report grows with the number of
//     balancers; with 195 balancers, four fifths of the load were unknown.
//   - Aggregating through a tree of balancers. With 9,000 servers, the sum over all servers
//     is too large for the lower levels of the tree, and each level adds a reporting
//     interval of delay.
//   - One collector for all servers of a failure domain. It would have to receive and
//     answer a report from every balancer; groups distribute this work.
//
// The package is designed for services of 4 to several thousand servers with two or three
// request slots each that are 50 % to 100 % utilized, and for 2 to 1,300 balancers that
// place flows on them concurrently.
package tally

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonmoor.example/internal/state"
)

const (
	// maxUngroupedServers is the number of servers up to which all of them form one group.
	maxUngroupedServers = 64
	// maxMeanGroupSize bounds the mean number of servers in a group. Eight servers are
	// compared for a flow, and some may be suspected, warming up or full.
	maxMeanGroupSize = 16
	// minLocalServers and minRemoteServers are the least numbers of servers of a service
	// in a balancer's subset, in its own failure domain and in others. A subset has fewer
	// only if fewer exist.
	minLocalServers  = 12
	minRemoteServers = 8
	// reportTTL is the time after which a report is discarded. It spans several reporting
	// intervals of a balancer that reports to many collectors.
	reportTTL = 2 * time.Second
)

// GroupID identifies a group of backend servers.
type GroupID uint32

// UngroupedID is the ID of the single group that is used for up to
// maxUngroupedServers servers.
const UngroupedID GroupID = 0

// Server is a backend server that may get flows.
type Server struct {
	Tag     state.Tag
	Service string
	Domain  string
}

// Group is a set of backend servers whose load is collected by one balancer.
type Group struct {
	ID GroupID
	// Service and Domain are common to all servers of the group. Both are empty if the ID
	// is UngroupedID.
	Service, Domain string
	// Servers are indices into the list that was passed to Split.
	Servers []int
}

// Load is the load that one balancer puts on a backend server, or the sum over several
// balancers.
type Load struct {
	Tag state.Tag
	// InFlight is the number of in-flight requests, OpenFlows the number of open flows.
	InFlight, OpenFlows int
	// Work is the expected work of the in-flight requests, in mean requests. Good and Bad are the
	// outcomes of recent requests, Took and Expected the times that they took and were expected to
	// take. All are 0 if the balancers do not learn them.
	Work, Good, Bad float64
	Took, Expected  time.Duration
}

// add adds the load of another balancer on the same server.
func (l *Load) add(other Load) {
	l.InFlight += other.InFlight
	l.OpenFlows += other.OpenFlows
	l.Work += other.Work
	l.Good += other.Good
	l.Bad += other.Bad
	l.Took += other.Took
	l.Expected += other.Expected
}

// serviceDomain is the part of a service in a failure domain.
type serviceDomain struct{ service, domain string }

// Split divides servers into groups, ordered by ID. The order of the servers affects only
// their order within the groups, so that all balancers compute the same groups.
func Split(servers []Server) []Group {
	if len(servers) <= maxUngroupedServers {
		group := Group{ID: UngroupedID}
		for index := range servers {
			group.Servers = append(group.Servers, index)
		}
		return []Group{group}
	}
	byServiceDomain := make(map[serviceDomain][]int)
	for index := range servers {
		key := serviceDomain{servers[index].Service, servers[index].Domain}
		byServiceDomain[key] = append(byServiceDomain[key], index)
	}
	var groups []Group
	for key, members := range byServiceDomain {
		groups = append(groups, splitServiceDomain(servers, key, members)...)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return groups
}

// splitServiceDomain splits the servers of a service in a failure domain by their tags. The
// number of groups is a power of two, so that it rarely changes.
func splitServiceDomain(servers []Server, key serviceDomain, members []int) []Group {
	groupCount := 1 << bits.Len(uint((len(members)-1)/maxMeanGroupSize))
	groups := make([]Group, groupCount)
	for number := range groups {
		groups[number] = Group{ID: groupID(key, groupCount, number), Service: key.service, Domain: key.domain}
	}
	for _, index := range members {
		number := int(servers[index].Tag) & (groupCount - 1)
		groups[number].Servers = append(groups[number].Servers, index)
	}
	return slices.DeleteFunc(groups, func(g Group) bool { return len(g.Servers) == 0 })
}

func groupID(sd serviceDomain, groupCount, number int) GroupID {
	key := append([]byte(sd.service), 0)
	key = append(key, sd.domain...)
	key = binary.LittleEndian.AppendUint32(key, uint32(groupCount))
	key = binary.LittleEndian.AppendUint32(key, uint32(number))
	if id := GroupID(xxhash.Sum64(key)); id != UngroupedID {
		return id
	}
	return UngroupedID + 1
}

// Subset returns the indices of the groups in which a balancer places flows, given the
// balancer's name and failure domain. Rendezvous hashing distributes the balancers evenly
// over the groups.
func Subset(groups []Group, balancer, domain string) []int {
	if len(groups) == 1 {
		return []int{0}
	}
	hash := xxhash.Sum64String(balancer)
	order := make([]int, len(groups))
	for index := range order {
		order[index] = index
	}
	slices.SortFunc(order, func(a, b int) int {
		local, other := groups[a].Domain == domain, groups[b].Domain == domain
		if local != other {
			if local {
				return -1
			}
			return 1
		}
		return cmp.Compare(CollectorWeight(groups[a].ID, hash), CollectorWeight(groups[b].ID, hash))
	})
	local, remote := make(map[string]int), make(map[string]int)
	var used []int
	for _, index := range order {
		g := &groups[index]
		count, minServers := remote, minRemoteServers
		if g.Domain == domain {
			count, minServers = local, minLocalServers
		}
		if count[g.Service] < minServers {
			count[g.Service] += len(g.Servers)
			used = append(used, index)
		}
	}
	return used
}

// CollectorWeight returns a balancer's rendezvous weight for a group. The live balancer
// with the greatest weight is the group's collector. balancerHash is a hash of the
// balancer's name.
func CollectorWeight(group GroupID, balancerHash uint64) uint64 {
	var key [12]byte
	binary.LittleEndian.PutUint32(key[:], uint32(group))
	binary.LittleEndian.PutUint64(key[4:], balancerHash)
	return xxhash.Sum64(key[:])
}

// report is the load that a balancer last reported for a group.
type report struct {
	receivedAt time.Time
	loads      []Load
}

// Collector stores the load that balancers, this one included, have reported on the
// groups that this balancer collects. It is not safe for concurrent use.
type Collector struct {
	groups map[GroupID]map[string]report
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector { return &Collector{groups: make(map[GroupID]map[string]report)} }

// SetReport replaces a balancer's report for a group. The collector keeps a reference to
// loads, so the caller must not modify it.
func (c *Collector) SetReport(group GroupID, from string, loads []Load, now time.Time) {
	reports := c.groups[group]
	if reports == nil {
		reports = make(map[string]report)
		c.groups[group] = reports
	}
	reports[from] = report{receivedAt: now, loads: loads}
}

// SumOthers returns the load of each server in a group, summed over the current reports of
// all balancers except one, ordered by tag.
func (c *Collector) SumOthers(group GroupID, except string, now time.Time) []Load {
	var sums []Load
	for from, r := range c.groups[group] {
		switch {
		case now.Sub(r.receivedAt) > reportTTL:
			delete(c.groups[group], from)
		case from != except:
			sums = append(sums, r.loads...)
		}
	}
	slices.SortFunc(sums, func(a, b Load) int { return cmp.Compare(a.Tag, b.Tag) })
	merged := sums[:0]
	for _, load := range sums {
		if last := len(merged) - 1; last >= 0 && merged[last].Tag == load.Tag {
			merged[last].add(load)
			continue
		}
		merged = append(merged, load)
	}
	return merged
}

// Expire removes expired reports, and groups without reports.
func (c *Collector) Expire(now time.Time) {
	for group, reports := range c.groups {
		for from, r := range reports {
			if now.Sub(r.receivedAt) > reportTTL {
				delete(reports, from)
			}
		}
		if len(reports) == 0 {
			delete(c.groups, group)
		}
	}
}
