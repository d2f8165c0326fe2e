package soak

// The environment of the balancers: store, backend servers, router and callers, all simulated
// in this process.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform/stand"
	"wigeonmoor.example/wigeonlab/internal/proxy"
	"wigeonmoor.example/wigeonlab/internal/router"
)

// Ports, and the third octet of the IP addresses, which are 127.SUBNET.NET.NUMBER. Balancers
// reach their peers, the store and the servers through proxies, which listen in peerProxyNet,
// storeProxyNet and serverProxyNet.
const (
	trafficPort, peerPort, adminPort, readyPort = 7700, 7701, 7702, 7703
	storePort, serverPort                       = 9000, 8000

	balancerNet, callerNet, serverNet, peerProxyNet, storeProxyNet, serverProxyNet, sharedStoreNet = 1, 2, 3, 4, 5, 6, 9
)

const (
	domainCount = 3
	// initialServersPerService is the number of servers of a service at the start of a
	// run, as in small deployments.
	initialServersPerService = 6
	// maxRequestPause is the longest pause between two requests of a flow, and between
	// two flows of a caller. maxRequestsPerFlow is the maximum number of requests of a
	// flow.
	maxRequestPause    = 300 * time.Millisecond
	maxRequestsPerFlow = 40
)

var serviceNames = []string{"planning", "journal"}

func domainName(number int) string { return fmt.Sprintf("domain-%d", number) }

// environment is the deployment of a run, with the history of what was observed in it. The
// mutex guards the fields below it.
type environment struct {
	config Config
	// context is canceled at the end of the run.
	context   context.Context
	balancers []*balancer
	store     *stand.Store
	router    *router.Router

	// publishMutex serializes publications of the configuration.
	publishMutex sync.Mutex

	mutex         sync.Mutex
	history       History
	servers       []*proxiedServer
	routes        []Route
	configVersion int
	// evacuated is the failure domain under evacuation, empty for none.
	evacuated string
	// restores is the number of StoreRestore steps in progress. misroutedBefore holds the
	// servers' counts of misrouted packets from before the first of them.
	restores        int
	misroutedBefore map[*proxiedServer]int64
	// lastPort is the port of the caller that opened the latest flow.
	lastPort int
}

// proxiedServer is a simulated backend server behind a proxy, which listens on the published
// address.
type proxiedServer struct {
	*stand.Server
	name             string
	service          string
	domain           string
	number           int
	publishedAddress netip.AddrPort
	link             *proxy.Link
	streams          *proxy.StreamRelay
	stop             context.CancelFunc
	// disturbed is set once a step has selected the server.
	disturbed bool
}

// ip returns the IP address 127.SUBNET.net.number.
func (e *environment) ip(net, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(e.config.Subnet), byte(net), byte(number)})
}

func (e *environment) sharedStoreAddress() netip.AddrPort {
	return netip.AddrPortFrom(e.ip(sharedStoreNet, 1), storePort)
}

// record updates the history while holding the mutex.
func (e *environment) record(update func(h *History)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	update(&e.history)
}

// newEnvironment starts everything but the balancer processes.
func newEnvironment(ctx context.Context, config Config) (*environment, error) {
	e := &environment{config: config, context: ctx, store: stand.NewStore(), lastPort: 2000}
	listener, err := net.Listen("tcp4", e.sharedStoreAddress().String())
	if err != nil {
		return nil, fmt.Errorf("soak: listen for the store: %w", err)
	}
	httpServer := &http.Server{Handler: e.store}
	go func() { _ = httpServer.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = httpServer.Close()
	}()
	for range serviceNames {
		e.addRoute()
	}
	for number := range initialServersPerService * len(serviceNames) {
		if _, err := e.addServer(ctx, serviceNames[number%len(serviceNames)], netip.AddrPort{}); err != nil {
			return nil, err
		}
	}
	var ips []string
	for number := 1; number <= config.Balancers; number++ {
		b := &balancer{env: e, number: number, ip: e.ip(balancerNet, number)}
		if err := b.prepare(ctx); err != nil {
			return nil, err
		}
		e.balancers = append(e.balancers, b)
		ips = append(ips, b.ip.String())
	}
	e.router, err = router.New(ctx, router.Config{
		Caller: e.ip(callerNet, 1).String(), Port: trafficPort, ReadyPort: readyPort, Balancers: ips,
	})
	return e, err
}

// addServer starts a backend server and its proxy, and publishes its entry. If publishedAddress
// is valid, the server reuses that address of an earlier server; otherwise it gets a new one.
func (e *environment) addServer(ctx context.Context, service string, publishedAddress netip.AddrPort) (*proxiedServer, error) {
	number := e.reserveNumber(service)
	if !publishedAddress.IsValid() {
		publishedAddress = netip.AddrPortFrom(e.ip(serverProxyNet, number), serverPort)
	}
	ctx, stop := context.WithCancel(ctx)
	s := &proxiedServer{
		name: serverName(number), service: service, domain: domainName(number % domainCount), number: number,
		publishedAddress: publishedAddress, link: &proxy.Link{}, stop: stop,
	}
	var err error
	s.Server, err = stand.NewServer(stand.ServerConfig{
		ID: s.name, BackendID: state.BackendID(number), CallerPort: trafficPort, PublishedAddress: publishedAddress,
		Address:   netip.AddrPortFrom(e.ip(serverNet, number), 0),
		OnArrival: func(a stand.Arrival) { e.record(func(h *History) { h.Arrivals = append(h.Arrivals, a) }) },
	})
	if err != nil {
		stop()
		return nil, err
	}
	if s.streams, err = proxy.NewStreamRelay(ctx, publishedAddress, s.Address(), s.link); err != nil {
		stop()
		return nil, err
	}
	if _, err = proxy.NewDatagramRelay(ctx, publishedAddress, s.Address(), s.link); err != nil {
		stop()
		return nil, err
	}
	e.mutex.Lock()
	e.servers = append(e.servers, s)
	e.mutex.Unlock()
	e.publishServer(s, "ready")
	return s, nil
}

// reserveNumber adds a server to the history and returns its number. It does both under the
// mutex because overlapping steps may start servers at the same time.
func (e *environment) reserveNumber(service string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	number := len(e.history.Servers) + 1
	e.history.Servers = append(e.history.Servers, ServerRecord{Name: serverName(number), Service: service, Domain: domainName(number % domainCount)})
	return number
}

func serverName(number int) string { return fmt.Sprintf("i-%04x", number) }

// publishServer publishes a server's entry with the given state.
func (e *environment) publishServer(s *proxiedServer, serverState string) {
	e.store.Put(s.StoreKey(), s.Entry(s.service, s.domain, serverState))
}

// updateServer updates a server's record in the history.
func (e *environment) updateServer(s *proxiedServer, update func(r *ServerRecord)) {
	e.record(func(h *History) { update(&h.Servers[s.number-1]) })
}

// addRoutes publishes count new routes in one configuration version.
func (e *environment) addRoutes(count int) []Route {
	e.mutex.Lock()
	first := len(e.routes)
	for number := first; number < first+count; number++ {
		e.routes = append(e.routes, Route{Listen: state.NewEndpoint(0xC6120001, uint16(443+number)), Service: serviceNames[number%len(serviceNames)]})
	}
	added := slices.Clone(e.routes[first:])
	e.mutex.Unlock()
	e.publishRoutes()
	for _, route := range added {
		e.updateRoute(route.Listen, func(r *Route) { r.Added = time.Now() })
	}
	return added
}

// addRoute publishes a new route.
func (e *environment) addRoute() Route { return e.addRoutes(1)[0] }

// dropRoute publishes a configuration version without a route. The time of the drop is set
// before, which excludes the route from the new version, and again afterwards, when the
// propagation limit begins.
func (e *environment) dropRoute(route Route) {
	e.updateRoute(route.Listen, func(r *Route) { r.Dropped = time.Now() })
	e.publishRoutes()
	e.updateRoute(route.Listen, func(r *Route) { r.Dropped = time.Now() })
}

// updateRoute updates the history of the route with the given address.
func (e *environment) updateRoute(listen state.Endpoint, update func(r *Route)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for index := range e.routes {
		if e.routes[index].Listen == listen {
			update(&e.routes[index])
		}
	}
}

// publishedRoutes returns the routes that have not been dropped.
func (e *environment) publishedRoutes() []Route {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var published []Route
	for _, route := range e.routes {
		if route.Dropped.IsZero() {
			published = append(published, route)
		}
	}
	return published
}

// publishRoutes publishes a new configuration version with the routes that have not been dropped.
// Versions increase but are not consecutive.
func (e *environment) publishRoutes() {
	// A later version must not have an earlier list of routes.
	e.publishMutex.Lock()
	defer e.publishMutex.Unlock()
	var routes []string
	for _, route := range e.publishedRoutes() {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","hostname":"198.18.0.1","prefix":"/%d/","type":"unsafe","timeout_ms":4000,"slo_latency_ms":250,"priority":1,"service":%q}`,
			route.Listen.Port(), route.Listen.Port(), route.Service))
	}
	var services []string
	for _, name := range serviceNames {
		services = append(services, fmt.Sprintf(`{"name":%q}`, name))
	}
	e.mutex.Lock()
	e.configVersion += 3
	version := e.configVersion
	e.mutex.Unlock()
	e.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"idle_timeout_ms":15000}}`, version, strings.Join(routes, ","), strings.Join(services, ",")))
}

// runCaller opens one flow after another, each to a random route, until the context is
// canceled.
func (e *environment) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		routes := e.publishedRoutes()
		e.runFlow(ctx, routes[random.IntN(len(routes))], random)
		time.Sleep(time.Duration(random.Int64N(int64(maxRequestPause))))
	}
}

// runFlow opens a flow from a new port and sends a random number of requests on it.
func (e *environment) runFlow(ctx context.Context, route Route, random *rand.Rand) {
	e.mutex.Lock()
	e.lastPort++
	port := e.lastPort
	e.mutex.Unlock()
	started := time.Now()
	f, err := e.router.Open(uint16(port), route.Listen)
	e.recordCall(Call{Started: started, Listen: route.Listen, Opening: true, Err: err})
	if err != nil {
		return
	}
	defer f.Close()
	for number := range 1 + random.IntN(maxRequestsPerFlow) {
		if ctx.Err() != nil {
			return
		}
		request := fmt.Sprintf("request %d of port %d", number, port)
		started := time.Now()
		err := f.Request(request)
		e.recordCall(Call{Started: started, Listen: route.Listen, Server: f.Server, Request: request, Err: err})
		if err != nil {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxRequestPause))))
	}
}

func (e *environment) recordCall(c Call) {
	c.Ended = time.Now()
	e.record(func(h *History) { h.Calls = append(h.Calls, c) })
}
