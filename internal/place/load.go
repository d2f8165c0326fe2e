package place

// Comparing servers: a new flow leaves its default only for a server that has less, and by
// chance, so that balancers that decide at the same time do not all choose the same.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// loads are the estimated open flows of a service's backend servers.
type loads struct {
	gauges []*Gauge
	others []int64
	told   []int64
	follow Ratio
}

// loadsOf gathers the numbers that an estimate needs, without the others' if they
// are old or of another configuration.
func (p *Placer) loadsOf(service *config.CompiledService, now time.Time) loads {
	result := loads{gauges: p.services.Load().gauges[service.Key]}
	told := p.others.Load()
	if told == nil || now.Sub(told.at) > othersLife || len(told.open[service.Key]) != len(result.gauges) {
		return result
	}
	result.others = told.open[service.Key]
	if len(told.told[service.Key]) == len(result.gauges) {
		result.told = told.told[service.Key]
		result.follow = followShare * Ratio(told.balancers)
	}
	return result
}

// at estimates the open flows of the backend server with an index.
func (l loads) at(index int) Ratio {
	own := l.gauges[index].Open()
	estimate := Ratio(own)
	if l.others != nil {
		estimate += Ratio(l.others[index])
	}
	if l.told != nil {
		estimate += l.follow * Ratio(own-l.told[index])
	}
	return estimate
}

// overShare reports whether a flow leaves its default for its load.
func (p *Placer) overShare(service *config.CompiledService, chosen *config.CompiledBackend, now time.Time) bool {
	numbers := p.loadsOf(service, now)
	var open, weight Ratio
	for _, target := range service.Targets() {
		open += numbers.at(service.ByKey(target.Backend).Index)
		weight += Ratio(target.Weight)
	}
	share := open * Ratio(chosen.Weight) / weight
	excess := (numbers.at(chosen.Index) - share) / max(share, minMean)
	if excess <= 0 {
		return false
	}
	return p.randomRatio() < p.Gain()*excess
}

// lessLoaded returns the less loaded of two random backend servers that can take
// a new flow, nil if there is none.
func (p *Placer) lessLoaded(request Request, except *config.CompiledBackend, reason Reason, now time.Time) *config.CompiledBackend {
	service := request.Service
	best := p.randomOpen(request, now, except, nil)
	if best == nil {
		return nil
	}
	numbers := p.loadsOf(service, now)
	second := p.randomOpen(request, now, except, best)
	if second != nil && numbers.byWeight(second) < numbers.byWeight(best) {
		best = second
	}
	if reason == ReasonLoad && numbers.byWeight(best) >= numbers.byWeight(except) {
		return nil
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

func (l loads) byWeight(backend *config.CompiledBackend) Ratio {
	return l.at(backend.Index) / Ratio(backend.Weight)
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
