// Package place chooses backend servers for new flows.
//
// A flow goes to its slot's default unless that backend server has more than its
// share of open flows. Then the flow leaves the default with a probability of the
// excess times a gain, for the less loaded of two others, and becomes an
// exception, which has to be replicated. The gain follows the control budget.
//
// Load is what all balancers of the fabric have open: the own flows as they are,
// the others' as they were told up to a quarter of a second ago. Leaving the
// default whenever it is over its share was rejected: all balancers act on the
// same old numbers, and the backend server swings between too much and too
// little. The gain is therefore also bounded by the mean life of a flow over the
// age of the numbers. Where telling counts is too dear, as with a thousand backend
// servers, a balancer goes by its own flows: slots are spread at random, so even
// parts add up to an even whole.
//
// Backend servers' own reports were rejected as the measure of load: they lag by
// seconds. They do keep flows from a backend server that reports shedding or
// being unhealthy, for as long as the report is fresh.
package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// Ratio is a share or excess, for example 0.02 for 2 %.
type Ratio float64

// Bounds of the gain, and of trust in reports and counts.
const (
	minGain     Ratio = 0.25
	maxGain     Ratio = 60
	startGain   Ratio = 5
	gainRise    Ratio = 1.07
	gainFall    Ratio = 0.8
	reportLife        = 5 * time.Second
	othersLife        = 3 * time.Second
	rateWindow        = time.Second
	minRamp     Ratio = 0.05
	highPortion       = 0.95
	lowPortion        = 0.8
	closeSmooth       = 0.2
	// gainBound times mean life over the counts' age is the most gain that does not
	// make loads swing.
	gainBound Ratio = 1.4
	// followShare is how far the change of the own flows since they were last told
	// is taken to be everybody's.
	followShare Ratio = 0.15
	// minMean is the mean below which a difference of one flow is no imbalance.
	minMean Ratio = 4
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

// Placer chooses for one balancer. Choose may be called from any goroutine.
type Placer struct {
	mutex    sync.Mutex
	gauges   map[flow.BackendKey]*Gauge
	random   *rand.Rand
	services atomic.Pointer[gaugeTable]
	others   atomic.Pointer[others]
	// gain is a Ratio's bits, hashOnly turns exceptions for load off.
	gain     atomic.Uint64
	hashOnly bool
	budget   Ratio
	closed   atomic.Int64
	closing  float64
}

// others is what the other balancers have open, by service and backend index.
type others struct {
	at        time.Time
	balancers int
	open      map[flow.ServiceKey][]int64
	told      map[flow.ServiceKey][]int64
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
		gauges:   make(map[flow.BackendKey]*Gauge),
		random:   settings.Rand,
		hashOnly: settings.HashOnly,
		budget:   startGain,
	}
	p.setGain(startGain)
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

// Gain returns the factor between a default's excess and the probability that a
// new flow leaves it.
func (p *Placer) Gain() Ratio {
	return Ratio(math.Float64frombits(p.gain.Load()))
}

func (p *Placer) setGain(gain Ratio) {
	p.gain.Store(math.Float64bits(float64(gain)))
}

// Closed counts a flow that has ended, from which the mean life follows.
func (p *Placer) Closed() {
	p.closed.Add(1)
}

// Adapt moves the gain by the control bytes spent and allowed in a second. Age is
// how old the others' counts get, zero if they are not told.
func (p *Placer) Adapt(spent, allowed float64, age time.Duration) {
	switch {
	case spent > highPortion*allowed:
		p.budget = max(p.budget*gainFall, minGain)
	case spent < lowPortion*allowed:
		p.budget = min(p.budget*gainRise, maxGain)
	}
	p.closing += closeSmooth * (float64(p.closed.Swap(0)) - p.closing)
	gain := p.budget
	if age > 0 && p.closing > 0 {
		life := float64(p.openFlows()) / p.closing
		gain = min(gain, max(minGain, gainBound*Ratio(life/age.Seconds())))
	}
	p.setGain(gain)
}

func (p *Placer) openFlows() int64 {
	var open int64
	for _, row := range p.services.Load().gauges {
		for _, gauge := range row {
			open += gauge.Open()
		}
	}
	return open
}

// Open returns the own open flows of a service by backend index.
func (p *Placer) Open(service *config.CompiledService) []int64 {
	row := p.services.Load().gauges[service.Key]
	open := make([]int64, len(row))
	for index, gauge := range row {
		open[index] = gauge.Open()
	}
	return open
}

// SetOthers takes what other balancers have open, and what this one told them.
func (p *Placer) SetOthers(balancers int, open, told map[flow.ServiceKey][]int64) {
	p.others.Store(&others{at: time.Now(), balancers: balancers, open: open, told: told})
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
	other := p.lessLoaded(request, chosen, reason, now)
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
	if p.overShare(service, chosen, now) {
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
