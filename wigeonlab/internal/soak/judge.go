package soak

// What must hold, judged from what callers and backend servers saw. Bounds of time hold
// while nothing unplanned has happened for a while; what must never happen holds always.

import (
	"errors"
	"fmt"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform/stand"
	"wigeonmoor.example/wigeonlab/internal/router"
)

// The users' bounds, as in their site files.
const (
	// calmSpan is how long nothing unplanned may have happened where a bound is judged.
	calmSpan = 4 * time.Second
	// drainBound is when a leaving server gets no new flows any longer.
	drainBound = 3 * time.Second
	// routeBound is when a new configuration is in force.
	routeBound = 3 * time.Second
	// graceBound is when a terminated balancer must have ended.
	graceBound = 6 * time.Second
)

// Call is one thing that a caller did: it opened a flow, or made a request on it.
type Call struct {
	Began, Ended time.Time
	Listen       state.Endpoint
	// Server is the flow's, if it is known.
	Server  string
	Opening bool
	Request string
	// Err is nil for an answer.
	Err error
}

// Span is something that went on for a while; To is zero while it does.
type Span struct {
	From, To time.Time
	What     string
	// Server is the backend server that suffered, empty for all else.
	Server string
	// Planned work must not be noticed by callers.
	Planned bool
}

// Life is a backend server's.
type Life struct {
	Name, Service  string
	Drained, Ended time.Time
	Strangers      int64
}

// Route is a route's publication.
type Route struct {
	Listen         state.Endpoint
	Service        string
	Added, Dropped time.Time
}

// Exit is the end of a process.
type Exit struct {
	Process string
	// Expected is false if nobody had ended it.
	Expected bool
	Took     time.Duration
}

// History is all that was seen in a run.
type History struct {
	Calls    []Call
	Arrivals []stand.Arrival
	Spans    []Span
	Lives    []Life
	Routes   []Route
	Exits    []Exit
	// Reverted holds log lines of processes that went back to an older version.
	Reverted []string
}

// Violation is a broken promise.
type Violation struct {
	At   time.Time
	Rule string
	Text string
}

// Judge returns all broken promises.
func Judge(h *History) []Violation {
	j := &judge{History: h, lives: make(map[string]*Life), routes: make(map[state.Endpoint]*Route)}
	for index := range h.Lives {
		j.lives[h.Lives[index].Name] = &h.Lives[index]
	}
	for index := range h.Routes {
		j.routes[h.Routes[index].Listen] = &h.Routes[index]
	}
	j.judgeArrivals()
	for index := range h.Calls {
		j.judgeCall(&h.Calls[index])
	}
	j.judgeProcesses()
	return j.found
}

type judge struct {
	*History
	lives  map[string]*Life
	routes map[state.Endpoint]*Route
	found  []Violation
}

func (j *judge) add(at time.Time, rule, format string, values ...any) {
	j.found = append(j.found, Violation{At: at, Rule: rule, Text: fmt.Sprintf(format, values...)})
}

// judgeArrivals looks at what backend servers took.
func (j *judge) judgeArrivals() {
	ran := make(map[string]string)
	for index := range j.Arrivals {
		a := &j.Arrivals[index]
		life, route := j.lives[a.Server], j.routes[a.Listen]
		if route == nil || route.Service != life.Service {
			j.add(a.At, "separation", "%s of %s got a packet for %s", a.Server, life.Service, a.Listen)
			continue
		}
		if a.Request != "" {
			if other, ok := ran[a.Request]; ok {
				j.add(a.At, "once", "%q ran at %s and at %s", a.Request, other, a.Server)
			}
			ran[a.Request] = a.Server
		}
		if a.First && a.Retransmits == 0 {
			j.judgeFirst(a, life, route)
		}
	}
	for index := range j.Lives {
		if life := &j.Lives[index]; life.Strangers > 0 {
			j.add(life.Ended, "separation", "%d packets for other servers reached %s", life.Strangers, life.Name)
		}
	}
}

// judgeFirst looks at a first packet that a server took.
func (j *judge) judgeFirst(a *stand.Arrival, life *Life, route *Route) {
	if left := life.Drained; !left.IsZero() && a.At.Sub(left) > drainBound && j.calm(left, a.At, "") {
		j.add(a.At, "drain", "%s got a new flow %s after it was leaving", a.Server, a.At.Sub(left))
	}
	if !route.Dropped.IsZero() && a.At.Sub(route.Dropped) > routeBound && j.calm(route.Dropped, a.At, "") {
		j.add(a.At, "configuration", "a new flow for %s, dropped %s ago", a.Listen, a.At.Sub(route.Dropped))
	}
}

// judgeCall looks at what a caller got.
func (j *judge) judgeCall(c *Call) {
	route := j.routes[c.Listen]
	dropped := !route.Dropped.IsZero() && route.Dropped.Before(c.Ended)
	switch {
	case c.Err == nil || errors.Is(c.Err, router.ErrClosed):
		return
	case errors.Is(c.Err, router.ErrMixed):
		j.add(c.Ended, "answer", "%v", c.Err)
		return
	case dropped:
		return
	}
	added := c.Began.Sub(route.Added) > routeBound
	if c.Opening {
		if added && j.calm(c.Began, c.Ended, "") {
			j.add(c.Ended, "open", "no flow to %s: %v", c.Listen, c.Err)
		}
		return
	}
	life := j.lives[c.Server]
	if life == nil {
		// The flow's server is not known, as it never answered. It is judged by
		// whether all was calm.
		if j.calm(c.Began, c.Ended, "") {
			j.add(c.Ended, "flow", "%q: %v", c.Request, c.Err)
		}
		return
	}
	lives := life.Ended.IsZero() || life.Ended.After(c.Ended)
	if errors.Is(c.Err, router.ErrResetByBalancer) && lives && j.unharmed(c) {
		j.add(c.Ended, "flow", "%q: reset while %s lives", c.Request, c.Server)
	} else if lives && j.calm(c.Began, c.Ended, c.Server) {
		j.add(c.Ended, "flow", "%q of %s: %v", c.Request, c.Server, c.Err)
	}
}

// unharmed reports whether nothing unplanned has happened to a call's server or the way
// to it.
func (j *judge) unharmed(c *Call) bool {
	for index := range j.Spans {
		s := &j.Spans[index]
		if s.Server == c.Server && !s.Planned && s.overlaps(c.Began.Add(-calmSpan), c.Ended) {
			return false
		}
	}
	return true
}

// calm reports whether nothing unplanned went on between two times, or shortly before.
// Harm to other servers than the one named does not count.
func (j *judge) calm(from, to time.Time, server string) bool {
	for index := range j.Spans {
		s := &j.Spans[index]
		elsewhere := server != "" && s.Server != "" && s.Server != server
		if !s.Planned && !elsewhere && s.overlaps(from.Add(-calmSpan), to) {
			return false
		}
	}
	return true
}

func (s *Span) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

func (j *judge) judgeProcesses() {
	for _, e := range j.Exits {
		switch {
		case !e.Expected:
			j.add(time.Time{}, "process", "%s ended by itself", e.Process)
		case e.Took > graceBound:
			j.add(time.Time{}, "process", "%s took %s to leave", e.Process, e.Took)
		}
	}
	for _, line := range j.Reverted {
		j.add(time.Time{}, "configuration", "went back to an older version: %s", line)
	}
}
