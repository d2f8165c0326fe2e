// Package plans computes what a configuration would do to open flows before it is
// published.
package plans

import (
	"fmt"
	"io"
	"slices"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

// Bytes that a flow costs, as the wire formats have them.
const (
	rebaseFlowBytes    = 8 + 4
	exceptionHeadBytes = 14
)

// Assumptions are what the files do not say about the load.
type Assumptions struct {
	// OpenFlows and NewPerSecond are those of one service in the whole fabric.
	OpenFlows    int
	NewPerSecond int
}

// Effect is what a change does to one service.
type Effect struct {
	Service      string
	Fabric       string
	MovedSlots   int
	MovedShare   float64
	Added        []string
	Leaving      []string
	Removed      []string
	Exceptions   int
	ControlBytes int
	PerSecond    int
	// NoCapacity: no backend server would take new flows.
	NoCapacity bool
}

// Compute compares two configurations for each fabric that the new one names.
func Compute(before, after config.Bundle, assume Assumptions) ([]Effect, error) {
	documents, err := after.Decode()
	if err != nil {
		return nil, fmt.Errorf("plan: new configuration: %w", err)
	}
	var fabrics []string
	for _, domain := range documents.Domains {
		if !slices.Contains(fabrics, domain.Fabric) {
			fabrics = append(fabrics, domain.Fabric)
		}
	}
	var effects []Effect
	for _, fabric := range fabrics {
		old, err := config.Compile(before, fabric, nil)
		if err != nil {
			return nil, fmt.Errorf("plan: old configuration: %w", err)
		}
		compiled, err := config.Compile(after, fabric, old)
		if err != nil {
			return nil, fmt.Errorf("plan: new configuration: %w", err)
		}
		for _, service := range compiled.Services {
			effects = append(effects, compare(old.ByKey(service.Key), service, fabric, assume))
		}
	}
	return effects, nil
}

func compare(old, service *config.CompiledService, fabric string, assume Assumptions) Effect {
	effect := Effect{Service: service.Name, Fabric: fabric, NoCapacity: len(service.Targets()) == 0}
	for _, backend := range service.Backends {
		if backend.State == config.Leaving {
			effect.Leaving = append(effect.Leaving, backend.Name)
		}
		if old == nil || old.ByKey(backend.Key) == nil {
			effect.Added = append(effect.Added, backend.Name)
		}
	}
	if old == nil {
		return effect
	}
	for _, backend := range old.Backends {
		if service.ByKey(backend.Key) == nil {
			effect.Removed = append(effect.Removed, backend.Name)
		}
	}
	for slot := range flow.SlotCount {
		if old.Defaults[slot] != service.Defaults[slot] {
			effect.MovedSlots++
		}
	}
	effect.MovedShare = float64(effect.MovedSlots) / flow.SlotCount
	effect.Exceptions = int(effect.MovedShare * float64(assume.OpenFlows))
	effect.ControlBytes = effect.Exceptions * rebaseFlowBytes * ring.ReplicaCount
	effect.PerSecond = int(effect.MovedShare * float64(assume.NewPerSecond) * exceptionHeadBytes)
	return effect
}

// Write prints effects for a person.
func Write(to io.Writer, effects []Effect) error {
	for _, effect := range effects {
		_, err := fmt.Fprintf(to, "service %s on fabric %s:\n", effect.Service, effect.Fabric)
		lines := []string{
			fmt.Sprintf("%d of %d slots get another default (%.1f %%); open flows stay where they are", effect.MovedSlots, flow.SlotCount, 100*effect.MovedShare),
			fmt.Sprintf("about %d open flows become exceptions, %d control bytes in all", effect.Exceptions, effect.ControlBytes),
			fmt.Sprintf("until then new flows cost about %d control bytes a second in the fabric", effect.PerSecond),
		}
		lines = appendNames(lines, "gets nothing new", effect.Leaving)
		lines = appendNames(lines, "is added", effect.Added)
		lines = appendNames(lines, "is removed, its open flows are reset", effect.Removed)
		if effect.NoCapacity {
			lines = append(lines, "NO BACKEND SERVER takes new flows")
		}
		for _, line := range lines {
			if err == nil {
				_, err = fmt.Fprintf(to, "  %s\n", line)
			}
		}
		if err != nil {
			return fmt.Errorf("plan: write: %w", err)
		}
	}
	return nil
}

func appendNames(lines []string, what string, names []string) []string {
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("backend server %s %s", name, what))
	}
	return lines
}
