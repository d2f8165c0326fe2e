package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Bounds and limits of the deployment.
const (
	// configApply is config_apply_ms of the users' small sites, and applyMargin what a request is
	// sent later than that.
	configApply = 3 * time.Second
	applyMargin = time.Second
	// requestDeadline is the deadline of a request.
	requestDeadline = 5 * time.Second
	// requestWork is how long a target works on a request.
	requestWork = 40 * time.Millisecond
)

// configuration returns a value of op/config with a route to each of the services, on a port of its
// own.
func configuration(version int, services ...string) string {
	return configurationOf(version, services, services)
}

// configurationOf returns a value of op/config that names the services, and has routes to those given
// for each port.
func configurationOf(version int, services, targetsOfRoutes []string) string {
	routes, names := "", ""
	for index, service := range targetsOfRoutes {
		if index > 0 {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r-%d","hostname":%q,"prefix":"/%d/","type":"unsafe","timeout_ms":2000,"slo_latency_ms":200,"priority":1,"service":%q,"max_attempts":2}`,
			index+1, routeIP, routePort(index), service)
	}
	for index, service := range services {
		if index > 0 {
			names += ","
		}
		names += fmt.Sprintf(`{"name":%q,"health_check_path":"/health","max_connections":2000,"protocol":"h1","tls":false}`, service)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routes, names)
}

// routeIP is the address of the routes. Nothing listens on it.
var routeIP = netip.MustParseAddr("127.200.0.1")

func routePort(index int) int { return 8080 + index }

// routeAddress returns the address of a route.
func routeAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(routeIP, uint16(routePort(index)))
}

// deployment is a small deployment with its stand-ins.
type deployment struct {
	options
	plan    plan
	store   *store
	fleet   *fleet
	client  *client
	zones   []string
	targets []*target
}

// fourZones are the zones of the machines of a deployment of four.
var fourZones = []string{"east", "west", "east", "west"}

const maxTargets = 90

// startDeployment starts the store, the client and a balancer in each of the zones. The store has the
// configuration already.
func startDeployment(o options, config string, zones []string) (*deployment, error) {
	p, err := freePlan(len(zones), maxTargets)
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, plan: p, store: newStore(), zones: zones}
	for number := range zones {
		server := &http.Server{Addr: p.address(4, number+1, storePort).String(), Handler: d.store.handler(number)}
		go func() { _ = server.ListenAndServe() }()
	}
	d.store.put("op/config", config)
	o.record.line("the operator has written op/config: %s", config)
	if d.client, err = startClient(p.address(2, 1, trafficPort), o.record); err != nil {
		return nil, err
	}
	d.fleet, err = startFleet(p, o.root, o.directory, zones, o.record)
	return d, err
}

func (d *deployment) stop() {
	if d.fleet != nil {
		d.fleet.stop()
	}
	for _, t := range d.targets {
		t.stop()
	}
}

// addTargets starts targets of a service, one after the other in the zones.
func (d *deployment) addTargets(service string, count int) error {
	for range count {
		if err := d.startTarget(service, d.plan.address(3, len(d.targets)+1, targetPort)); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts a target of a service at an address.
func (d *deployment) startTarget(service string, address netip.AddrPort) error {
	number := len(d.targets) + 1
	t := &target{
		id: fmt.Sprintf("i-7f3a91%02x", number), number: 0x7f3a9100 + uint64(number), service: service,
		zone: d.zones[number%len(d.zones)], address: address, callerPort: trafficPort,
		store: d.store, record: d.record, work: requestWork,
	}
	if err := startTarget(t); err != nil {
		return err
	}
	d.targets = append(d.targets, t)
	return nil
}

// requestAll sends requests to a route through each machine in turn, and returns the number of those
// that were not served, by outcome.
func (d *deployment) requestAll(label string, route, rounds int, pause time.Duration) map[outcome]int {
	unserved := make(map[outcome]int)
	for round := range rounds {
		for _, m := range d.fleet.machines {
			id := fmt.Sprintf("%s-%d-%s", label, round, m.name)
			if got := d.client.attempt(id, routeAddress(route), m.traffic, requestDeadline); got.outcome != served {
				unserved[got.outcome]++
			}
		}
		time.Sleep(pause)
	}
	return unserved
}

// playNewService adds a service to a running deployment: its targets start and register, and then a
// new configuration names it and adds a route to it. Without trouble, the configuration has the
// service and the route from the start.
func playNewService(o options) (string, error) {
	config := configuration(3, "planning")
	if !o.trouble {
		config = configuration(3, "planning", "reports")
	}
	d, err := startDeployment(o, config, fourZones)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return "", err
	}
	if err := d.addTargets("planning", 4); err != nil {
		return "", err
	}
	if err := d.fleet.awaitRotation(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second) // stable_window_ms is over for all machines
	if unserved := d.requestAll("before", 0, 2, 0); len(unserved) > 0 {
		return "", fmt.Errorf("requests before the change were not served: %v", unserved)
	}
	if err := d.addTargets("reports", 2); err != nil {
		return "", err
	}
	time.Sleep(coldTime + 2*heartbeatInterval) // until the targets are warm
	if o.trouble {
		config = configuration(7, "planning", "reports")
		d.store.put("op/config", config)
		o.record.line("the operator has written op/config: %s", config)
	}
	time.Sleep(configApply + applyMargin)
	unserved := d.requestAll("new-route", 1, 10, 500*time.Millisecond)
	if others := d.requestAll("old-route", 0, 2, 0); len(others) > 0 {
		return "", fmt.Errorf("requests on the old route were not served: %v", others)
	}
	// What a rolling restart changes is recorded, and not judged.
	for _, m := range d.fleet.machines {
		if err := m.restart(o.record); err != nil {
			return "", err
		}
		if err := d.fleet.awaitRotation(10 * time.Second); err != nil {
			return "", err
		}
	}
	o.record.line("after a rolling restart, not served on the new route: %v", d.requestAll("after-restart", 1, 2, 0))
	if len(unserved) > 0 {
		return fmt.Sprintf("of %d requests sent on the new route later than %s after the configuration was acknowledged, these were not served: %v",
			10*len(d.fleet.machines), configApply, unserved), nil
	}
	return "", nil
}
