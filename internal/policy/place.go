// Package policy decides which backend server gets a new flow and which new flows
// are refused. It uses no clock and no network, and keeps no state between decisions,
// so that tests can simulate load.
//
// The policies are designed for services with 4 to 120 backend servers that have two
// or three request slots each and are 50 % to 90 % utilized. Long-lived flows with
// occasional requests are mixed with flows of a single request. Several balancers place
// flows concurrently and learn of each other's load with a delay of less than a second.
package policy

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that may get a new flow.
type Candidate struct {
	// Slots is the number of requests that the server processes concurrently. It is
	// reduced for servers that are still warming up.
	Slots float64
	// InFlight is the estimated number of in-flight requests on the server, and
	// OthersInFlight the part of them that other balancers have placed.
	InFlight, OthersInFlight float64
	// OthersAge is the age of OthersInFlight.
	OthersAge time.Duration
	// OpenFlows is the estimated number of open flows on the server.
	OpenFlows float64
	// Remote is true if the server is in another failure domain than the balancer.
	Remote bool
	// Suspected is true if the server has recently failed to answer.
	Suspected bool
}

// Flow describes the flow to place.
type Flow struct {
	// InFlightPerOpenFlow is the mean number of in-flight requests per open flow: the
	// fraction of its lifetime during which a flow has a request in progress.
	InFlightPerOpenFlow float64
	// RemoteCost is the cost of crossing failure domains, in in-flight requests.
	RemoteCost float64
	// MeanRequestTime is the mean duration of the route's requests, 0 if unknown.
	MeanRequestTime time.Duration
}

// Policy ranks candidates by score. The candidate with the lowest score is the best.
type Policy interface {
	Score(candidate Candidate, flow Flow) float64
}

// maxCompared bounds the number of candidates that are compared, starting from a random
// one. Balancers that compare all candidates on equally old load data choose the same
// server; with too few, the servers of an overloaded service are loaded unevenly.
const maxCompared = 8

// Choose returns the index of the candidate that the policy selects, and false if there
// are no candidates. A suspected candidate is selected only if all are suspected.
func Choose[P Policy](policy P, candidates []Candidate, flow Flow, random *rand.Rand) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	start := random.IntN(len(candidates))
	best, bestScore, compared := start, 0.0, 0
	for offset := 0; offset < len(candidates) && compared < maxCompared; offset++ {
		index := (start + offset) % len(candidates)
		candidate := candidates[index]
		if candidate.Suspected {
			continue
		}
		score := policy.Score(candidate, flow) + scoreJitter*random.Float64()/max(candidate.Slots, 1)
		if compared == 0 || score < bestScore {
			best, bestScore = index, score
		}
		compared++
	}
	return best, true
}

// scoreJitter is the upper bound of the random load that is added to each candidate, in
// in-flight requests. Smaller differences between scores are insignificant because
// balancers do not know each other's exact load.
const scoreJitter = 0.3

// LeastLoaded selects the server with the fewest in-flight requests per slot, including
// the requests expected from its open flows. It suits services that are busy enough for
// requests to queue.
type LeastLoaded struct{}

// Score implements Policy.
func (LeastLoaded) Score(candidate Candidate, flow Flow) float64 {
	slots := max(candidate.Slots, 0.1)
	load := (candidate.InFlight + flow.InFlightPerOpenFlow*candidate.OpenFlows + 1) / slots
	if candidate.Remote {
		load += flow.RemoteCost / slots
	}
	return load
}

// FewestFlows selects the server with the fewest open flows per slot. It is a baseline
// for comparisons and does not need to know about requests.
type FewestFlows struct{}

// Score implements Policy.
func (FewestFlows) Score(candidate Candidate, _ Flow) float64 {
	return (candidate.OpenFlows + 1) / max(candidate.Slots, 0.1)
}

// AnyServer selects a server irrespective of load. It is a baseline for comparisons.
type AnyServer struct{}

// Score implements Policy.
func (AnyServer) Score(candidate Candidate, _ Flow) float64 { return 0 }
