package policy

import "time"

// Load is the current load of the candidate servers for a new flow.
type Load struct {
	// Slots and InFlight are the request slots and the in-flight requests, each summed
	// over all candidates.
	Slots, InFlight float64
}

// Admission is the decision on the first packet of a flow.
type Admission string

// The values of Admission.
const (
	// Place assigns a server to the flow now.
	Place Admission = "Place"
	// Wait drops the packet; the caller retransmits it within the same connection
	// attempt.
	Wait Admission = "Wait"
	// Refuse resets the flow, so that the caller learns immediately and can retry or
	// fail.
	Refuse Admission = "Refuse"
)

const (
	// waitMinLoad is the number of in-flight requests per slot from which first packets
	// are dropped to delay the flow, if the route's timeout is long enough. Per slot,
	// servers queue four requests in addition to the one being processed.
	waitMinLoad = 4.0
	// waitMinTimeout is the shortest route timeout for which flows are delayed. It covers
	// two connection attempts of 1.4 s each.
	waitMinTimeout = 2800 * time.Millisecond
	// maxRetransmits is the number of retransmissions of the first packet from which the
	// flow is always placed. The second one arrives 600 ms after the original packet.
	maxRetransmits = 2
	// On routes with shorter timeouts, the probability of a refusal grows linearly while
	// the in-flight requests per slot rise from refuseMinLoad to refuseFullLoad. Both are
	// higher than waitMinLoad because a flow that has moved to another balancer is
	// counted twice for a while.
	refuseMinLoad, refuseFullLoad = 4.5, 6.5
	// maxRefuseProbability bounds the probability of a refusal. Callers make three
	// attempts, so more than half of them are served even if the load is overestimated.
	maxRefuseProbability = 0.75
)

// Admit decides whether a flow is placed now, delayed or refused. The timeout is that of
// the flow's route, retransmits is how often the first packet has been retransmitted, and
// random is a random number in [0, 1).
//
// Admit protects servers against overload, for example when all callers reconnect at once
// after an outage of all balancers that lasted seconds, or when half of the servers have
// failed. A request beyond a server's queue limit is rejected by the server, which takes
// longer than a refusal here. Callers with a long timeout lose less by a delay than by
// using up one of their few retries; callers with a short timeout have no time for a delay.
func Admit(load Load, timeout time.Duration, retransmits uint32, random float64) Admission {
	inFlightPerSlot := load.InFlight / max(load.Slots, 1)
	switch {
	case retransmits >= maxRetransmits:
		return Place
	case timeout >= waitMinTimeout && inFlightPerSlot >= waitMinLoad:
		return Wait
	case timeout < waitMinTimeout && random < maxRefuseProbability*(inFlightPerSlot-refuseMinLoad)/(refuseFullLoad-refuseMinLoad) && random < maxRefuseProbability:
		return Refuse
	}
	return Place
}
