package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// Evacuation is the progress of a failure domain's evacuation on one balancer.
type Evacuation struct {
	Balancer string
	tagged.EvacuationStatus
}

// ReadEvacuations queries the evacuations that balancers have in force, sorted by failure domain.
// Balancers that do not answer are returned in silent. It returns an error if none answers.
func ReadEvacuations(ctx context.Context, addresses []string) (list []Evacuation, silent []string, err error) {
	for _, address := range addresses {
		var evacuations []tagged.EvacuationStatus
		if getErr := Get(ctx, address, "/evacuations", nil, &evacuations); getErr != nil {
			silent, err = append(silent, address), getErr
			continue
		}
		for _, status := range evacuations {
			list = append(list, Evacuation{Balancer: address, EvacuationStatus: status})
		}
	}
	slices.SortStableFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	if len(silent) < len(addresses) {
		err = nil
	}
	return list, silent, err
}

// EvacuationEffect says what an evacuation would mean for a service. Loads are requests in
// progress, summed over the balancers that answered.
type EvacuationEffect struct {
	Service string
	// Servers and Slots are those that would get new flows, RemovedServers those that would not.
	Servers, Slots, RemovedServers int
	Busy                           int
	// Utilization is Busy divided by Slots, 0 without slots.
	Utilization float64
}

// Fits reports whether the remaining servers can carry the service's present load below the given
// utilization.
func (e *EvacuationEffect) Fits(maxUtilization float64) bool {
	return e.RemovedServers == 0 || e.Slots > 0 && e.Utilization <= maxUtilization
}

// PlanEvacuation computes the effects of an evacuation on each service from the balancers' reports
// of the backend servers, one for each balancer, sorted by service.
func PlanEvacuation(domain string, reports [][]tagged.BackendStatus) []EvacuationEffect {
	effects := make(map[string]*EvacuationEffect)
	seen := make(map[string]bool)
	for _, report := range reports {
		for _, backend := range report {
			effect := effects[backend.Service]
			if effect == nil {
				effect = &EvacuationEffect{Service: backend.Service}
				effects[backend.Service] = effect
			}
			effect.Busy += backend.Busy
			if seen[backend.Backend] || backend.Standing != state.Serving {
				continue
			}
			seen[backend.Backend] = true
			if backend.Domain == domain || backend.Evacuated {
				effect.RemovedServers++
				continue
			}
			effect.Servers++
			effect.Slots += backend.Slots
		}
	}
	var list []EvacuationEffect
	for _, effect := range effects {
		if effect.Slots > 0 {
			effect.Utilization = float64(effect.Busy) / float64(effect.Slots)
		}
		list = append(list, *effect)
	}
	slices.SortFunc(list, func(a, b EvacuationEffect) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// ReadBackends queries the backend servers that balancers know. Balancers that do not answer are
// left out. It returns an error if none answers.
func ReadBackends(ctx context.Context, addresses []string) ([][]tagged.BackendStatus, error) {
	var reports [][]tagged.BackendStatus
	var lastErr error
	for _, address := range addresses {
		var report []tagged.BackendStatus
		if err := Get(ctx, address, "/backends", nil, &report); err != nil {
			lastErr = err
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) == 0 {
		return nil, fmt.Errorf("none of %d balancers answered: %w", len(addresses), lastErr)
	}
	return reports, nil
}
