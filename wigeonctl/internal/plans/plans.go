// Package plans computes the effects of a configuration on flows before it is published.
//
// It compiles the old and the new configuration as a balancer does, and compares the default
// backend server of every slot. Open flows on slots with a new default are recorded as
// exceptions and stay on their backend servers. The cost of these exceptions is estimated
// from an assumed load.
package plans

import (
	"fmt"
	"io"
	"slices"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

// Sizes in bytes in the wire formats. rebaseFlowBytes is the size of one flow in a rebase: the
// flow's ID and the key of its backend server. exceptionHeaderBytes is the size of the header
// in front of a new exception's first packet, which passes through all replicas.
const (
	rebaseFlowBytes      = 8 + 4
	exceptionHeaderBytes = 14
)

// Assumptions is the assumed load, which the files do not contain.
type Assumptions struct {
	// OpenFlows is the number of open flows and NewPerSecond the number of new flows per
	// second, each of one service in the whole fabric.
	OpenFlows    int
	NewPerSecond int
}

// Effect is the effect of a change on one service in one fabric.
type Effect struct {
	Service string
	Fabric  string
	// MovedSlots is the number of slots that get another default backend server, and
	// MovedShare their share of all slots.
	MovedSlots int
	MovedShare float64
	// Added, Leaving and Removed are names of backend servers.
	Added   []string
	Leaving []string
	Removed []string
	// Exceptions is the estimated number of open flows that become exceptions, and
	// ControlBytes the size of the messages that record them on the replicas.
	Exceptions   int
	ControlBytes int
	// ControlBytesPerSecond is the estimated control traffic for new flows until the moved
	// slots are rebased.
	ControlBytesPerSecond int
	// NoCapacity is true if no backend server would take new flows.
	NoCapacity bool
}

// Compute compares two configurations for each fabric in the new one. It returns an error if
// one of the configurations is invalid.
func Compute(before, after config.Bundle, assumptions Assumptions) ([]Effect, error) {
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
			effects = append(effects, compareService(old.ByKey(service.Key), service, fabric, assumptions))
		}
	}
	return effects, nil
}

func compareService(old, service *config.CompiledService, fabric string, assumptions Assumptions) Effect {
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
	effect.Exceptions = int(effect.MovedShare * float64(assumptions.OpenFlows))
	effect.ControlBytes = effect.Exceptions * rebaseFlowBytes * ring.ReplicaCount
	effect.ControlBytesPerSecond = int(effect.MovedShare * float64(assumptions.NewPerSecond) * exceptionHeaderBytes)
	return effect
}

// Write writes the effects as text for operators. It returns the first error of the writer.
func Write(to io.Writer, effects []Effect) error {
	for _, effect := range effects {
		_, err := fmt.Fprintf(to, "service %s on fabric %s:\n", effect.Service, effect.Fabric)
		lines := []string{
			fmt.Sprintf("%d of %d slots get another default backend server (%.1f %%); open flows stay on their backend servers", effect.MovedSlots, flow.SlotCount, 100*effect.MovedShare),
			fmt.Sprintf("about %d open flows become exceptions, which costs %d control bytes in total", effect.Exceptions, effect.ControlBytes),
			fmt.Sprintf("until these slots are rebased, new flows cost about %d control bytes per second in the fabric", effect.ControlBytesPerSecond),
		}
		lines = appendBackends(lines, "gets no new flows", effect.Leaving)
		lines = appendBackends(lines, "is added", effect.Added)
		lines = appendBackends(lines, "is removed and its open flows are reset", effect.Removed)
		if effect.NoCapacity {
			lines = append(lines, "NO BACKEND SERVER takes new flows")
		}
		for _, line := range lines {
			if err == nil {
				_, err = fmt.Fprintf(to, "  %s\n", line)
			}
		}
		if err != nil {
			return fmt.Errorf("plan: write effects: %w", err)
		}
	}
	return nil
}

func appendBackends(lines []string, effect string, names []string) []string {
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("backend server %s %s", name, effect))
	}
	return lines
}
