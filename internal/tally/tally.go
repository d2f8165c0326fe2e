// Package tally keeps balancers' knowledge of how busy backend servers are nearly whole
// and fresh, at a cost that does not grow with the fleet.
//
// Backend servers are split into groups, by service and failure domain. A balancer places
// flows within a few groups of each service, its subset, and tells the load that it causes
// in each to the group's collector, a balancer that all choose alike. The collector answers
// with what the others have told. So a balancer hears of all load on the servers that it
// chooses among, and of no others.
//
// Telling everybody was rejected: what a balancer hears of each peer then gets older as the
// fleet grows; with 195 balancers four fifths of the load were unknown. Sums that travel
// through a tree of balancers were rejected, as a sum of everything is too large for its
// lower levels at 9,000 servers, and each level adds a period. A collector for all servers
// of a failure domain would get a report from each balancer and answer it; groups spread
// that.
//
// The load it answers: services of 4 to several thousand servers with two or three slots
// each, half to fully busy, on which 2 to 1,300 balancers place flows at the same time.
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
	// wholeMost is the number of servers up to which all are one group.
	wholeMost = 64
	// groupMost bounds a group's servers, on the mean. Eight are compared for a flow, and
	// some may be suspected, cold or full.
	groupMost = 16
	// nearLeast and farLeast are how many servers of a service a subset has at least in
	// the balancer's own failure domain and in others, where there are so many.
	nearLeast = 12
	farLeast  = 8
	// reportLife is how long a report counts: some periods of a balancer that reports to
	// many collectors.
	reportLife = 2 * time.Second
)

// GroupID names a group of backend servers.
type GroupID uint32

// Whole is the group of all servers where there are few.
const Whole GroupID = 0

// Server is a backend server that may get flows.
type Server struct {
	Tag     state.Tag
	Service string
	Domain  string
}

// Group is some backend servers whose load one balancer collects.
type Group struct {
	ID GroupID
	// Service and Domain are those of all its servers; both are empty in the group of all
	// servers.
	Service, Domain string
	// Servers are indices in the list that was split.
	Servers []int
}

// Load is a balancer's load on one backend server, or the sum of several.
type Load struct {
	Tag state.Tag
	// Busy is the requests in progress, Open the open flows.
	Busy, Open int
}

type place struct{ service, domain string }

// Split puts servers into groups, alike whatever their order but for that of the groups'
// members.
func Split(servers []Server) []Group {
	if len(servers) <= wholeMost {
		whole := Group{ID: Whole}
		for index := range servers {
			whole.Servers = append(whole.Servers, index)
		}
		return []Group{whole}
	}
	places := make(map[place][]int)
	for index := range servers {
		at := place{servers[index].Service, servers[index].Domain}
		places[at] = append(places[at], index)
	}
	var groups []Group
	for at, members := range places {
		groups = append(groups, splitPlace(servers, at, members)...)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return groups
}

// splitPlace splits the servers of a service in a failure domain by their tags. The number
// of groups is a power of two, so that it changes seldom.
func splitPlace(servers []Server, at place, members []int) []Group {
	parts := 1 << bits.Len(uint((len(members)-1)/groupMost))
	groups := make([]Group, parts)
	for part := range groups {
		groups[part] = Group{ID: groupID(at, parts, part), Service: at.service, Domain: at.domain}
	}
	for _, index := range members {
		part := int(servers[index].Tag) & (parts - 1)
		groups[part].Servers = append(groups[part].Servers, index)
	}
	return slices.DeleteFunc(groups, func(g Group) bool { return len(g.Servers) == 0 })
}

func groupID(at place, parts, part int) GroupID {
	key := append([]byte(at.service), 0)
	key = append(key, at.domain...)
	key = binary.LittleEndian.AppendUint32(key, uint32(parts))
	key = binary.LittleEndian.AppendUint32(key, uint32(part))
	if id := GroupID(xxhash.Sum64(key)); id != Whole {
		return id
	}
	return Whole + 1
}

// Subset returns the indices of the groups in which a balancer places flows. Different
// balancers use different groups, each as many as the others.
func Subset(groups []Group, balancer, domain string) []int {
	if len(groups) == 1 {
		return []int{0}
	}
	own := xxhash.Sum64String(balancer)
	order := make([]int, len(groups))
	for index := range order {
		order[index] = index
	}
	slices.SortFunc(order, func(a, b int) int {
		near, other := groups[a].Domain == domain, groups[b].Domain == domain
		if near != other {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(Weight(groups[a].ID, own), Weight(groups[b].ID, own))
	})
	near, far := make(map[string]int), make(map[string]int)
	var used []int
	for _, index := range order {
		g := &groups[index]
		count, least := far, farLeast
		if g.Domain == domain {
			count, least = near, nearLeast
		}
		if count[g.Service] < least {
			count[g.Service] += len(g.Servers)
			used = append(used, index)
		}
	}
	return used
}

// Weight orders balancers as collectors of a group: the greatest of those that live
// collects. Rank is a hash of the balancer's name.
func Weight(group GroupID, rank uint64) uint64 {
	var key [12]byte
	binary.LittleEndian.PutUint32(key[:], uint32(group))
	binary.LittleEndian.PutUint64(key[4:], rank)
	return xxhash.Sum64(key[:])
}

// report is what a balancer has told of its load in a group.
type report struct {
	at    time.Time
	loads []Load
}

// Book is what a collector has been told.
type Book struct {
	groups map[GroupID]map[string]report
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{groups: make(map[GroupID]map[string]report)} }

// Report replaces what a balancer has told of a group. The book keeps the list.
func (b *Book) Report(group GroupID, from string, loads []Load, now time.Time) {
	reports := b.groups[group]
	if reports == nil {
		reports = make(map[string]report)
		b.groups[group] = reports
	}
	reports[from] = report{at: now, loads: loads}
}

// Others returns the sums of what all but one balancer have told of a group, ordered by
// tag.
func (b *Book) Others(group GroupID, asker string, now time.Time) []Load {
	var sums []Load
	for from, r := range b.groups[group] {
		switch {
		case now.Sub(r.at) > reportLife:
			delete(b.groups[group], from)
		case from != asker:
			sums = append(sums, r.loads...)
		}
	}
	slices.SortFunc(sums, func(a, b Load) int { return cmp.Compare(a.Tag, b.Tag) })
	merged := sums[:0]
	for _, load := range sums {
		if last := len(merged) - 1; last >= 0 && merged[last].Tag == load.Tag {
			merged[last].Busy += load.Busy
			merged[last].Open += load.Open
			continue
		}
		merged = append(merged, load)
	}
	return merged
}

// Forget drops groups of which nobody has told for a while.
func (b *Book) Forget(now time.Time) {
	for group, reports := range b.groups {
		for from, r := range reports {
			if now.Sub(r.at) > reportLife {
				delete(reports, from)
			}
		}
		if len(reports) == 0 {
			delete(b.groups, group)
		}
	}
}
