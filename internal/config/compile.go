package config

// Compilation of bundles into lookup tables and hash tables. Unchanged services are shared
// with the previous configuration.

import (
	"cmp"
	"net/netip"
	"slices"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

// addressKey is the map key for looking up the service of a packet. It consists of plain
// bytes, which hash faster than a string and a netip.AddrPort.
type addressKey struct {
	ip       [16]byte
	port     uint16
	protocol byte
}

func newAddressKey(protocol flow.Protocol, service netip.AddrPort) addressKey {
	return addressKey{service.Addr().As16(), service.Port(), protocol[0]}
}

// Compiled is a validated configuration with its lookup tables. It is immutable.
type Compiled struct {
	Version  Version
	HashSeed flow.Seed
	Bundle   Bundle
	// Services are sorted by key.
	Services []*CompiledService

	byAddress map[addressKey]*CompiledService
	byKey     map[flow.ServiceKey]*CompiledService
	fabric    string
}

// CompiledService is a service with its hash table of default backend servers.
type CompiledService struct {
	Service
	Key      flow.ServiceKey
	Backends []*CompiledBackend
	// Defaults maps each hash slot to its default backend server, or to zero if no backend
	// server is eligible.
	Defaults *ring.Table

	targets []ring.Target
	byKey   map[flow.BackendKey]*CompiledBackend
}

// CompiledBackend is a backend server with its key. Index is its position in the service's
// list of backend servers.
type CompiledBackend struct {
	Backend
	Key   flow.BackendKey
	Index int
}

// Compile validates a bundle and compiles it for the balancers of one fabric. Unchanged
// services and hash tables are shared with the previous configuration, which may be nil.
// The error is of type Problems. A bundle with another hash seed than the previous one is
// rejected, because a new seed would move every open flow.
func Compile(bundle Bundle, fabric string, previous *Compiled) (*Compiled, error) {
	documents, err := bundle.Decode()
	if err != nil {
		return nil, err
	}
	if previous != nil && documents.Index.HashSeed != previous.HashSeed {
		reason := "differs from the current seed, and a new seed would move every open flow"
		return nil, Problems{{File: string(IndexName), Path: "HashSeed", Reason: reason, Fix: "publish the current seed"}}
	}
	compiled := &Compiled{
		Version:   documents.Index.Version,
		HashSeed:  documents.Index.HashSeed,
		Bundle:    bundle,
		byAddress: make(map[addressKey]*CompiledService, len(documents.Services)),
		byKey:     make(map[flow.ServiceKey]*CompiledService, len(documents.Services)),
		fabric:    fabric,
	}
	local := localDomains(documents.Domains, fabric)
	findUnchanged := bundle.unchangedServices(previous)
	for _, document := range documents.Services {
		service := findUnchanged(document.Name)
		if service == nil {
			service = compileService(document, local)
			service.setDefaults(previous)
		}
		compiled.Services = append(compiled.Services, service)
		compiled.byAddress[newAddressKey(service.Protocol, service.Address)] = service
		compiled.byKey[service.Key] = service
	}
	// Balancers that received the values in different orders must agree on the order of
	// services.
	slices.SortFunc(compiled.Services, func(a, b *CompiledService) int { return cmp.Compare(a.Key, b.Key) })
	return compiled, nil
}

// unchangedServices returns a function that finds a service of the previous configuration by
// name, or nil if its value or the failure domains have changed. Sharing unchanged services
// keeps 64 configurations of 1,300 services little larger than a single one.
func (b Bundle) unchangedServices(previous *Compiled) func(name string) *CompiledService {
	if previous == nil {
		return func(string) *CompiledService { return nil }
	}
	before, after := previous.Bundle.identities(), b.identities()
	return func(name string) *CompiledService {
		value := ValueName(servicePrefix + name)
		same := after[value].version != 0 && before[value] == after[value] && before[DomainsName] == after[DomainsName]
		if !same {
			return nil
		}
		return previous.ByKey(flow.ServiceKey(flow.NameKey(name)))
	}
}

// localDomains returns the names of the failure domains of a fabric.
func localDomains(domains []Domain, fabric string) []string {
	var local []string
	for _, domain := range domains {
		if domain.Fabric == fabric {
			local = append(local, domain.Name)
		}
	}
	return local
}

func compileService(document Service, localDomains []string) *CompiledService {
	service := &CompiledService{
		Service: document,
		Key:     flow.ServiceKey(flow.NameKey(document.Name)),
		byKey:   make(map[flow.BackendKey]*CompiledBackend, len(document.Backends)),
	}
	for index, backend := range document.Backends {
		compiled := &CompiledBackend{
			Backend: backend,
			Key:     flow.BackendKey(flow.NameKey(backend.Name)),
			Index:   index,
		}
		service.Backends = append(service.Backends, compiled)
		service.byKey[compiled.Key] = compiled
	}
	isLocal := func(backend *CompiledBackend) bool { return slices.Contains(localDomains, backend.Domain) }
	service.targets = eligibleTargets(service.Backends, isLocal)
	if len(service.targets) == 0 {
		// No backend server of this fabric is eligible, so flows spill over to all other
		// failure domains rather than being rejected.
		service.targets = eligibleTargets(service.Backends, func(*CompiledBackend) bool { return true })
	}
	return service
}

// eligibleTargets returns the active backend servers that satisfy a condition, with their
// weights.
func eligibleTargets(backends []*CompiledBackend, condition func(*CompiledBackend) bool) []ring.Target {
	var targets []ring.Target
	for _, backend := range backends {
		if backend.State == Active && condition(backend) {
			targets = append(targets, ring.Target{Backend: backend.Key, Weight: backend.Weight})
		}
	}
	return targets
}

// setDefaults sets the hash table. It shares that of the previous configuration if the
// eligible backend servers and their weights are the same.
func (s *CompiledService) setDefaults(previous *Compiled) {
	if previous != nil {
		if before := previous.ByKey(s.Key); before != nil && slices.Equal(before.targets, s.targets) {
			s.Defaults = before.Defaults
			return
		}
	}
	s.Defaults = ring.NewTable(s.targets)
}

// ByAddress returns the service at an address, or nil if there is none.
func (c *Compiled) ByAddress(protocol flow.Protocol, service netip.AddrPort) *CompiledService {
	return c.byAddress[newAddressKey(protocol, service)]
}

// ByKey returns the service with a key, or nil if there is none.
func (c *Compiled) ByKey(key flow.ServiceKey) *CompiledService {
	return c.byKey[key]
}

// ByKey returns the service's backend server with a key, or nil if there is none.
func (s *CompiledService) ByKey(key flow.BackendKey) *CompiledBackend {
	return s.byKey[key]
}

// Eligible reports whether the configuration allows new flows on the backend server.
func (s *CompiledService) Eligible(key flow.BackendKey) bool {
	return slices.ContainsFunc(s.targets, func(target ring.Target) bool { return target.Backend == key })
}

// Targets returns the backend servers that may receive new flows. The caller must not modify
// the slice.
func (s *CompiledService) Targets() []ring.Target {
	return s.targets
}
