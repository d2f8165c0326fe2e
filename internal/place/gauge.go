package place

// The state of one backend server: the balancer's open flows on it, its load report, and the
// times of its last state changes.

import (
	"sync/atomic"
	"time"

	"wigeonmoor.example/internal/config"
)

// Report is a load report of a backend server. A server that repeatedly fails to answer its
// prober gets an unhealthy report. Open is the number of flows that the server reports as
// open.
type Report struct {
	Open     uint32
	Healthy  bool
	Shedding bool
	// At is the time of the report.
	At time.Time
}

// Gauge holds the state of one backend server, such as the number of flows that this
// balancer has open on it. It is kept when the configuration changes.
type Gauge struct {
	open atomic.Int64
	// newInWindow is the number of new flows in the rate window with the number window.
	newInWindow atomic.Int64
	window      atomic.Int64
	// startedAt is the time at which the server was added, zero if it is in the balancer's
	// first configuration.
	startedAt time.Time
	// leavingSince is the time from which the server has been leaving, in Unix nanoseconds,
	// zero if it is not leaving.
	leavingSince atomic.Int64
	// unhealthySince is the time of the first in a series of unhealthy reports, in Unix
	// nanoseconds, zero if the last report was healthy.
	unhealthySince atomic.Int64
	report         atomic.Pointer[Report]
}

// LeavingSince returns the time at which a configuration first marked the backend server as
// leaving, or now if it is not leaving.
func (g *Gauge) LeavingSince(now time.Time) time.Time {
	if at := g.leavingSince.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return now
}

// setState records the time at which the backend server began to leave.
func (g *Gauge) setState(state config.State) {
	if state != config.Leaving {
		g.leavingSince.Store(0)
		return
	}
	g.leavingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Open returns the number of open flows that this balancer owns.
func (g *Gauge) Open() int64 {
	return g.open.Load()
}

// Add adds change to the number of open flows that this balancer owns.
func (g *Gauge) Add(change int64) {
	g.open.Add(change)
}

// Report returns the latest load report, or nil if there is none.
func (g *Gauge) Report() *Report {
	return g.report.Load()
}

// SetReport stores a load report unless a newer one is known.
func (g *Gauge) SetReport(report Report) {
	if held := g.report.Load(); held != nil && held.At.After(report.At) {
		return
	}
	g.report.Store(&report)
	if report.Healthy {
		g.unhealthySince.Store(0)
		return
	}
	g.unhealthySince.CompareAndSwap(0, report.At.UnixNano())
}

// UnhealthyLongerThan reports whether the backend server has reported to be unhealthy for
// longer than span and its last report has not expired.
func (g *Gauge) UnhealthyLongerThan(now time.Time, span time.Duration) bool {
	since := g.unhealthySince.Load()
	return since != 0 && g.freshReport(now) != nil && now.Sub(time.Unix(0, since)) > span
}

// freshReport returns the load report, or nil if there is none or it has expired.
func (g *Gauge) freshReport(now time.Time) *Report {
	report := g.report.Load()
	if report == nil || now.Sub(report.At) > reportTTL {
		return nil
	}
	return report
}

// admitNew counts a new flow in the current rate window and reports whether it is within
// the limit. A limit of 0 means no limit.
func (g *Gauge) admitNew(now time.Time, limit int) bool {
	window := now.UnixNano() / int64(rateWindow)
	if g.window.Swap(window) != window {
		g.newInWindow.Store(0)
	}
	return g.newInWindow.Add(1) <= int64(limit) || limit == 0
}
