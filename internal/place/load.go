package place

// Load estimates and the comparison of servers. A new flow is diverted for load only to a
// less loaded server, and candidates are chosen at random so that balancers that decide at
// the same time do not all choose the same server.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// loadEstimate estimates the numbers of open flows on a service's backend servers. The slices
// are ordered by backend index; others and ownSent are nil if they are unknown.
type loadEstimate struct {
	gauges          []*Gauge
	others          []int64
	ownSent         []int64
	ownChangeFactor Ratio
}

// estimateLoad returns the estimate for a service. It leaves out the other balancers' counts
// if they are expired or belong to another configuration.
func (p *Placer) estimateLoad(service *config.CompiledService, now time.Time) loadEstimate {
	result := loadEstimate{gauges: p.gaugeTables.Load().gauges[service.Key]}
	counts := p.others.Load()
	if counts == nil || now.Sub(counts.receivedAt) > othersTTL || len(counts.open[service.Key]) != len(result.gauges) {
		return result
	}
	result.others = counts.open[service.Key]
	if len(counts.ownSent[service.Key]) == len(result.gauges) {
		result.ownSent = counts.ownSent[service.Key]
		result.ownChangeFactor = ownChangeWeight * Ratio(counts.balancers)
	}
	return result
}

// openFlows returns the estimated number of open flows on the backend server with the given
// index: the balancer's own count, plus the other balancers' counts, plus the extrapolated
// change since the counts were exchanged.
func (l loadEstimate) openFlows(index int) Ratio {
	own := l.gauges[index].Open()
	estimate := Ratio(own)
	if l.others != nil {
		estimate += Ratio(l.others[index])
	}
	if l.ownSent != nil {
		estimate += l.ownChangeFactor * Ratio(own-l.ownSent[index])
	}
	return estimate
}

// divertsForLoad decides at random whether a flow is diverted from its default server because
// of the server's load.
func (p *Placer) divertsForLoad(service *config.CompiledService, defaultBackend *config.CompiledBackend, now time.Time) bool {
	estimate := p.estimateLoad(service, now)
	var open, weight Ratio
	for _, target := range service.Targets() {
		open += estimate.openFlows(service.ByKey(target.Backend).Index)
		weight += Ratio(target.Weight)
	}
	share := open * Ratio(defaultBackend.Weight) / weight
	excess := (estimate.openFlows(defaultBackend.Index) - share) / max(share, minMeanFlows)
	if excess <= 0 {
		return false
	}
	return p.randomRatio() < p.Gain()*excess
}

// chooseLessLoaded returns the less loaded of two random backend servers that accept the
// flow, without the server except. It returns nil if no server accepts the flow, if the
// chosen one is at its limit on new flows, or if the reason is ReasonLoad and the chosen one
// is not less loaded than except.
func (p *Placer) chooseLessLoaded(request Request, except *config.CompiledBackend, reason Reason, now time.Time) *config.CompiledBackend {
	service := request.Service
	best := p.chooseRandom(request, now, except, nil)
	if best == nil {
		return nil
	}
	estimate := p.estimateLoad(service, now)
	second := p.chooseRandom(request, now, except, best)
	if second != nil && estimate.openFlowsPerWeight(second) < estimate.openFlowsPerWeight(best) {
		best = second
	}
	if reason == ReasonLoad && estimate.openFlowsPerWeight(best) >= estimate.openFlowsPerWeight(except) {
		return nil
	}
	if p.admit(service, p.GaugeOf(service, best), now) != ReasonDefault {
		return nil
	}
	return best
}

// chooseRandom returns the first backend server, starting at a random index, that accepts
// the flow and is neither except nor other. It returns nil if there is none.
func (p *Placer) chooseRandom(request Request, now time.Time, except, other *config.CompiledBackend) *config.CompiledBackend {
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
		if p.acceptsException(request.Service, candidate, request.Flow, now) {
			return candidate
		}
	}
	return nil
}

// acceptsException reports whether a backend server takes a flow whose default it is not.
func (p *Placer) acceptsException(service *config.CompiledService, candidate *config.CompiledBackend, id flow.ID, now time.Time) bool {
	gauge := p.GaugeOf(service, candidate)
	if report := gauge.freshReport(now); report != nil && (!report.Healthy || report.Shedding) {
		return false
	}
	return !p.atLimit(service, gauge) && p.inRampShare(service, gauge, id, now)
}

// openFlowsPerWeight returns the estimated number of open flows divided by the weight.
func (l loadEstimate) openFlowsPerWeight(backend *config.CompiledBackend) Ratio {
	return l.openFlows(backend.Index) / Ratio(backend.Weight)
}

func (p *Placer) randomRatio() Ratio {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Ratio(p.random.Float64())
}

func (p *Placer) randomIndex(count int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(count)
}
