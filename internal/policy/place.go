// Package policy decides which backend server gets a new flow and which new flows
// are refused. It has no state, no clock and no network, so that tests play the
// load that a policy is for.
//
// The load that these policies answer: services with 4 to 120 backend servers of two
// or three request slots each, half to nine tenths busy; long flows that carry a
// request now and then beside flows of a single request; several balancers that
// place at the same time and know of each other's load a fraction of a second late.
package policy

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that may get a new flow.
type Candidate struct {
	// Slots is how many requests the server works on at once. A cold server counts
	// as having fewer.
	Slots float64
	// Busy is the requests in progress there, as far as known, and Others those of them
	// that other balancers have placed.
	Busy, Others float64
	// Age is how old what is known of the others is.
	Age time.Duration
	// Open is the flows that are open there, as far as known.
	Open float64
	// Remote servers are in another failure domain than the balancer.
	Remote bool
	// Suspected servers have not answered lately.
	Suspected bool
}

// Flow is what is known of the flow to place.
type Flow struct {
	// OpenShare is the mean share of its time that an open flow has a request in
	// progress.
	OpenShare float64
	// RemoteCost is what crossing failure domains costs, in requests in progress.
	RemoteCost float64
	// Answer is the mean time of a request of its route, 0 where it is not known.
	Answer time.Duration
}

// Policy orders candidates. The lowest score is best.
type Policy interface {
	Score(candidate Candidate, flow Flow) float64
}

// sampleSize is how many candidates are compared, from one drawn by chance onwards.
// Balancers that compare all of them, with knowledge of the same age, choose the same
// server (TestPoliciesUnderLoad); with too few, servers of an overloaded service fill
// unevenly.
const sampleSize = 8

// Choose returns the index of the candidate that a policy takes, or false if there
// are none. Suspected candidates are taken only when all are suspected.
func Choose[P Policy](policy P, candidates []Candidate, flow Flow, random *rand.Rand) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	start := random.IntN(len(candidates))
	best, bestScore, compared := start, 0.0, 0
	for offset := 0; offset < len(candidates) && compared < sampleSize; offset++ {
		index := (start + offset) % len(candidates)
		candidate := candidates[index]
		if candidate.Suspected {
			continue
		}
		score := policy.Score(candidate, flow) + jitter*random.Float64()/max(candidate.Slots, 1)
		if compared == 0 || score < bestScore {
			best, bestScore = index, score
		}
		compared++
	}
	return best, true
}

// jitter is the part of a request by which scores are varied. Below it, differences
// are smaller than what balancers do not know of each other.
const jitter = 0.3

// LeastLoaded compares requests in progress, and those that open flows are expected
// to bring, with the slots. It is for services that are busy enough for queues.
type LeastLoaded struct{}

// Score implements Policy.
func (LeastLoaded) Score(candidate Candidate, flow Flow) float64 {
	slots := max(candidate.Slots, 0.1)
	load := (candidate.Busy + flow.OpenShare*candidate.Open + 1) / slots
	if candidate.Remote {
		load += flow.RemoteCost / slots
	}
	return load
}

// FewestFlows compares open flows with slots. It is the baseline that needs to know
// of no requests.
type FewestFlows struct{}

// Score implements Policy.
func (FewestFlows) Score(candidate Candidate, _ Flow) float64 {
	return (candidate.Open + 1) / max(candidate.Slots, 0.1)
}

// AnyServer takes any candidate. It is the baseline that knows nothing.
type AnyServer struct{}

// Score implements Policy.
func (AnyServer) Score(candidate Candidate, _ Flow) float64 { return 0 }
