package soak

// The rules that a run must satisfy, checked on the history of what callers and backend
// servers observed. Time limits apply only while no unplanned step has been in progress for
// stableWindow. Safety rules, such as that a request runs at most once, always apply.

import (
	"errors"
	"fmt"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform/stand"
	"wigeonmoor.example/wigeonlab/internal/router"
)

// The time limits that deployments set.
const (
	// stableWindow is how long a run must be free of unplanned steps before a time limit
	// applies.
	stableWindow = 4 * time.Second
	// drainPropagationLimit is the time after which a draining server must not receive new
	// flows.
	drainPropagationLimit = 3 * time.Second
	// configPropagationLimit is the time after which all balancers must apply a new
	// configuration.
	configPropagationLimit = 3 * time.Second
	// evacuationLimit is the time after which the servers of an evacuated failure domain must
	// not receive new flows.
	evacuationLimit = 5 * time.Second
	// maxExitDuration is how long a balancer may take to exit after a signal.
	maxExitDuration = 6 * time.Second
)

// Call is an operation of a caller: it opened a flow, or sent a request on one.
type Call struct {
	Started, Ended time.Time
	// Listen is the route's address.
	Listen state.Endpoint
	// Server is the flow's backend server, empty if it is not known.
	Server string
	// Opening is set if the call opened a flow. Request is empty then.
	Opening bool
	Request string
	// Err is nil if the call was answered.
	Err error
}

// StepRecord is a step that was performed. To is zero while the step is in progress.
type StepRecord struct {
	From, To    time.Time
	Description string
	// Server is the backend server that the step affects, empty if it affects anything
	// else.
	Server string
	// Planned is set if the step must not affect callers.
	Planned bool
}

// ServerRecord is the history of a backend server. DrainStarted and Ended are zero if that has
// not happened.
type ServerRecord struct {
	Name, Service       string
	Domain              string
	DrainStarted, Ended time.Time
	// MisroutedPackets counts received packets that were for another server.
	// ExemptPackets counts those of them that no balancer could have avoided.
	MisroutedPackets, ExemptPackets int64
}

// Route is the history of a route. Dropped is zero while the route is published.
type Route struct {
	Listen         state.Endpoint
	Service        string
	Added, Dropped time.Time
}

// Evacuation is the evacuation of a failure domain. To is zero while it is in force.
type Evacuation struct {
	Domain   string
	From, To time.Time
}

// Exit is the exit of a balancer process.
type Exit struct {
	Process string
	// Expected is set if the process had been sent a signal to exit. Duration is the time
	// since then.
	Expected bool
	Duration time.Duration
}

// History is everything that was observed in a run.
type History struct {
	Calls    []Call
	Arrivals []stand.Arrival
	Steps    []StepRecord
	Servers  []ServerRecord
	Routes   []Route
	Exits    []Exit
	// Evacuations are in the order of their times.
	Evacuations []Evacuation
	// RevertedLines are the log lines in which balancers report a configuration version
	// lower than the previous one.
	RevertedLines []string
}

// Violation is a rule that was broken.
type Violation struct {
	// At is zero if the time is not known.
	At   time.Time
	Rule string
	Text string
}

// Check returns all violations of the rules. The history is not modified.
func Check(history *History) []Violation {
	c := &checker{History: history, serverByName: make(map[string]*ServerRecord), routeByAddress: make(map[state.Endpoint]*Route)}
	for index := range history.Servers {
		c.serverByName[history.Servers[index].Name] = &history.Servers[index]
	}
	for index := range history.Routes {
		c.routeByAddress[history.Routes[index].Listen] = &history.Routes[index]
	}
	c.checkArrivals()
	for index := range history.Calls {
		c.checkCall(&history.Calls[index])
	}
	c.checkProcesses()
	return c.violations
}

// checker checks a history and collects the violations.
type checker struct {
	*History
	serverByName   map[string]*ServerRecord
	routeByAddress map[state.Endpoint]*Route
	violations     []Violation
}

func (c *checker) addViolation(at time.Time, rule, format string, values ...any) {
	c.violations = append(c.violations, Violation{At: at, Rule: rule, Text: fmt.Sprintf(format, values...)})
}

// checkArrivals checks the packets and requests that backend servers received.
func (c *checker) checkArrivals() {
	serverByRequest := make(map[string]string)
	for index := range c.Arrivals {
		arrival := &c.Arrivals[index]
		server, route := c.serverByName[arrival.Server], c.routeByAddress[arrival.Listen]
		if route == nil || route.Service != server.Service {
			c.addViolation(arrival.At, "separation", "%s of service %s received a packet for route %s", arrival.Server, server.Service, arrival.Listen)
			continue
		}
		if arrival.Request != "" {
			if earlier, ok := serverByRequest[arrival.Request]; ok {
				c.addViolation(arrival.At, "once", "%q ran on %s and on %s", arrival.Request, earlier, arrival.Server)
			}
			serverByRequest[arrival.Request] = arrival.Server
		}
		if arrival.First && arrival.Retransmits == 0 {
			c.checkNewFlow(arrival, server, route)
		}
	}
	for index := range c.Servers {
		if server := &c.Servers[index]; server.MisroutedPackets > server.ExemptPackets {
			c.addViolation(server.Ended, "separation", "%d packets for other servers reached %s", server.MisroutedPackets-server.ExemptPackets, server.Name)
		}
	}
}

// checkNewFlow checks a first packet that is not a retransmission.
func (c *checker) checkNewFlow(arrival *stand.Arrival, server *ServerRecord, route *Route) {
	if drainStarted := server.DrainStarted; !drainStarted.IsZero() && arrival.At.Sub(drainStarted) > drainPropagationLimit && c.undisturbed(drainStarted, arrival.At, "") {
		c.addViolation(arrival.At, "drain", "%s received a new flow %s after it started draining", arrival.Server, arrival.At.Sub(drainStarted))
	}
	for _, e := range c.Evacuations {
		during := arrival.At.Sub(e.From) > evacuationLimit && (e.To.IsZero() || arrival.At.Before(e.To))
		if e.Domain == server.Domain && during && c.undisturbed(e.From, arrival.At, "") {
			c.addViolation(arrival.At, "evacuation", "%s received a new flow %s after %s was evacuated", arrival.Server, arrival.At.Sub(e.From), e.Domain)
		}
	}
	if !route.Dropped.IsZero() && arrival.At.Sub(route.Dropped) > configPropagationLimit && c.undisturbed(route.Dropped, arrival.At, "") {
		c.addViolation(arrival.At, "configuration", "a server received a new flow for route %s, which was dropped %s earlier", arrival.Listen, arrival.At.Sub(route.Dropped))
	}
}

// checkCall checks a caller's failed call.
func (c *checker) checkCall(call *Call) {
	route := c.routeByAddress[call.Listen]
	dropped := !route.Dropped.IsZero() && route.Dropped.Before(call.Ended)
	switch {
	case call.Err == nil || errors.Is(call.Err, router.ErrClosed):
		return
	case errors.Is(call.Err, router.ErrWrongAnswer):
		c.addViolation(call.Ended, "answer", "%v", call.Err)
		return
	case dropped:
		return
	}
	routePropagated := call.Started.Sub(route.Added) > configPropagationLimit
	if call.Opening {
		if routePropagated && c.undisturbed(call.Started, call.Ended, "") {
			c.addViolation(call.Ended, "open", "no flow could be opened to %s: %v", call.Listen, call.Err)
		}
		return
	}
	server := c.serverByName[call.Server]
	if server == nil {
		// No request of this flow was answered, so that its server is not known. The
		// failure is a violation if no server was affected by an unplanned step.
		if c.undisturbed(call.Started, call.Ended, "") {
			c.addViolation(call.Ended, "flow", "%q: %v", call.Request, call.Err)
		}
		return
	}
	running := server.Ended.IsZero() || server.Ended.After(call.Ended)
	if errors.Is(call.Err, router.ErrResetByBalancer) && running && c.serverUndisturbed(call) {
		c.addViolation(call.Ended, "flow", "%q: reset while %s is running", call.Request, call.Server)
	} else if running && c.undisturbed(call.Started, call.Ended, call.Server) {
		c.addViolation(call.Ended, "flow", "%q to %s: %v", call.Request, call.Server, call.Err)
	}
}

// serverUndisturbed reports whether no unplanned step affected the call's server, or the link
// to it, during the call or within stableWindow before it.
func (c *checker) serverUndisturbed(call *Call) bool {
	for index := range c.Steps {
		step := &c.Steps[index]
		if step.Server == call.Server && !step.Planned && step.overlaps(call.Started.Add(-stableWindow), call.Ended) {
			return false
		}
	}
	return true
}

// undisturbed reports whether no unplanned step was in progress between two times or within
// stableWindow before. If server is not empty, steps that affect only other servers are
// ignored.
func (c *checker) undisturbed(from, to time.Time, server string) bool {
	for index := range c.Steps {
		step := &c.Steps[index]
		elsewhere := server != "" && step.Server != "" && step.Server != server
		if !step.Planned && !elsewhere && step.overlaps(from.Add(-stableWindow), to) {
			return false
		}
	}
	return true
}

// overlaps reports whether the step was in progress at any time between from and to.
func (s *StepRecord) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// checkProcesses checks the exits and the log lines of the balancer processes.
func (c *checker) checkProcesses() {
	for _, exit := range c.Exits {
		switch {
		case !exit.Expected:
			c.addViolation(time.Time{}, "process", "%s exited without a signal", exit.Process)
		case exit.Duration > maxExitDuration:
			c.addViolation(time.Time{}, "process", "%s took %s to exit after a signal", exit.Process, exit.Duration)
		}
	}
	for _, line := range c.RevertedLines {
		c.addViolation(time.Time{}, "configuration", "reverted to an older version: %s", line)
	}
}
