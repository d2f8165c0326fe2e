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
	// Wait drops the packet: the caller sends it again by itself, up to twice within
	// an attempt, and the flow is placed once there is room.
	Wait Admission = "Wait"
	// Refuse resets the flow, so that the caller decides at once what to do.
	Refuse Admission = "Refuse"
)

const (
	// waitLimit is the requests in progress for each slot above which first packets
	// wait. Servers queue four for a slot beside the one at work.
	waitLimit = 4.0
	// refuseLimit is the same for those that are refused. It is higher, as a refusal
	// uses up one of the caller's few retries, and the sum counts a flow twice for a
	// while after it has moved to another balancer.
	refuseLimit = 5.5
	// attemptSpan is how long a caller's attempt to open a flow lasts.
	attemptSpan = 1400 * time.Millisecond
	// attemptsToWait is how many attempts a caller's timeout must leave room for.
	attemptsToWait = 2
)

// Admit decides whether a flow is placed now. The load it answers: all balancers have
// been dark for seconds and all callers return at once, or half of the servers are
// gone. Placed beyond what servers queue, a request is refused there and has cost a
// place; the wait for a copy of the first packet costs the caller less, if there is
// time for it.
func Admit(pressure Pressure, timeout time.Duration) Admission {
	patient := timeout >= attemptsToWait*attemptSpan
	switch {
	case patient && pressure.Busy >= waitLimit*pressure.Slots:
		return Wait
	case !patient && pressure.Busy >= refuseLimit*pressure.Slots:
		return Refuse
	}
	return Place
}
