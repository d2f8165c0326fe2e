package policy

import "time"

// Pressure is the load of a service at the moment a flow is to be placed.
type Pressure struct {
	// Slots and Busy are sums over the servers that may get the flow.
	Slots, Busy float64
}

// Admission is what happens to a first packet.
type Admission string

// The admissions.
const (
	// Place gives the flow a server now.
	Place Admission = "Place"
	// Wait drops the packet: the caller sends it again by itself within the attempt.
	Wait Admission = "Wait"
	// Refuse resets the flow, so that the caller decides at once what to do.
	Refuse Admission = "Refuse"
)

const (
	// waitLimit is the requests in progress for each slot above which first packets
	// wait, where the route's timeout leaves time for it. Servers queue four for a
	// slot beside the one at work.
	waitLimit = 4.0
	// patientTimeout is two attempts of a caller to open a flow, of 1.4 s each.
	patientTimeout = 2800 * time.Millisecond
	// lastCopies are the copies of a first packet at which a flow is placed in any
	// case, 600 ms after the first one.
	lastCopies = 2
	// refuseFrom and refuseTo are the requests in progress for each slot between
	// which the chance of a refusal grows, on routes with shorter timeouts. They are
	// higher, as the sum counts a flow twice for a while after it has moved to
	// another balancer.
	refuseFrom, refuseTo = 4.5, 6.5
	// refuseChance is the greatest chance. Callers have three attempts, so that more
	// than half of them are served even if the load is not what it is taken for.
	refuseChance = 0.75
)

// Admit decides whether a flow is placed now; chance is drawn from 0 to 1.
//
// The load it answers: all balancers have been dark for seconds and all callers return
// at once, or half of the servers are gone. Placed beyond what servers queue, a request
// is refused there, late. A wait costs a patient caller less than one of its few
// retries; an impatient one has no time for it.
func Admit(pressure Pressure, timeout time.Duration, copies uint32, chance float64) Admission {
	load := pressure.Busy / max(pressure.Slots, 1)
	switch {
	case copies >= lastCopies:
		return Place
	case timeout >= patientTimeout && load >= waitLimit:
		return Wait
	case timeout < patientTimeout && chance < refuseChance*(load-refuseFrom)/(refuseTo-refuseFrom) && chance < refuseChance:
		return Refuse
	}
	return Place
}
