package soak

// What surrounds the balancers: store, backend servers and callers are stand-ins in this
// process.

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

// Ports, and the third number of the IP numbers of what listens, 127.SLOT.NET.NUMBER: peers,
// store and servers are reached by way of proxies in peerNet, storeNet and publicNet.
const (
	trafficPort, peerPort, adminPort, readyPort = 7700, 7701, 7702, 7703
	storePort, serverPort                       = 9000, 8000

	balancerNet, callerNet, serverNet, peerNet, storeNet, publicNet, centerNet = 1, 2, 3, 4, 5, 6, 9
)

const (
	domains = 3
	// serversEach is the number of servers of a service at the start, as on the users'
	// small sites.
	serversEach = 6
	// requestPause is the longest pause between two requests of a flow, and
	// requestsMost bounds them.
	requestPause = 300 * time.Millisecond
	requestsMost = 40
)

var services = []string{"planning", "journal"}

func domainName(number int) string { return fmt.Sprintf("domain-%d", number) }

// world is one run's deployment.
type world struct {
	config Config
	// context ends with the run.
	context   context.Context
	balancers []*balancer
	store     *stand.Store
	fabric    *router.Router

	mutex    sync.Mutex
	history  History
	servers  []*server
	routes   []Route
	version  int
	nextPort int
}

// server is a backend server behind a proxy.
type server struct {
	*stand.Server
	name    string
	service string
	domain  string
	number  int
	public  netip.AddrPort
	link    *proxy.Link
	streams *proxy.Streams
	stop    context.CancelFunc
	// chosen servers have been harmed.
	chosen bool
}

// ip returns an IP number of this run.
func (w *world) ip(net, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(w.config.Slot), byte(net), byte(number)})
}

func (w *world) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(w.ip(centerNet, 1), storePort)
}

// note changes the history.
func (w *world) note(change func(h *History)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change(&w.history)
}

// build starts all but the balancers' processes.
func build(ctx context.Context, config Config) (*world, error) {
	w := &world{config: config, context: ctx, store: stand.NewStore(), nextPort: 2000}
	listener, err := net.Listen("tcp4", w.storeAddress().String())
	if err != nil {
		return nil, fmt.Errorf("soak: store: %w", err)
	}
	web := &http.Server{Handler: w.store}
	go func() { _ = web.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = web.Close()
	}()
	for range services {
		w.addRoute()
	}
	for number := range serversEach * len(services) {
		if _, err := w.addServer(ctx, services[number%len(services)], netip.AddrPort{}); err != nil {
			return nil, err
		}
	}
	var ips []string
	for number := 1; number <= config.Balancers; number++ {
		b := &balancer{w: w, number: number, ip: w.ip(balancerNet, number)}
		if err := b.prepare(ctx); err != nil {
			return nil, err
		}
		w.balancers = append(w.balancers, b)
		ips = append(ips, b.ip.String())
	}
	w.fabric, err = router.New(ctx, router.Config{
		Caller: w.ip(callerNet, 1).String(), Port: trafficPort, ReadyPort: readyPort, Balancers: ips,
	})
	return w, err
}

// addServer starts a backend server and publishes it, at an address that was another's
// if one is given.
func (w *world) addServer(ctx context.Context, service string, public netip.AddrPort) (*server, error) {
	number := w.reserve(service)
	if !public.IsValid() {
		public = netip.AddrPortFrom(w.ip(publicNet, number), serverPort)
	}
	ctx, stop := context.WithCancel(ctx)
	s := &server{
		name: serverName(number), service: service, domain: domainName(number % domains), number: number,
		public: public, link: &proxy.Link{}, stop: stop,
	}
	var err error
	s.Server, err = stand.NewServer(stand.ServerConfig{
		ID: s.name, BackendID: state.BackendID(number), CallerPort: trafficPort, PublishedAddress: public,
		Address:   netip.AddrPortFrom(w.ip(serverNet, number), 0),
		OnArrival: func(a stand.Arrival) { w.note(func(h *History) { h.Arrivals = append(h.Arrivals, a) }) },
	})
	if err != nil {
		stop()
		return nil, err
	}
	if s.streams, err = proxy.NewStreams(ctx, public, s.Address(), s.link); err != nil {
		stop()
		return nil, err
	}
	if _, err = proxy.NewDatagrams(ctx, public, s.Address(), s.link); err != nil {
		stop()
		return nil, err
	}
	w.mutex.Lock()
	w.servers = append(w.servers, s)
	w.mutex.Unlock()
	w.publish(s, "ready")
	return s, nil
}

// reserve enters a server's life and returns its number. Steps that overlap may each start
// a server.
func (w *world) reserve(service string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	number := len(w.history.Lives) + 1
	w.history.Lives = append(w.history.Lives, Life{Name: serverName(number), Service: service})
	return number
}

func serverName(number int) string { return fmt.Sprintf("i-%04x", number) }

func (w *world) publish(s *server, standing string) {
	w.store.Put(s.StoreKey(), s.Entry(s.service, s.domain, standing))
}

// life changes what is known of a server.
func (w *world) life(s *server, change func(l *Life)) {
	w.note(func(h *History) { change(&h.Lives[s.number-1]) })
}

// addRoutes publishes some more routes, at once.
func (w *world) addRoutes(count int) []Route {
	w.mutex.Lock()
	first := len(w.routes)
	for number := first; number < first+count; number++ {
		w.routes = append(w.routes, Route{Listen: state.NewEndpoint(0xC6120001, uint16(443+number)), Service: services[number%len(services)]})
	}
	added := slices.Clone(w.routes[first:])
	w.mutex.Unlock()
	w.configure()
	for _, route := range added {
		w.setRoute(route.Listen, func(r *Route) { r.Added = time.Now() })
	}
	return added
}

// addRoute publishes one more route.
func (w *world) addRoute() Route { return w.addRoutes(1)[0] }

// dropRoute withdraws a route.
func (w *world) dropRoute(route Route) {
	w.setRoute(route.Listen, func(r *Route) { r.Dropped = time.Now() })
	w.configure()
	w.setRoute(route.Listen, func(r *Route) { r.Dropped = time.Now() })
}

func (w *world) setRoute(listen state.Endpoint, change func(r *Route)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for index := range w.routes {
		if w.routes[index].Listen == listen {
			change(&w.routes[index])
		}
	}
}

// live returns the routes that are published.
func (w *world) live() []Route {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []Route
	for _, route := range w.routes {
		if route.Dropped.IsZero() {
			list = append(list, route)
		}
	}
	return list
}

// configure publishes a new version with the routes there are.
func (w *world) configure() {
	var routes []string
	for _, route := range w.live() {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","hostname":"198.18.0.1","prefix":"/%d/","type":"unsafe","timeout_ms":4000,"service":%q}`,
			route.Listen.Port(), route.Listen.Port(), route.Service))
	}
	w.mutex.Lock()
	w.version += 3
	version := w.version
	w.mutex.Unlock()
	w.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"limits":{"idle_timeout_ms":15000}}`, version, strings.Join(routes, ",")))
}

// call opens one flow after the other and makes requests until the context ends.
func (w *world) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		routes := w.live()
		w.callOnce(ctx, routes[random.IntN(len(routes))], random)
		time.Sleep(time.Duration(random.Int64N(int64(requestPause))))
	}
}

// callOnce opens a flow and makes some requests.
func (w *world) callOnce(ctx context.Context, route Route, random *rand.Rand) {
	w.mutex.Lock()
	w.nextPort++
	port := w.nextPort
	w.mutex.Unlock()
	began := time.Now()
	f, err := w.fabric.Open(uint16(port), route.Listen)
	w.called(Call{Began: began, Listen: route.Listen, Opening: true, Err: err})
	if err != nil {
		return
	}
	defer f.Close()
	for number := range 1 + random.IntN(requestsMost) {
		if ctx.Err() != nil {
			return
		}
		request := fmt.Sprintf("request %d of port %d", number, port)
		began := time.Now()
		err := f.Ask(request)
		w.called(Call{Began: began, Listen: route.Listen, Server: f.Server, Request: request, Err: err})
		if err != nil {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(requestPause))))
	}
}

func (w *world) called(c Call) {
	c.Ended = time.Now()
	w.note(func(h *History) { h.Calls = append(h.Calls, c) })
}
