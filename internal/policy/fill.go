package policy

// Fill: placing with knowledge that is as old as a request takes.
//
// Balancers that all know the same, a little late, and all take the least loaded server,
// take the same one until they hear of it. So what is known is carried on to now: requests
// end meanwhile, and the others place as many new ones, where there is room. The load that
// all servers would reach together is the level; a flow goes to a server below it, with a
// chance in proportion to the room there. The older the knowledge, the more even that is;
// with knowledge of this moment the least loaded server is taken.
//
// Comparing a few servers drawn by chance answers the same load, with a number of its own
// for each size and age: of 16 servers 4 are better than 8 at 100 ms, and 16 are best when
// all is known at once.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// usualAnswer is taken for the time of a request while none has been seen: requests of the
// users' sites take 5 to 72 ms.
const usualAnswer = 40 * time.Millisecond

// Filler chooses by Fill. It keeps its lists from call to call.
type Filler struct {
	loads []float64
	order []int
}

// Choose returns the index of the candidate that gets a flow, or false if there are none.
// Suspected candidates are taken only when all are suspected.
func (f *Filler) Choose(candidates []Candidate, flow Flow, random *rand.Rand) (int, bool) {
	f.order = f.order[:0]
	for _, suspected := range []bool{false, true} {
		for index := range candidates {
			if candidates[index].Suspected == suspected {
				f.order = append(f.order, index)
			}
		}
		if len(f.order) > 0 {
			return f.draw(candidates, flow, random), true
		}
	}
	return 0, false
}

// draw draws one of the candidates in order.
func (f *Filler) draw(candidates []Candidate, flow Flow, random *rand.Rand) int {
	answer := float64(cmp.Or(flow.Answer, usualAnswer))
	f.loads = slices.Grow(f.loads[:0], len(candidates))[:len(candidates)]
	arriving := 1.0
	for _, index := range f.order {
		c := &candidates[index]
		slots := max(c.Slots, leastSlots)
		lives := float64(c.Age) / answer
		// What is queued behind the slots goes on for longer than one request.
		left := max(c.Others*math.Exp(-lives), c.Others-slots*lives)
		arriving += c.Others - left
		f.loads[index] = (c.Busy - c.Others + left + flow.OpenShare*c.Open) / slots
		if c.Remote {
			f.loads[index] += max(remoteLoad, flow.RemoteCost/slots)
		}
	}
	slices.SortFunc(f.order, func(a, b int) int { return cmp.Compare(f.loads[a], f.loads[b]) })
	level := f.level(candidates, arriving)
	room := 0.0
	for _, index := range f.order {
		room += max(level-f.loads[index], 0) * max(candidates[index].Slots, leastSlots)
	}
	drawn := random.Float64() * room
	for _, index := range f.order {
		drawn -= max(level-f.loads[index], 0) * max(candidates[index].Slots, leastSlots)
		if drawn < 0 {
			return index
		}
	}
	return f.order[0]
}

// remoteLoad is the load for each slot at which a server of the own failure domain is as
// good as an idle one of another: its slots are in use. A link between domains may be cut,
// and takes the flows on it along.
const remoteLoad = 1.0

// leastSlots keeps servers with few slots in use from dividing by nothing.
const leastSlots = 0.1

// level returns the load for each slot that the candidates reach when so many requests are
// placed where there is most room.
func (f *Filler) level(candidates []Candidate, requests float64) float64 {
	slots, filled, level := 0.0, 0.0, 0.0
	for place, index := range f.order {
		slots += max(candidates[index].Slots, leastSlots)
		filled += f.loads[index] * max(candidates[index].Slots, leastSlots)
		level = (requests + filled) / slots
		if place+1 == len(f.order) || level <= f.loads[f.order[place+1]] {
			break
		}
	}
	return level
}
