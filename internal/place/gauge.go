package place

// What is known of one backend server: own open flows, its report, and since when it is in
// its present state.

import (
	"sync/atomic"
	"time"

	"wigeonmoor.example/internal/config"
)

// Report is a backend server's own view of its load.
type Report struct {
	Open     uint32
	Healthy  bool
	Shedding bool
	At       time.Time
}

// Gauge counts what this balancer has placed on one backend server. Its counts
// outlive configurations.
type Gauge struct {
	open         atomic.Int64
	newInWindow  atomic.Int64
	window       atomic.Int64
	startedAt    time.Time
	leavingSince atomic.Int64
	// unhealthySince is when reports began to be unhealthy, zero while they are not.
	unhealthySince atomic.Int64
	report         atomic.Pointer[Report]
}

// LeavingSince returns when the backend server was first seen to be leaving.
func (g *Gauge) LeavingSince(now time.Time) time.Time {
	if at := g.leavingSince.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return now
}

// setState keeps the time at which the backend server began to leave.
func (g *Gauge) setState(state config.State) {
	if state != config.Leaving {
		g.leavingSince.Store(0)
		return
	}
	g.leavingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Open returns the number of owned open flows.
func (g *Gauge) Open() int64 {
	return g.open.Load()
}

// Add changes the number of owned open flows.
func (g *Gauge) Add(change int64) {
	g.open.Add(change)
}

// Report returns the newest load report, nil if there is none.
func (g *Gauge) Report() *Report {
	return g.report.Load()
}

// SetReport takes a load report unless a newer one is held.
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

// Dead reports whether fresh reports have said for longer than a span that the
// backend server is unhealthy.
func (g *Gauge) UnhealthyLongerThan(now time.Time, span time.Duration) bool {
	since := g.unhealthySince.Load()
	return since != 0 && g.freshReport(now) != nil && now.Sub(time.Unix(0, since)) > span
}

// fresh returns the report while it may be believed.
func (g *Gauge) freshReport(now time.Time) *Report {
	report := g.report.Load()
	if report == nil || now.Sub(report.At) > reportTTL {
		return nil
	}
	return report
}

// admit counts a new flow against the limit of one window.
func (g *Gauge) admitNew(now time.Time, limit int) bool {
	window := now.UnixNano() / int64(rateWindow)
	if g.window.Swap(window) != window {
		g.newInWindow.Store(0)
	}
	return g.newInWindow.Add(1) <= int64(limit) || limit == 0
}
