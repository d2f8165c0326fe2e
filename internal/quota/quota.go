// Package quota limits the rate of events on a resource, such as new flows to a backend server,
// summed over all balancers. The balancers exchange no messages for it and share no clock.
//
// The members that may use a resource are those of its failure domain. Each computes its own share
// of the limit: members are ranked by a rendezvous hash of resource and member, the limit is
// divided by their number, and the remainder goes to the highest ranks, one event each. A member
// uses its share in any sliding second. A sum of shares that fit into any second also fits into
// every other one, so nothing has to be synchronized. Members count as long as they are
// remembered, also while they are dead or out of reach: a balancer that is cut off uses its share
// and no more, and both sides of a partition together use the limit once.
//
// The limit can be exceeded only while some members do not know others. A newcomer must therefore
// use no share until the others have had the time to hear of it, and shares are computed from a
// part of the limit.
//
// Rejected alternatives:
//   - One balancer for each resource and time slot: it needs a clock that all share, and two sides
//     of a partition choose different ones.
//   - Permits from a collector: they are lost with it, and without them there is either no service
//     or no limit.
//   - The limit divided by the number of live members: the shares of a cut fleet sum to more, and
//     with more members than events per second nobody has a whole event.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// usableShare is the part of a limit that is divided among the members. The rest covers events
// that arrive closer together than they were sent, and a member that some do not know.
const usableShare = 0.8

// Limit returns the number of events in any second that all members together may cause, given the
// limit that must not be exceeded.
func Limit(eventsPerSecond float64) int { return int(math.Floor(eventsPerSecond * usableShare)) }

// Share returns the number of events in any second that a member may cause, out of the limit of
// all members together. The list of members includes the member itself.
func Share(limit int, resource, self string, members []string) int {
	if limit <= 0 || len(members) == 0 {
		return 0
	}
	own, rank := weight(resource, self), 0
	for _, member := range members {
		if member != self && weight(resource, member) > own {
			rank++
		}
	}
	share := limit / len(members)
	if rank < limit%len(members) {
		share++
	}
	return share
}

// weight returns the rendezvous weight of a member for a resource.
func weight(resource, member string) uint64 {
	digest := xxhash.New()
	// Writing to the digest cannot fail.
	_, _ = digest.WriteString(resource)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Window counts the events of the last second. The zero value has none.
type Window struct {
	// times holds the times of the latest events, oldest first.
	times []time.Time
}

// span is the length of a window. It exceeds a second, because events that are a second apart at
// their sender may arrive closer together.
const span = time.Second + 50*time.Millisecond

// Allows reports whether one more event at the given time stays within a number of events in any
// second.
func (w *Window) Allows(limit int, now time.Time) bool {
	w.expire(now)
	return len(w.times) < limit
}

// Add adds an event.
func (w *Window) Add(now time.Time) {
	w.expire(now)
	w.times = append(w.times, now)
}

func (w *Window) expire(now time.Time) {
	expired := 0
	for expired < len(w.times) && now.Sub(w.times[expired]) > span {
		expired++
	}
	w.times = w.times[expired:]
}
