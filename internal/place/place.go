// Package place chooses backend servers for new flows.
//
// A flow goes to its slot's default unless that backend server has more than its
// share of the flows that this balancer owns, by a threshold; then it goes to the
// less loaded of two others and becomes an exception, which has to be
// replicated. The threshold follows the control budget: it rises while
// exceptions cost more than their part of it and falls while they cost less.
//
// A balancer counts its own flows only. Slots are spread over balancers at random,
// so parts that are even each add up to an even whole, without a byte of load
// exchanged. Backend servers' reports were rejected as the main measure: they
// lag, and every balancer that follows them picks the same server at once. They
// correct the choice where they can be trusted: a shedding or unhealthy server is
// avoided for as long as its report is fresh.
package place

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// Ratio is a share or excess, for example 0.02 for 2 %.
type Ratio float64

// Bounds of the threshold, and of trust in load reports.
const (
	minThreshold     Ratio = 0.002
	maxThreshold     Ratio = 1
	startThreshold   Ratio = 0.02
	thresholdRise    Ratio = 1.3
	thresholdFall    Ratio = 0.93
	reportLife             = 5 * time.Second
	rateWindow             = time.Second
	minRamp          Ratio = 0.05
	exceptionPortion       = 0.8
	lowPortion             = 0.65
)

// Reason says why a flow went where it did.
type Reason string

// The reasons of a placement.
const (
	ReasonDefault   Reason = "default"
	ReasonLoad      Reason = "default over its share"
	ReasonLeaving   Reason = "default is leaving"
	ReasonUnhealthy Reason = "default is unhealthy"
	ReasonShedding  Reason = "default sheds load"
	ReasonColdStart Reason = "default is starting"
	ReasonLimit     Reason = "default at its limit"
	ReasonNone      Reason = "no backend server is eligible"
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
	open      atomic.Int64
	rated     atomic.Int64
	window    atomic.Int64
	startedAt time.Time
	leavingAt atomic.Int64
	report    atomic.Pointer[Report]
}

// LeavingSince returns when the backend server was first seen to be leaving.
func (g *Gauge) LeavingSince(now time.Time) time.Time {
	if at := g.leavingAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return now
}

// setState keeps the time at which the backend server began to leave.
func (g *Gauge) setState(state config.State) {
	if state != config.Leaving {
		g.leavingAt.Store(0)
		return
	}
	g.leavingAt.CompareAndSwap(0, time.Now().UnixNano())
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
}

// fresh returns the report while it may be believed.
func (g *Gauge) fresh(now time.Time) *Report {
	report := g.report.Load()
	if report == nil || now.Sub(report.At) > reportLife {
		return nil
	}
	return report
}

// admit counts a new flow against the limit of one window.
func (g *Gauge) admit(now time.Time, limit int) bool {
	window := now.UnixNano() / int64(rateWindow)
	if g.window.Swap(window) != window {
		g.rated.Store(0)
	}
	return g.rated.Add(1) <= int64(limit) || limit == 0
}

// Placer chooses for one balancer. Choose may be called from any goroutine.
type Placer struct {
	mutex     sync.Mutex
	gauges    map[flow.BackendKey]*Gauge
	random    *rand.Rand
	threshold Ratio
	services  atomic.Pointer[gaugeTable]
	// HashOnly turns load-aware exceptions off, as the measured baseline.
	hashOnly bool
}

// gaugeTable lists the gauges of each service by backend index.
type gaugeTable struct {
	gauges map[flow.ServiceKey][]*Gauge
}

// Config sets a placer up.
type Config struct {
	Rand *rand.Rand
	// HashOnly places every flow on its default, as the baseline of measurements.
	HashOnly bool
}

// New returns a placer without services.
func New(settings Config) *Placer {
	p := &Placer{
		gauges:    make(map[flow.BackendKey]*Gauge),
		random:    settings.Rand,
		threshold: startThreshold,
		hashOnly:  settings.HashOnly,
	}
	p.services.Store(&gaugeTable{})
	return p
}

// SetConfig prepares the gauges of a configuration. The first configuration's
// backend servers are taken to be warm.
func (p *Placer) SetConfig(compiled *config.Compiled, first bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	table := &gaugeTable{gauges: make(map[flow.ServiceKey][]*Gauge, len(compiled.Services))}
	for _, service := range compiled.Services {
		row := make([]*Gauge, len(service.Backends))
		for index, backend := range service.Backends {
			gauge := p.gauges[backend.Key]
			if gauge == nil {
				gauge = &Gauge{}
				if !first {
					gauge.startedAt = time.Now()
				}
				p.gauges[backend.Key] = gauge
			}
			gauge.setState(backend.State)
			row[index] = gauge
		}
		table.gauges[service.Key] = row
	}
	p.services.Store(table)
}

// Gauge returns the gauge of a backend server, nil if it was never configured.
func (p *Placer) Gauge(key flow.BackendKey) *Gauge {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.gauges[key]
}

// GaugeOf returns the gauge of a service's backend server without locking.
func (p *Placer) GaugeOf(service *config.CompiledService, backend *config.CompiledBackend) *Gauge {
	row := p.services.Load().gauges[service.Key]
	if backend.Index >= len(row) {
		return p.Gauge(backend.Key)
	}
	return row[backend.Index]
}

// Threshold returns the excess from which a default is left.
func (p *Placer) Threshold() Ratio {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.threshold
}

// Adapt moves the threshold by the control bytes spent and allowed in a period.
func (p *Placer) Adapt(spent, allowed float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case spent > exceptionPortion*allowed:
		p.threshold = min(p.threshold*thresholdRise, maxThreshold)
	case spent < lowPortion*allowed:
		p.threshold = max(p.threshold*thresholdFall, minThreshold)
	}
}

// Request asks for the backend server of a new flow.
type Request struct {
	Service *config.CompiledService
	Default flow.BackendKey
	Flow    flow.ID
	// DefaultOnly keeps to the default while it is eligible at all, because
	// another balancer may have decided for the same flow.
	DefaultOnly bool
}

// Choice is the answer to a request. Backend is nil if nothing is eligible.
type Choice struct {
	Backend *config.CompiledBackend
	Reason  Reason
}

// Choose returns the backend server for a new flow.
func (p *Placer) Choose(request Request) Choice {
	now := time.Now()
	service := request.Service
	chosen := service.ByKey(request.Default)
	reason := p.objection(request, chosen, now)
	if reason == ReasonDefault {
		return Choice{chosen, ReasonDefault}
	}
	other := p.lessLoaded(request, chosen, now)
	if other != nil {
		return Choice{other, reason}
	}
	// An overloaded or starting default is better than no backend server.
	if reason == ReasonLoad || reason == ReasonColdStart || reason == ReasonShedding {
		return Choice{chosen, ReasonDefault}
	}
	return Choice{nil, ReasonNone}
}

// objection returns why a flow should not go to its default, or ReasonDefault.
func (p *Placer) objection(request Request, chosen *config.CompiledBackend, now time.Time) Reason {
	service := request.Service
	if chosen == nil || !service.Eligible(chosen.Key) {
		return ReasonLeaving
	}
	gauge := p.GaugeOf(service, chosen)
	report := gauge.fresh(now)
	if report != nil && !report.Healthy {
		return ReasonUnhealthy
	}
	if p.full(service, gauge) {
		return ReasonLimit
	}
	if request.DefaultOnly || p.hashOnly {
		return p.admitted(service, gauge, now)
	}
	if report != nil && report.Shedding {
		return ReasonShedding
	}
	if !p.ramped(service, gauge, request.Flow, now) {
		return ReasonColdStart
	}
	if p.overShare(service, chosen, gauge) {
		return ReasonLoad
	}
	return p.admitted(service, gauge, now)
}

func (p *Placer) full(service *config.CompiledService, gauge *Gauge) bool {
	limit := service.Limits.OpenFlows
	return limit > 0 && gauge.Open() >= int64(limit)
}

func (p *Placer) admitted(service *config.CompiledService, gauge *Gauge, now time.Time) Reason {
	if gauge.admit(now, service.Limits.NewPerSecond) {
		return ReasonDefault
	}
	return ReasonLimit
}

// ramped reports whether a starting backend server takes this flow. The share of
// flows that it takes grows evenly from minRamp to all of them.
func (p *Placer) ramped(service *config.CompiledService, gauge *Gauge, id flow.ID, now time.Time) bool {
	ramp := rampOf(service, gauge, now)
	const parts = 1 << 16
	return Ratio(uint64(id)%parts) < ramp*parts
}

func rampOf(service *config.CompiledService, gauge *Gauge, now time.Time) Ratio {
	if gauge.startedAt.IsZero() || service.ColdStart == 0 {
		return 1
	}
	age := now.Sub(gauge.startedAt)
	return min(1, max(minRamp, Ratio(age)/Ratio(service.ColdStart)))
}

// overShare compares a backend server with the mean of its service by weight.
func (p *Placer) overShare(service *config.CompiledService, chosen *config.CompiledBackend, gauge *Gauge) bool {
	row := p.services.Load().gauges[service.Key]
	var open, weight int64
	for _, target := range service.Targets() {
		backend := service.ByKey(target.Backend)
		open += row[backend.Index].Open()
		weight += int64(target.Weight)
	}
	share := Ratio(open) * Ratio(chosen.Weight) / Ratio(weight)
	// One flow over the mean is no imbalance, however small the mean is.
	return Ratio(gauge.Open()) > share*(1+p.Threshold())+1
}

// lessLoaded returns the less loaded of two random backend servers that can take
// a new flow, nil if there is none.
func (p *Placer) lessLoaded(request Request, except *config.CompiledBackend, now time.Time) *config.CompiledBackend {
	service := request.Service
	best := p.randomOpen(request, now, except, nil)
	if best == nil {
		return nil
	}
	second := p.randomOpen(request, now, except, best)
	if second != nil && p.load(service, second) < p.load(service, best) {
		best = second
	}
	if p.admitted(service, p.GaugeOf(service, best), now) != ReasonDefault {
		return nil
	}
	return best
}

// randomOpen returns the first backend server from a random place on that takes
// the flow and is neither of two given, nil if there is none.
func (p *Placer) randomOpen(request Request, now time.Time, except, other *config.CompiledBackend) *config.CompiledBackend {
	targets := request.Service.Targets()
	if len(targets) == 0 {
		return nil
	}
	start := p.randomIndex(len(targets))
	for offset := range targets {
		target := targets[(start+offset)%len(targets)]
		candidate := request.Service.ByKey(target.Backend)
		if candidate == except || candidate == other {
			continue
		}
		if p.open(request.Service, candidate, request.Flow, now) {
			return candidate
		}
	}
	return nil
}

// open reports whether a backend server takes flows whose default it is not.
func (p *Placer) open(service *config.CompiledService, candidate *config.CompiledBackend, id flow.ID, now time.Time) bool {
	gauge := p.GaugeOf(service, candidate)
	if report := gauge.fresh(now); report != nil && (!report.Healthy || report.Shedding) {
		return false
	}
	return !p.full(service, gauge) && p.ramped(service, gauge, id, now)
}

func (p *Placer) load(service *config.CompiledService, backend *config.CompiledBackend) Ratio {
	return Ratio(p.GaugeOf(service, backend).Open()) / Ratio(backend.Weight)
}

func (p *Placer) randomIndex(count int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(count)
}
