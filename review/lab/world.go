package main

// A small deployment on loopback addresses: store, targets, balancers, routers and clients.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// world is a running deployment.
type world struct {
	directory    string
	subnet       byte
	storeAddress netip.AddrPort
	seeds        []netip.Addr
	store        *store
	router       *router
	balancers    []*balancer
	targets      []*target
	clients      []*client
	started      time.Time

	mutex    sync.Mutex
	file     *os.File
	counts   counts
	sent     map[string]sending
	version  int
	routes   []route
	attempts int
	runs     []run
	// opened holds the target of each flow by the client's end, cuts the flows that were reset
	// while they were open.
	opened map[netip.AddrPort]*target
	cuts   []cut
}

// counts are the counts of a run.
type counts struct {
	forged   int
	outcomes map[string]int
}

// sending is an attempt of a client.
type sending struct {
	at    time.Time
	route netip.AddrPort
}

// run is a request that a target has begun to work on.
type run struct {
	attempt           string
	target            *target
	route             netip.AddrPort
	opening           arrival
	drainAcknowledged time.Time
	at                time.Time
	// inTouch is set if the balancer that took the first packet was in touch then.
	inTouch bool
}

// cut is a reset that a client got on an open flow.
type cut struct {
	end    netip.AddrPort
	target *target
	// byBalancer is set if the reset has the form of a balancer's.
	byBalancer bool
	at         time.Time
}

// route is a route of the configuration.
type route struct {
	address netip.AddrPort
	service string
	// added and dropped are when the store acknowledged the first version with the route, and
	// the first one without it.
	added, dropped time.Time
}

var zones = []string{"lorient", "vannes", "quimper", "rennes"}

// The machines, targets and clients of minuterie-bzh.toml.
var (
	balancersByZone = []int{2, 2, 2, 1}
	planningByZone  = []int{4, 4, 3, 3}
	journalByZone   = []int{1, 1, 1, 1}
)

const (
	planning = "huvo11a"
	journal  = "wuno96b"
)

// newWorld starts everything but the balancers.
func newWorld(recordPath string) (*world, error) {
	w := &world{
		sent: make(map[string]sending), opened: make(map[netip.AddrPort]*target), router: &router{}, started: time.Now(),
		counts: counts{outcomes: make(map[string]int)},
	}
	var err error
	if w.file, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if w.directory, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	w.storeAddress = netip.AddrPortFrom(w.ip(9, 1), 8169)
	if w.store, err = newStore(w.storeAddress); err != nil {
		return nil, err
	}
	for index, zone := range zones {
		c, err := newClient(w, zone, w.ip(3, index+1))
		if err != nil {
			return nil, err
		}
		w.clients = append(w.clients, c)
		for number := range balancersByZone[index] {
			w.balancers = append(w.balancers, &balancer{
				world: w, name: fmt.Sprintf("frontend-%s-%d", zone, number+1), zone: zone, ip: w.ip(1, len(w.balancers)+1),
			})
		}
	}
	for _, zone := range []int{0, 1, 2} {
		w.seeds = append(w.seeds, w.balancers[2*zone].ip)
	}
	return w, nil
}

// addTargets starts the targets.
func (w *world) addTargets() error {
	for index, zone := range zones {
		for _, spec := range []struct {
			service string
			count   int
		}{{planning, planningByZone[index]}, {journal, journalByZone[index]}} {
			for range spec.count {
				address := netip.AddrPortFrom(w.ip(2, len(w.targets)+1), 8080)
				t, err := newTarget(w, spec.service, zone, address)
				if err != nil {
					return err
				}
				w.targets = append(w.targets, t)
			}
		}
	}
	return nil
}

// startBalancers starts all balancers and waits until all are in rotation.
func (w *world) startBalancers(ctx context.Context) error {
	for _, b := range w.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	go func() { w.router.probe(ctx, w.balancers) }()
	for range 100 {
		if w.router.count() == len(w.balancers) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("balancers are not ready after 10 s")
}

// close ends all processes that were started.
func (w *world) close() {
	for _, b := range w.balancers {
		b.kill()
	}
	_ = w.file.Close()
	_ = os.RemoveAll(w.directory)
}

// freeSubnet returns a second octet of loopback addresses on which nothing listens.
func freeSubnet() (byte, error) {
	for range 50 {
		subnet := byte(20 + rand.IntN(200))
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, subnet, 9, 1}), 8169).String())
		if err == nil {
			_ = listener.Close()
			return subnet, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

func (w *world) ip(third byte, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet, third, byte(fourth)})
}

// since returns the seconds since the start.
func (w *world) since(at time.Time) float64 { return at.Sub(w.started).Seconds() }

// recordf writes a line to the record.
func (w *world) recordf(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.recordLocked(format, values...)
}

func (w *world) recordLocked(format string, values ...any) {
	_, _ = fmt.Fprintf(w.file, "%8.3f %s\n", w.since(time.Now()), fmt.Sprintf(format, values...))
}

func (w *world) count(update func(*counts)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	update(&w.counts)
}

// balancerAt returns the balancer with an address, nil if there is none.
func (w *world) balancerAt(ip netip.Addr) *balancer {
	for _, b := range w.balancers {
		if b.ip == ip {
			return b
		}
	}
	return nil
}

// addRoute adds a route to the next version of the configuration.
func (w *world) addRoute(service string) netip.AddrPort {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	number := len(w.routes)
	address := netip.AddrPortFrom(w.ip(100+byte(number/2500), 1+number%250), uint16(8000+number/250))
	w.routes = append(w.routes, route{address: address, service: service})
	return address
}

// dropRoute removes a route from the next version of the configuration.
func (w *world) dropRoute(address netip.AddrPort) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for index := range w.routes {
		if w.routes[index].address == address {
			w.routes[index].dropped = time.Unix(1<<40, 0) // not yet acknowledged
		}
	}
}

// publish writes the next version of the configuration and returns its size.
func (w *world) publish() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.version += 1 + rand.IntN(4)
	var list []map[string]any
	for index := range w.routes {
		r := &w.routes[index]
		if !r.dropped.IsZero() {
			continue
		}
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%07x", index), "hostname": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()),
			"type": "unsafe", "timeout_ms": 2000 + w.version%7, "slo_latency_ms": 200, "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{planning, journal} {
		services = append(services, map[string]any{"name": name, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	acknowledged := w.store.put("op/config", value)
	for index := range w.routes {
		r := &w.routes[index]
		if r.added.IsZero() {
			r.added = acknowledged
		}
		if !r.dropped.IsZero() && r.dropped.After(acknowledged.Add(time.Hour)) {
			r.dropped = acknowledged
		}
	}
	w.recordLocked("operator: version %d of %d bytes with %d routes is acknowledged", w.version, len(value), len(list))
	return len(value)
}

// routeAt returns a copy of the route with an address.
func (w *world) routeAt(address netip.AddrPort) route {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	index := slices.IndexFunc(w.routes, func(r route) bool { return r.address == address })
	return w.routes[index]
}

// traffic sends requests to a route from a client until the context is done, each on a flow of its
// own that stays open for the time hold after the answer.
func (w *world) traffic(ctx context.Context, c *client, address netip.AddrPort, perSecond float64, hold time.Duration) {
	for ctx.Err() == nil {
		go func() { w.request(c, address, hold) }()
		time.Sleep(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
	}
}

// request sends one attempt and records its outcome.
func (w *world) request(c *client, address netip.AddrPort, hold time.Duration) string {
	w.mutex.Lock()
	w.attempts++
	id := fmt.Sprintf("a%06d", w.attempts)
	w.sent[id] = sending{at: time.Now(), route: address}
	w.recordLocked("sent %s from %s to %s", id, c.zone, address)
	w.mutex.Unlock()
	outcome := c.attempt(address, id, hold)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts.outcomes[outcome]++
	w.recordLocked("ended %s: %s", id, outcome)
	return outcome
}

// flowOpened records the target of an open flow.
func (w *world) flowOpened(end netip.AddrPort, t *target) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.opened[end] = t
}

// flowCut records a reset that a client got on an open flow.
func (w *world) flowCut(end netip.AddrPort, byBalancer bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := cut{end: end, target: w.opened[end], byBalancer: byBalancer, at: time.Now()}
	id := "?"
	if c.target != nil {
		id = c.target.id
	}
	w.recordLocked("the flow of %s, open at %s, is reset (by a balancer: %t)", end, id, byBalancer)
	w.cuts = append(w.cuts, c)
}

// requestRun records that a target has begun to work on a request.
func (w *world) requestRun(r run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	name := "?"
	if b := w.balancerAt(r.opening.balancer); b != nil {
		name, r.inTouch = b.name, b.inTouch(r.opening.at)
	}
	w.recordLocked("run %s by %s (%s), opened at %.3f through %s", r.attempt, r.target.id, r.target.service, w.since(r.opening.at), name)
	w.runs = append(w.runs, r)
}

// summary writes the counts to the record.
func (w *world) summary() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var outcomes []string
	for outcome, number := range w.counts.outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", outcome, number))
	}
	slices.Sort(outcomes)
	w.recordLocked("attempts: %d (%s); requests run: %d; forged packets: %d", w.attempts, strings.Join(outcomes, ", "), len(w.runs), w.counts.forged)
}
