package policy

// Water filling: placing flows when the load data is about as old as a request lasts.
//
// Balancers that share the same outdated load data and all pick the least loaded server
// keep picking the same one until the data is refreshed. WaterFiller therefore extrapolates
// the data to the present: some requests have completed since, and the other balancers have
// placed as many new ones where servers had capacity left. The level is the load per slot
// that all servers would reach together. A flow goes to a server below the level, with a
// probability proportional to the server's remaining capacity up to the level. The older
// the data, the more even the distribution; with current data the least loaded server is
// picked.
//
// Comparing a few random servers was rejected, because the best number of servers depends
// on the size of the service and the age of the data: of 16 servers, comparing 4 is better
// than comparing 8 with data that is 100 ms old, and comparing all 16 is best with current
// data.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// defaultRequestTime is the assumed duration of a request until one has been observed.
// Typical requests take 5 to 72 ms.
const defaultRequestTime = 40 * time.Millisecond

// WaterFiller chooses servers by water filling. It reuses its buffers between calls, so it
// must not be used concurrently. The zero value is ready to use.
type WaterFiller struct {
	loads []float64
	order []int
}

// Choose returns the index of the candidate that gets the flow, and false if there are no
// candidates. A suspected candidate is chosen only if all are suspected.
func (f *WaterFiller) Choose(candidates []Candidate, flow Flow, random *rand.Rand) (int, bool) {
	f.order = f.order[:0]
	for _, suspected := range []bool{false, true} {
		for index := range candidates {
			if candidates[index].Suspected == suspected {
				f.order = append(f.order, index)
			}
		}
		if len(f.order) > 0 {
			return f.pick(candidates, flow, random), true
		}
	}
	return 0, false
}

// pick returns the index of a random one of the candidates listed in f.order, weighted by
// the capacity that they have left below the level.
func (f *WaterFiller) pick(candidates []Candidate, flow Flow, random *rand.Rand) int {
	requestTime := float64(cmp.Or(flow.MeanRequestTime, defaultRequestTime))
	f.loads = slices.Grow(f.loads[:0], len(candidates))[:len(candidates)]
	newRequests := 1.0
	for _, index := range f.order {
		c := &candidates[index]
		slots := max(c.Slots, minSlots)
		// elapsedRequests is the age of the data in mean request times.
		elapsedRequests := float64(c.OthersAge) / requestTime
		// A queue drains at the rate at which the slots complete requests, so requests in
		// a long queue remain longer than the exponential decay suggests.
		remaining := max(c.OthersInFlight*math.Exp(-elapsedRequests), c.OthersInFlight-slots*elapsedRequests)
		newRequests += c.OthersInFlight - remaining
		f.loads[index] = (c.InFlight - c.OthersInFlight + remaining + flow.InFlightPerOpenFlow*c.OpenFlows) / slots
		if c.Remote {
			f.loads[index] += max(minRemoteLoad, flow.RemoteCost/slots)
		}
	}
	slices.SortFunc(f.order, func(a, b int) int { return cmp.Compare(f.loads[a], f.loads[b]) })
	level := f.fillLevel(candidates, newRequests)
	totalCapacity := 0.0
	for _, index := range f.order {
		totalCapacity += max(level-f.loads[index], 0) * max(candidates[index].Slots, minSlots)
	}
	target := random.Float64() * totalCapacity
	for _, index := range f.order {
		target -= max(level-f.loads[index], 0) * max(candidates[index].Slots, minSlots)
		if target < 0 {
			return index
		}
	}
	return f.order[0]
}

// minRemoteLoad is the least load per slot that is added to servers in another failure
// domain: an idle remote server is as good as a local one whose slots are all in use. Local
// servers are preferred because a failed link between domains breaks the flows that cross
// it.
const minRemoteLoad = 1.0

// minSlots is the least number of slots by which loads are divided.
const minSlots = 0.1

// fillLevel returns the load per slot up to which the candidates are filled if the given
// number of requests is placed on the least loaded ones. f.order is sorted by load.
func (f *WaterFiller) fillLevel(candidates []Candidate, requests float64) float64 {
	slots, inFlight, level := 0.0, 0.0, 0.0
	for rank, index := range f.order {
		slots += max(candidates[index].Slots, minSlots)
		inFlight += f.loads[index] * max(candidates[index].Slots, minSlots)
		level = (requests + inFlight) / slots
		if rank+1 == len(f.order) || level <= f.loads[f.order[rank+1]] {
			break
		}
	}
	return level
}
