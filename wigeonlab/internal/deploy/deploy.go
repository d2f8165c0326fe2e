// Package deploy describes the two deployments that the examples hold, with
// addresses on the loopback range so that they run on one machine.
package deploy

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/watch"
)

// Deployment is one operator's fleet.
type Deployment struct {
	Name     string
	Region   string
	Domains  []string
	Services []service
	// Network is the second number of the deployment's loopback addresses.
	Network   byte
	Balancers int
	HashSeed  flow.Seed
}

type service struct {
	name     string
	backends int
	slots    int
}

// Ports of all deployments.
const (
	trafficPort = 7700
	peerPort    = 7701
	adminPort   = 7790
	backendPort = 5555
	loadPort    = 8080
	servicePort = 443
	fabricPort  = 7000
	returnPort  = 7001
	callerPort  = 6000
)

// Directory modes of what is written.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// All returns both deployments.
func All() []Deployment {
	return []Deployment{
		{
			Name:      "horodis",
			Region:    "brittany",
			Domains:   []string{"lorient", "vannes", "quimper", "rennes"},
			Services:  []service{{"planning", 15, 2}, {"journal", 4, 2}},
			Network:   10,
			Balancers: 8,
			HashSeed:  5310964728,
		},
		{
			Name:      "hanji",
			Region:    "gyeonggi",
			Domains:   []string{"anseong", "pyeongtaek", "icheon"},
			Services:  []service{{"line-feed", 15, 3}, {"spec-upload", 4, 3}},
			Network:   20,
			Balancers: 8,
			HashSeed:  9027715364,
		},
	}
}

// ByName returns a deployment.
func ByName(name string) (Deployment, error) {
	var names []string
	for _, deployment := range All() {
		if deployment.Name == name {
			return deployment, nil
		}
		names = append(names, deployment.Name)
	}
	return Deployment{}, fmt.Errorf("deploy: %q is no deployment: use %s", name, strings.Join(names, " or "))
}

func (d Deployment) at(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.Network, third, fourth}), port)
}

func (d Deployment) fabric() string { return d.Region + "-1" }

// Platform, Fabric, FabricReturn and Caller are the stand-ins' addresses.
func (d Deployment) Platform() netip.AddrPort     { return d.at(9, 1, 9000) }
func (d Deployment) Fabric() netip.AddrPort       { return d.at(9, 2, fabricPort) }
func (d Deployment) FabricReturn() netip.AddrPort { return d.at(9, 2, returnPort) }
func (d Deployment) Caller() netip.AddrPort       { return d.at(9, 3, callerPort) }

// Instances returns the list of balancers.
func (d Deployment) Instances() config.Instances {
	list := config.Instances{}
	for index := range d.Balancers {
		number := byte(index + 1)
		list.Instances = append(list.Instances, config.Instance{
			Name:    fmt.Sprintf("%s-entry-%d", d.Name, number),
			Domain:  d.Domains[index%len(d.Domains)],
			Rack:    fmt.Sprintf("rack-%d", index/len(d.Domains)+1),
			Fabric:  d.fabric(),
			Address: d.at(1, number, peerPort),
			Traffic: d.at(1, number, trafficPort),
			State:   config.InstanceLive,
		})
	}
	return list
}

// Documents returns the published configuration.
func (d Deployment) Documents() config.Documents {
	documents := config.Documents{Index: config.Index{HashSeed: d.HashSeed}}
	for _, domain := range d.Domains {
		documents.Domains = append(documents.Domains, config.Domain{Name: domain, Region: d.Region, Fabric: d.fabric()})
	}
	prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{198, 51, 100, 0}), 24)
	documents.Teams = []config.Team{{Name: d.Name, Addresses: []netip.Prefix{prefix}, MaxServices: 10, MaxBackends: 100}}
	for index := range d.Services {
		documents.Services = append(documents.Services, d.service(index))
	}
	return documents
}

func (d Deployment) service(index int) config.Service {
	described := d.Services[index]
	result := config.Service{
		Name:        described.name,
		Team:        d.Name,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(index + 1)}), servicePort),
		Protocol:    flow.TCP,
		Return:      config.ReturnDirect,
		IdleTimeout: config.Duration(4 * time.Hour),
		ColdStart:   config.Duration(30 * time.Second),
	}
	for number := range described.backends {
		result.Backends = append(result.Backends, d.Backend(index, number))
	}
	return result
}

// Backend returns a backend server by the numbers of its service and itself.
func (d Deployment) Backend(index, number int) config.Backend {
	described := d.Services[index]
	return config.Backend{
		Name:    fmt.Sprintf("%s-%d", described.name, number+1),
		Domain:  d.Domains[number%len(d.Domains)],
		Address: d.at(byte(100+index), byte(number+1), backendPort),
		Load:    d.at(byte(100+index), byte(number+1), loadPort),
		Weight:  100,
		Slots:   described.slots,
		State:   config.Active,
	}
}

// Settings returns the settings file of a balancer.
func (d Deployment) Settings(instance config.Instance) string {
	admin := netip.AddrPortFrom(instance.Address.Addr(), adminPort)
	return fmt.Sprintf(`; Settings of %s. See docs/SETTINGS.md.
[Instance]
Name   = %s
Domain = %s
Rack   = %s
Fabric = %s

[Listen]
Traffic = %s
Peer    = %s
Admin   = %s

[Platform]
URL = http://%s

[Callers]
Return = %s

[Leave]
Linger = 3s
`, instance.Name, instance.Name, instance.Domain, instance.Rack, instance.Fabric,
		instance.Traffic, instance.Address, admin, d.Platform(), d.FabricReturn())
}

// Write writes settings and published values below a directory.
func (d Deployment) Write(directory string) error {
	for _, instance := range d.Instances().Instances {
		path := filepath.Join(directory, "settings", instance.Name+".ini")
		if err := writeFile(path, []byte(d.Settings(instance))); err != nil {
			return err
		}
	}
	bundle, err := config.Render(d.Documents(), config.Bundle{}, 1)
	if err != nil {
		return fmt.Errorf("deploy: render %s: %w", d.Name, err)
	}
	list, err := json.MarshalIndent(d.Instances(), "", "  ")
	if err != nil {
		return fmt.Errorf("deploy: write instances: %w", err)
	}
	values := append(bundle.Values, bundle.Index, config.Value{Name: watch.InstancesName(d.fabric()), Data: list})
	for _, value := range values {
		path := filepath.Join(directory, "published", filepath.FromSlash(string(value.Name))+".json")
		if err := writeFile(path, append(value.Data, '\n')); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return fmt.Errorf("deploy: write %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return fmt.Errorf("deploy: write %s: %w", path, err)
	}
	return nil
}
