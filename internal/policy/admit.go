package policy

import "time"

// Pressure is the load of a service at the moment a flow is to be placed.
type Pressure struct {
	// Slots and Busy are sums over the servers that may get the flow.
	Slots, Busy float64
}

const (
	// patientLimit is the requests in progress for each slot above which first
	// packets wait, where the route's timeout leaves time for it. Servers queue four
	// for a slot beside the one at work.
	patientLimit = 4.0
	// hurriedLimit is the same for other routes. It is higher, as the sum counts a
	// flow twice for a while after it has moved to another balancer.
	hurriedLimit = 5.5
	// patientTimeout is two attempts of a caller to open a flow, of 1.4 s each.
	patientTimeout = 2800 * time.Millisecond
	// lastCopies are the copies of a first packet at which a flow is placed in any
	// case, 600 ms after the first one. So a load that is taken for higher than it is
	// delays callers and never shuts them out.
	lastCopies = 2
)

// Admit reports whether a flow is placed now. Otherwise its first packet is dropped:
// the caller sends it again by itself within the same attempt.
//
// The load it answers: all balancers have been dark for seconds and all callers return
// at once, or half of the servers are gone. Placed beyond what servers queue, a request
// is refused there, which uses up one of its caller's few retries. A reset instead of
// the drop was tried, and uses them up as well.
func Admit(pressure Pressure, timeout time.Duration, copies uint32) bool {
	limit := hurriedLimit
	if timeout >= patientTimeout {
		limit = patientLimit
	}
	return copies >= lastCopies || pressure.Busy < limit*pressure.Slots
}
