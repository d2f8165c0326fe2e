package config

// Compiling prepares look-ups and default tables. Unchanged services are shared
// with the configuration before.

import (
	"cmp"
	"net/netip"
	"slices"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

// address is what a packet is looked up by. It is plain bytes, which hash faster
// than a string and a netip.AddrPort.
type address struct {
	ip       [16]byte
	port     uint16
	protocol byte
}

func addressOf(protocol flow.Protocol, service netip.AddrPort) address {
	return address{service.Addr().As16(), service.Port(), protocol[0]}
}

// Compiled is a configuration ready for use. It is immutable.
type Compiled struct {
	Version  Version
	HashSeed flow.Seed
	Bundle   Bundle
	Services []*CompiledService

	byAddress map[address]*CompiledService
	byKey     map[flow.ServiceKey]*CompiledService
	fabric    string
}

// CompiledService is a service with its default table.
type CompiledService struct {
	Service
	Key      flow.ServiceKey
	Backends []*CompiledBackend
	// Defaults holds each slot's default, zero where nothing is eligible.
	Defaults *ring.Table

	targets []ring.Target
	byKey   map[flow.BackendKey]*CompiledBackend
}

// CompiledBackend is a backend server with its key. Index is its place in the service.
type CompiledBackend struct {
	Backend
	Key   flow.BackendKey
	Index int
}

// Compile checks a bundle and prepares it for the balancers of one fabric.
// Default tables of unchanged services are taken over from the previous
// configuration, which may be nil.
func Compile(bundle Bundle, fabric string, previous *Compiled) (*Compiled, error) {
	documents, err := bundle.Read()
	if err != nil {
		return nil, err
	}
	if previous != nil && documents.Index.HashSeed != previous.HashSeed {
		reason := "differs from the seed in force, which would move every open flow"
		return nil, Problems{{File: string(IndexName), Path: "HashSeed", Reason: reason, Fix: "publish the seed in force"}}
	}
	compiled := &Compiled{
		Version:   documents.Index.Version,
		HashSeed:  documents.Index.HashSeed,
		Bundle:    bundle,
		byAddress: make(map[address]*CompiledService, len(documents.Services)),
		byKey:     make(map[flow.ServiceKey]*CompiledService, len(documents.Services)),
		fabric:    fabric,
	}
	home := homeDomains(documents.Domains, fabric)
	unchanged := bundle.unchanged(previous)
	for _, document := range documents.Services {
		service := unchanged(document.Name)
		if service == nil {
			service = compileService(document, home)
			service.fillDefaults(previous)
		}
		compiled.Services = append(compiled.Services, service)
		compiled.byAddress[addressOf(service.Protocol, service.Address)] = service
		compiled.byKey[service.Key] = service
	}
	// Balancers that got the values in another order must agree on this one.
	slices.SortFunc(compiled.Services, func(a, b *CompiledService) int { return cmp.Compare(a.Key, b.Key) })
	return compiled, nil
}

// unchanged returns a look-up of the previous configuration's services whose values
// are the same. They are shared, so that remembering 64 configurations of 1,300
// services costs little more than remembering one.
func (b Bundle) unchanged(previous *Compiled) func(name string) *CompiledService {
	if previous == nil {
		return func(string) *CompiledService { return nil }
	}
	before, after := previous.Bundle.versions(), b.versions()
	return func(name string) *CompiledService {
		value := ValueName(servicePrefix + name)
		same := after[value] != 0 && before[value] == after[value] && before[DomainsName] == after[DomainsName]
		if !same {
			return nil
		}
		return previous.ByKey(flow.ServiceKey(flow.NameKey(name)))
	}
}

// homeDomains returns the names of the failure domains behind a fabric.
func homeDomains(domains []Domain, fabric string) []string {
	var home []string
	for _, domain := range domains {
		if domain.Fabric == fabric {
			home = append(home, domain.Name)
		}
	}
	return home
}

func compileService(document Service, home []string) *CompiledService {
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
	local := func(backend *CompiledBackend) bool { return slices.Contains(home, backend.Domain) }
	service.targets = eligible(service.Backends, local)
	if len(service.targets) == 0 {
		// Nothing is eligible near the fabric, so flows spill to all other
		// failure domains rather than find no backend server.
		service.targets = eligible(service.Backends, func(*CompiledBackend) bool { return true })
	}
	return service
}

// eligible returns the active backend servers that satisfy a condition.
func eligible(backends []*CompiledBackend, condition func(*CompiledBackend) bool) []ring.Target {
	var targets []ring.Target
	for _, backend := range backends {
		if backend.State == Active && condition(backend) {
			targets = append(targets, ring.Target{Backend: backend.Key, Weight: backend.Weight})
		}
	}
	return targets
}

// fillDefaults shares the previous table where the eligible set is the same.
func (s *CompiledService) fillDefaults(previous *Compiled) {
	if previous != nil {
		if before := previous.ByKey(s.Key); before != nil && slices.Equal(before.targets, s.targets) {
			s.Defaults = before.Defaults
			return
		}
	}
	s.Defaults = ring.NewTable(s.targets)
}

// ByAddress returns the service of an address, nil where there is none.
func (c *Compiled) ByAddress(protocol flow.Protocol, service netip.AddrPort) *CompiledService {
	return c.byAddress[addressOf(protocol, service)]
}

// ByKey returns the service with a key, nil where there is none.
func (c *Compiled) ByKey(key flow.ServiceKey) *CompiledService {
	return c.byKey[key]
}

// ByKey returns the backend server with a key, nil where the service has none.
func (s *CompiledService) ByKey(key flow.BackendKey) *CompiledBackend {
	return s.byKey[key]
}

// Eligible reports whether new flows may go to the backend server by configuration.
func (s *CompiledService) Eligible(key flow.BackendKey) bool {
	return slices.ContainsFunc(s.targets, func(target ring.Target) bool { return target.Backend == key })
}

// Targets returns the backend servers that new flows may go to.
func (s *CompiledService) Targets() []ring.Target {
	return s.targets
}
