// Package place chooses backend servers for new flows.
//
// A flow is placed on its slot's default backend server unless that server has more
// than its share of open flows. In that case the flow is diverted with a probability
// of the relative excess times a gain: it is placed on the less loaded of two random
// servers and becomes an exception, which has to be replicated. The gain is adjusted
// to keep the replication traffic within the control budget.
//
// The load of a server is the number of flows that all balancers of the fabric have
// open on it. A balancer's own count is current; the counts of the others are up to
// 250 ms old. Diverting every flow whose default is over its share was rejected: all
// balancers act on the same outdated counts, so that the server's load oscillates.
// The gain is therefore also bounded by the mean lifetime of a flow divided by the age
// of the counts. If exchanging counts is too expensive, as with a thousand backend
// servers, a balancer uses only its own counts. Slots are distributed over balancers at
// random, so if each balancer spreads its flows evenly, the total is even as well.
//
// The load reports of backend servers were rejected as a measure of load because they
// are several seconds old. A recent report that a server is shedding load or unhealthy
// does keep new flows away from it.
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

// Ratio is a share, an excess or a factor, for example 0.02 for 2 %.
type Ratio float64

// Parameters of the gain, and limits for the use of reports and counts.
const (
	minGain      Ratio = 0.25
	maxGain      Ratio = 60
	initialGain  Ratio = 5
	gainIncrease Ratio = 1.07
	gainDecrease Ratio = 0.8
	// reportTTL and othersTTL are the times after which backend servers' load reports and
	// other balancers' open-flow counts are ignored.
	reportTTL = 5 * time.Second
	othersTTL = 3 * time.Second
	// rateWindow is the window for the limit on new flows per second.
	rateWindow = time.Second
	// minRampShare is the share of flows that a server gets right after its start.
	minRampShare Ratio = 0.05
	// The gain decreases if more than highBudgetUse of the control budget is spent, and
	// increases if less than lowBudgetUse is spent.
	highBudgetUse = 0.95
	lowBudgetUse  = 0.8
	// closeRateSmoothing is the weight of the newest value in the moving average of the
	// rate at which flows close.
	closeRateSmoothing = 0.2
	// maxGainFactor, multiplied by the mean lifetime of a flow and divided by the age of
	// the counts, is the greatest gain at which loads do not oscillate.
	maxGainFactor Ratio = 1.4
	// ownChangeWeight is the weight with which the change of the balancer's own count
	// since it was last sent is extrapolated to the other balancers.
	ownChangeWeight Ratio = 0.15
	// minMeanFlows is the least share of open flows by which an excess is divided. With
	// fewer flows, a difference of one flow is not an imbalance.
	minMeanFlows Ratio = 4
)

// Reason is the reason for the placement of a flow.
type Reason string

// The values of Reason. ReasonDefault stands for a flow that is placed on its default
// backend server, ReasonNone for one that cannot be placed. The others say why a flow is
// placed on another server.
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

// Placer chooses backend servers for one balancer. Choose is safe for concurrent use.
type Placer struct {
	mutex       sync.Mutex
	gauges      map[flow.BackendKey]*Gauge
	random      *rand.Rand
	gaugeTables atomic.Pointer[gaugeTable]
	others      atomic.Pointer[otherCounts]
	// gain holds the bits of a Ratio. It is the lower of budgetGain, which depends on the
	// control budget, and the bound that prevents oscillation.
	gain        atomic.Uint64
	hashOnly    bool
	budgetGain  Ratio
	closedFlows atomic.Int64
	// closeRate is the moving average of the number of flows closed per call of AdjustGain.
	closeRate float64
}

// otherCounts holds the open-flow counts of all other balancers and, in ownSent, the
// counts that this balancer last sent to them, both by service and backend index.
type otherCounts struct {
	receivedAt time.Time
	balancers  int
	open       map[flow.ServiceKey][]int64
	ownSent    map[flow.ServiceKey][]int64
}

// gaugeTable holds the gauges of each service by backend index.
type gaugeTable struct {
	gauges map[flow.ServiceKey][]*Gauge
}

// Config holds the settings of a Placer.
type Config struct {
	Rand *rand.Rand
	// HashOnly disables exceptions for load: every flow is placed on its default server if
	// possible. It is a baseline for measurements.
	HashOnly bool
}

// New returns a Placer without services.
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

// SetConfig creates gauges for the backend servers of a configuration. The servers of the
// first configuration are assumed to have warmed up; servers that appear later start with a
// small share of flows.
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

// Gauge returns the gauge of a backend server, or nil if it was never configured.
func (p *Placer) Gauge(key flow.BackendKey) *Gauge {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.gauges[key]
}

// GaugeOf returns the gauge of a service's backend server. Unlike Gauge it takes no lock,
// except for servers that the current configuration does not contain.
func (p *Placer) GaugeOf(service *config.CompiledService, backend *config.CompiledBackend) *Gauge {
	row := p.gaugeTables.Load().gauges[service.Key]
	if backend.Index >= len(row) {
		return p.Gauge(backend.Key)
	}
	return row[backend.Index]
}

// Gain returns the factor by which a default server's relative excess of open flows is
// multiplied to get the probability that a new flow is diverted from it.
func (p *Placer) Gain() Ratio {
	return Ratio(math.Float64frombits(p.gain.Load()))
}

func (p *Placer) setGain(gain Ratio) {
	p.gain.Store(math.Float64bits(float64(gain)))
}

// CountClosed counts a flow that has ended. The mean lifetime of flows is estimated from
// these counts.
func (p *Placer) CountClosed() {
	p.closedFlows.Add(1)
}

// AdjustGain adjusts the gain. It must be called about once a second, with the control
// bytes per second that were spent since the last call and that are allowed. countsAge is
// the age that the other balancers' open-flow counts reach, or zero if counts are not
// exchanged.
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

// Open returns this balancer's open-flow counts of a service by backend index.
func (p *Placer) Open(service *config.CompiledService) []int64 {
	row := p.gaugeTables.Load().gauges[service.Key]
	open := make([]int64, len(row))
	for index, gauge := range row {
		open[index] = gauge.Open()
	}
	return open
}

// SetOtherCounts sets the open-flow counts of the other balancers, summed over them, and the counts that this balancer last sent to them.
func (p *Placer) SetOtherCounts(balancers int, open, ownSent map[flow.ServiceKey][]int64) {
	p.others.Store(&otherCounts{receivedAt: time.Now(), balancers: balancers, open: open, ownSent: ownSent})
}

// Request describes a new flow to be placed.
type Request struct {
	Service *config.CompiledService
	Default flow.BackendKey
	Flow    flow.ID
	// DefaultOnly allows other servers than the default only if the default cannot take
	// the flow. It is set if another balancer may have placed the same flow.
	DefaultOnly bool
}

// Choice is the result of Choose. Backend is nil if no backend server can take the flow.
type Choice struct {
	Backend *config.CompiledBackend
	Reason  Reason
}

// Choose returns the backend server for a new flow.
func (p *Placer) Choose(request Request) Choice {
	now := time.Now()
	service := request.Service
	defaultBackend := service.ByKey(request.Default)
	reason := p.defaultObjection(request, defaultBackend, now)
	if reason == ReasonDefault {
		return Choice{defaultBackend, ReasonDefault}
	}
	other := p.chooseLessLoaded(request, defaultBackend, reason, now)
	if other != nil {
		return Choice{other, reason}
	}
	// An overloaded or starting default server is better than none.
	if reason == ReasonLoad || reason == ReasonColdStart || reason == ReasonShedding {
		return Choice{defaultBackend, ReasonDefault}
	}
	return Choice{nil, ReasonNone}
}

// defaultObjection returns why a flow should not be placed on its default server, or
// ReasonDefault if it should.
func (p *Placer) defaultObjection(request Request, defaultBackend *config.CompiledBackend, now time.Time) Reason {
	service := request.Service
	if defaultBackend == nil || !service.Eligible(defaultBackend.Key) {
		return ReasonLeaving
	}
	gauge := p.GaugeOf(service, defaultBackend)
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
	if p.divertsForLoad(service, defaultBackend, now) {
		return ReasonLoad
	}
	return p.admit(service, gauge, now)
}

// atLimit reports whether a server has reached the limit on open flows.
func (p *Placer) atLimit(service *config.CompiledService, gauge *Gauge) bool {
	limit := service.Limits.OpenFlows
	return limit > 0 && gauge.Open() >= int64(limit)
}

// admit counts a new flow and returns ReasonDefault, or ReasonLimit if it exceeds the limit
// on new flows per second.
func (p *Placer) admit(service *config.CompiledService, gauge *Gauge, now time.Time) Reason {
	if gauge.admitNew(now, service.Limits.NewPerSecond) {
		return ReasonDefault
	}
	return ReasonLimit
}

// inRampShare reports whether a starting backend server takes a flow. The share of flows
// that it takes grows linearly from minRampShare to 1 during the service's ColdStart.
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
