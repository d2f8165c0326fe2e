package model

import (
	"fmt"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// FleetConfig describes a fleet by its size. Balancers and the backend servers of each
// service are spread evenly over the failure domains.
type FleetConfig struct {
	Balancers int
	Domains   int
	Services  []ServiceConfig
	// IdleTimeout is the idle timeout of all services. 0 means four hours.
	IdleTimeout time.Duration
}

// ServiceConfig describes a service by its number of backend servers.
type ServiceConfig struct {
	Name     string
	Backends int
}

// HorodisFleet returns the fleet of the example deployment horodis: eight balancers in four
// failure domains, 15 backend servers of the service planning and four of journal.
func HorodisFleet() FleetConfig {
	return FleetConfig{
		Balancers: 8,
		Domains:   4,
		Services:  []ServiceConfig{{"planning", 15}, {"journal", 4}},
	}
}

const (
	fabricName         = "fabric"
	hashSeed           = 20261204
	balancerPort       = 7700
	backendPort        = 5555
	servicePort        = 443
	defaultIdleTimeout = 4 * time.Hour
)

// Instances returns the fleet's balancers. Each is in a separate rack.
func (f FleetConfig) Instances() []config.Instance {
	instances := make([]config.Instance, f.Balancers)
	for index := range instances {
		instances[index] = f.Instance(index)
	}
	return instances
}

// Instance returns the balancer with an index. An index that is not in the fleet describes
// an additional balancer.
func (f FleetConfig) Instance(index int) config.Instance {
	return config.Instance{
		Name:    fmt.Sprintf("entry-%d", index+1),
		Domain:  domainName(index % f.Domains),
		Rack:    fmt.Sprintf("rack-%d", index),
		Fabric:  fabricName,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(index >> 8), byte(index)}), balancerPort),
		State:   config.InstanceLive,
	}
}

func domainName(index int) string {
	return fmt.Sprintf("domain-%d", index+1)
}

// Documents returns the fleet's configuration, without its instances.
func (f FleetConfig) Documents() config.Documents {
	documents := config.Documents{Index: config.Index{HashSeed: hashSeed}}
	for index := range f.Domains {
		documents.Domains = append(documents.Domains, config.Domain{Name: domainName(index), Region: "region-1", Fabric: fabricName})
	}
	documents.Teams = []config.Team{{Name: "team-1", Addresses: []netip.Prefix{netip.MustParsePrefix("198.18.0.0/15")}}}
	for index, service := range f.Services {
		documents.Services = append(documents.Services, f.buildService(index, service))
	}
	return documents
}

func (f FleetConfig) buildService(index int, settings ServiceConfig) config.Service {
	idle := f.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	service := config.Service{
		Name:        settings.Name,
		Team:        "team-1",
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(index >> 8), byte(index)}), servicePort),
		Protocol:    flow.TCP,
		Return:      config.ReturnDirect,
		IdleTimeout: config.Duration(idle),
	}
	for number := range settings.Backends {
		service.Backends = append(service.Backends, f.Backend(settings.Name, index, number))
	}
	return service
}

// Backend returns the description of a backend server. The index is that of its service, the
// number that of the backend server within the service.
func (f FleetConfig) Backend(service string, index, number int) config.Backend {
	address := netip.AddrFrom4([4]byte{100, byte(64 + index>>8), byte(index), byte(number)})
	return config.Backend{
		Name:    fmt.Sprintf("%s-%d", service, number+1),
		Domain:  domainName(number % f.Domains),
		Address: netip.AddrPortFrom(address, backendPort),
		Weight:  100,
		Slots:   2,
		State:   config.Active,
	}
}
