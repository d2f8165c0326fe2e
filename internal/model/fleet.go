package model

import (
	"fmt"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// FleetConfig describes a fleet in the shape of the two deployments.
type FleetConfig struct {
	Balancers int
	Domains   int
	Services  []ServiceConfig
	// IdleTimeout of all services; zero means four hours.
	IdleTimeout time.Duration
}

// ServiceConfig describes a service by its size.
type ServiceConfig struct {
	Name     string
	Backends int
}

// TimerFleet returns the fleet of the Horodis deployment: eight balancers in four
// failure domains, planning with 15 backend servers and journal with four.
func TimerFleet() FleetConfig {
	return FleetConfig{
		Balancers: 8,
		Domains:   4,
		Services:  []ServiceConfig{{"planning", 15}, {"journal", 4}},
	}
}

const (
	fabricName   = "fabric"
	hashSeed     = 20261204
	balancerPort = 7700
	backendPort  = 5555
	servicePort  = 443
	defaultIdle  = 4 * time.Hour
)

// Instances returns the fleet's balancers, each in a rack of its own.
func (f FleetConfig) Instances() []config.Instance {
	instances := make([]config.Instance, f.Balancers)
	for index := range instances {
		instances[index] = f.Instance(index)
	}
	return instances
}

// Instance returns the balancer with a number, which may be beyond the fleet's.
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

// Documents returns the fleet's configuration.
func (f FleetConfig) Documents() config.Documents {
	documents := config.Documents{Index: config.Index{HashSeed: hashSeed}}
	for index := range f.Domains {
		documents.Domains = append(documents.Domains, config.Domain{Name: domainName(index), Region: "region-1", Fabric: fabricName})
	}
	documents.Teams = []config.Team{{Name: "team-1", Addresses: []netip.Prefix{netip.MustParsePrefix("198.18.0.0/15")}}}
	for index, service := range f.Services {
		documents.Services = append(documents.Services, f.service(index, service))
	}
	return documents
}

func (f FleetConfig) service(index int, settings ServiceConfig) config.Service {
	idle := f.IdleTimeout
	if idle == 0 {
		idle = defaultIdle
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

// Backend returns a backend server of a service, by their numbers.
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
