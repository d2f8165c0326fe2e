// Package deploy describes the two example deployments. All addresses are loopback addresses,
// so that a deployment runs on one machine.
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

// Deployment describes the balancers and services of one operator.
type Deployment struct {
	Name   string
	Region string
	// Domains are the names of the failure domains.
	Domains  []string
	Services []serviceSpec
	// Subnet is the second octet of the deployment's IP addresses, 127.Subnet.x.y.
	Subnet byte
	// Balancers is the number of balancers.
	Balancers int
	HashSeed  flow.Seed
}

// serviceSpec describes a service: its name, the number of its backend servers, and the number of
// request slots of each server.
type serviceSpec struct {
	name     string
	backends int
	slots    int
}

// The ports, which are the same in all deployments.
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

// The permissions of the directories and files that are written.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// All returns the example deployments.
func All() []Deployment {
	return []Deployment{
		{
			Name:      "horodis",
			Region:    "brittany",
			Domains:   []string{"lorient", "vannes", "quimper", "rennes"},
			Services:  []serviceSpec{{"planning", 15, 2}, {"journal", 4, 2}},
			Subnet:    10,
			Balancers: 8,
			HashSeed:  5310964728,
		},
		{
			Name:      "hanji",
			Region:    "gyeonggi",
			Domains:   []string{"anseong", "pyeongtaek", "icheon"},
			Services:  []serviceSpec{{"line-feed", 15, 3}, {"spec-upload", 4, 3}},
			Subnet:    20,
			Balancers: 8,
			HashSeed:  9027715364,
		},
	}
}

// ByName returns the deployment with a name, or an error that lists the valid names.
func ByName(name string) (Deployment, error) {
	var names []string
	for _, deployment := range All() {
		if deployment.Name == name {
			return deployment, nil
		}
		names = append(names, deployment.Name)
	}
	return Deployment{}, fmt.Errorf("deploy: unknown deployment %q: use %s", name, strings.Join(names, " or "))
}

func (d Deployment) loopbackAddress(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.Subnet, third, fourth}), port)
}

func (d Deployment) fabricName() string { return d.Region + "-1" }

// PlatformAddress, FabricAddress, FabricReturnAddress and CallerAddress return the addresses of
// the simulated platform, fabric and callers. The fabric receives packets from callers at
// FabricAddress, and packets from balancers at FabricReturnAddress.
func (d Deployment) PlatformAddress() netip.AddrPort     { return d.loopbackAddress(9, 1, 9000) }
func (d Deployment) FabricAddress() netip.AddrPort       { return d.loopbackAddress(9, 2, fabricPort) }
func (d Deployment) FabricReturnAddress() netip.AddrPort { return d.loopbackAddress(9, 2, returnPort) }
func (d Deployment) CallerAddress() netip.AddrPort       { return d.loopbackAddress(9, 3, callerPort) }

// Instances returns the list of balancers.
func (d Deployment) Instances() config.Instances {
	list := config.Instances{}
	for index := range d.Balancers {
		number := byte(index + 1)
		list.Instances = append(list.Instances, config.Instance{
			Name:    fmt.Sprintf("%s-entry-%d", d.Name, number),
			Domain:  d.Domains[index%len(d.Domains)],
			Rack:    fmt.Sprintf("rack-%d", index/len(d.Domains)+1),
			Fabric:  d.fabricName(),
			Address: d.loopbackAddress(1, number, peerPort),
			Traffic: d.loopbackAddress(1, number, trafficPort),
			State:   config.InstanceLive,
		})
	}
	return list
}

// Documents returns the configuration to publish.
func (d Deployment) Documents() config.Documents {
	documents := config.Documents{Index: config.Index{HashSeed: d.HashSeed}}
	for _, domain := range d.Domains {
		documents.Domains = append(documents.Domains, config.Domain{Name: domain, Region: d.Region, Fabric: d.fabricName()})
	}
	prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{198, 51, 100, 0}), 24)
	documents.Teams = []config.Team{{Name: d.Name, Addresses: []netip.Prefix{prefix}, MaxServices: 10, MaxBackends: 100}}
	for index := range d.Services {
		documents.Services = append(documents.Services, d.serviceDocument(index))
	}
	return documents
}

// serviceDocument returns the document of the service with the given index.
func (d Deployment) serviceDocument(index int) config.Service {
	spec := d.Services[index]
	result := config.Service{
		Name:        spec.name,
		Team:        d.Name,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(index + 1)}), servicePort),
		Protocol:    flow.TCP,
		Return:      config.ReturnDirect,
		IdleTimeout: config.Duration(4 * time.Hour),
		ColdStart:   config.Duration(30 * time.Second),
	}
	for number := range spec.backends {
		result.Backends = append(result.Backends, d.Backend(index, number))
	}
	return result
}

// Backend returns a backend server. Services, and the servers of a service, are numbered from 0.
func (d Deployment) Backend(service, number int) config.Backend {
	spec := d.Services[service]
	return config.Backend{
		Name:    fmt.Sprintf("%s-%d", spec.name, number+1),
		Domain:  d.Domains[number%len(d.Domains)],
		Address: d.loopbackAddress(byte(100+service), byte(number+1), backendPort),
		Load:    d.loopbackAddress(byte(100+service), byte(number+1), loadPort),
		Weight:  100,
		Slots:   spec.slots,
		State:   config.Active,
	}
}

// Settings returns the contents of a balancer's settings file.
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
		instance.Traffic, instance.Address, admin, d.PlatformAddress(), d.FabricReturnAddress())
}

// Write writes the settings files to the subdirectory settings, and the values to publish to
// the subdirectory published.
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
		return fmt.Errorf("deploy: encode the list of balancers: %w", err)
	}
	values := append(bundle.Values, bundle.Index, config.Value{Name: watch.InstancesName(d.fabricName()), Data: list})
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
