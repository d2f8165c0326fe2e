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
	minGain            Ratio = 0.25
	maxGain            Ratio = 60
	initialGain        Ratio = 5
	gainIncrease       Ratio = 1.07
	gainDecrease       Ratio = 0.8
	reportTTL                = 5 * time.Second
	othersTTL                = 3 * time.Second
	rateWindow               = time.Second
	minRampShare       Ratio = 0.05
	highBudgetUse            = 0.95
	lowBudgetUse             = 0.8
	closeRateSmoothing       = 0.2
	// maxGainFactor times mean life over the counts' age is the most gain that does not
	// make loads swing.
	maxGainFactor Ratio = 1.4
	// ownChangeWeight is how far the change of the own flows since they were last told
	// is taken to be everybody's.
	ownChangeWeight Ratio = 0.15
	// minMeanFlows is the mean below which a difference of one flow is no imbalance.
	minMeanFlows Ratio = 4
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
	mutex       sync.Mutex
	gauges      map[flow.BackendKey]*Gauge
	random      *rand.Rand
	gaugeTables atomic.Pointer[gaugeTable]
	others      atomic.Pointer[otherCounts]
	// gain is a Ratio's bits, hashOnly turns exceptions for load off.
	gain        atomic.Uint64
	hashOnly    bool
	budgetGain  Ratio
	closedFlows atomic.Int64
	closeRate   float64
}

// others is what the other balancers have open, by service and backend index.
type otherCounts struct {
	receivedAt time.Time
	balancers  int
	open       map[flow.ServiceKey][]int64
	ownSent    map[flow.ServiceKey][]int64
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
		gauges:     make(map[flow.BackendKey]*Gauge),
		random:     settings.Rand,
		hashOnly:   settings.HashOnly,
		budgetGain: initialGain,
	}
	p.setGain(initialGain)
	p.gaugeTables.Store(&gaugeTable{})
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
	p.gaugeTables.Store(table)
}

// Gauge returns the gauge of a backend server, nil if it was never configured.
func (p *Placer) Gauge(key flow.BackendKey) *Gauge {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.gauges[key]
}

// GaugeOf returns the gauge of a service's backend server without locking.
func (p *Placer) GaugeOf(service *config.CompiledService, backend *config.CompiledBackend) *Gauge {
	row := p.gaugeTables.Load().gauges[service.Key]
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
func (p *Placer) CountClosed() {
	p.closedFlows.Add(1)
}

// Adapt moves the gain by the control bytes spent and allowed in a second. Age is
// how old the others' counts get, zero if they are not told.
func (p *Placer) AdjustGain(spent, allowed float64, countsAge time.Duration) {
	switch {
	case spent > highBudgetUse*allowed:
		p.budgetGain = max(p.budgetGain*gainDecrease, minGain)
	case spent < lowBudgetUse*allowed:
		p.budgetGain = min(p.budgetGain*gainIncrease, maxGain)
	}
	p.closeRate += closeRateSmoothing * (float64(p.closedFlows.Swap(0)) - p.closeRate)
	gain := p.budgetGain
	if countsAge > 0 && p.closeRate > 0 {
		meanLifetime := float64(p.totalOpenFlows()) / p.closeRate
		gain = min(gain, max(minGain, maxGainFactor*Ratio(meanLifetime/countsAge.Seconds())))
	}
	p.setGain(gain)
}

func (p *Placer) totalOpenFlows() int64 {
	var open int64
	for _, row := range p.gaugeTables.Load().gauges {
		for _, gauge := range row {
			open += gauge.Open()
		}
	}
	return open
}

// Open returns the own open flows of a service by backend index.
func (p *Placer) Open(service *config.CompiledService) []int64 {
	row := p.gaugeTables.Load().gauges[service.Key]
	open := make([]int64, len(row))
	for index, gauge := range row {
		open[index] = gauge.Open()
	}
	return open
}

// SetOtherCounts takes what other balancers have open, and what this one told them.
func (p *Placer) SetOtherCounts(balancers int, open, ownSent map[flow.ServiceKey][]int64) {
	p.others.Store(&otherCounts{receivedAt: time.Now(), balancers: balancers, open: open, ownSent: ownSent})
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
	reason := p.defaultObjection(request, chosen, now)
	if reason == ReasonDefault {
		return Choice{chosen, ReasonDefault}
	}
	other := p.chooseLessLoaded(request, chosen, reason, now)
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
func (p *Placer) defaultObjection(request Request, chosen *config.CompiledBackend, now time.Time) Reason {
	service := request.Service
	if chosen == nil || !service.Eligible(chosen.Key) {
		return ReasonLeaving
	}
	gauge := p.GaugeOf(service, chosen)
	report := gauge.freshReport(now)
	if report != nil && !report.Healthy {
		return ReasonUnhealthy
	}
	if p.atLimit(service, gauge) {
		return ReasonLimit
	}
	if request.DefaultOnly || p.hashOnly {
		return p.admit(service, gauge, now)
	}
	if report != nil && report.Shedding {
		return ReasonShedding
	}
	if !p.inRampShare(service, gauge, request.Flow, now) {
		return ReasonColdStart
	}
	if p.leavesForLoad(service, chosen, now) {
		return ReasonLoad
	}
	return p.admit(service, gauge, now)
}

func (p *Placer) atLimit(service *config.CompiledService, gauge *Gauge) bool {
	limit := service.Limits.OpenFlows
	return limit > 0 && gauge.Open() >= int64(limit)
}

func (p *Placer) admit(service *config.CompiledService, gauge *Gauge, now time.Time) Reason {
	if gauge.admitNew(now, service.Limits.NewPerSecond) {
		return ReasonDefault
	}
	return ReasonLimit
}

// ramped reports whether a starting backend server takes this flow. The share of
// flows that it takes grows evenly from minRampShare to all of them.
func (p *Placer) inRampShare(service *config.CompiledService, gauge *Gauge, id flow.ID, now time.Time) bool {
	share := rampShare(service, gauge, now)
	const parts = 1 << 16
	return Ratio(uint64(id)%parts) < share*parts
}

func rampShare(service *config.CompiledService, gauge *Gauge, now time.Time) Ratio {
	if gauge.startedAt.IsZero() || service.ColdStart == 0 {
		return 1
	}
	age := now.Sub(gauge.startedAt)
	return min(1, max(minRampShare, Ratio(age)/Ratio(service.ColdStart)))
}
