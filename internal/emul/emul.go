// Package emul emulates a deployment of balancers with the Tagged binding, for tests. It
// runs the real tagged.Core and gossip.Node of each balancer, and simulates everything
// around them: the platform's store, routers, callers, backend servers, links and
// process failures.
//
// All events of a deployment run in one event loop on the fake clock of a synctest
// bubble, so a run takes little real time. All random numbers derive from one seed. A
// deployment counts the results of the callers' requests, and records a violation
// whenever a guarantee is broken, for example when a balancer resets a flow of a live
// server.
//
// Balancers and servers exchange typed packets. The wire format is not emulated, because
// the tests of package platform cover it, nor is the processor time that a balancer uses,
// which can only be measured on a real machine.
package emul

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/policy"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// Config describes a deployment.
type Config struct {
	// Seed initializes the random number generators.
	Seed uint64
	// Domains is the number of failure domains, BalancersPerDomain the number of
	// balancers in each of them.
	Domains, BalancersPerDomain int
	Services                    []Service
	Classes                     []Class
	// IntraDomainDelay and CrossDomainDelay are the one-way delays within a failure domain
	// and between two of them. CallerDelay is the one-way delay between callers and the
	// deployment.
	IntraDomainDelay, CrossDomainDelay, CallerDelay time.Duration
	// LearnServers lets the balancers learn how servers serve.
	LearnServers bool
	// Policy selects the backend servers for new flows. If it is nil, the balancers use
	// their default policy.
	Policy policy.Policy
	// LossRate is the probability, from 0 to 1, that a packet is lost.
	LossRate float64
	// LinkRate is the outgoing capacity of a balancer's link in bytes per second. 0 means
	// unlimited.
	LinkRate float64
}

// Service describes a set of identical backend servers.
type Service struct {
	Name string
	// ServersPerDomain is the number of servers in each failure domain. Each server
	// processes up to Slots requests concurrently and queues up to QueueLimit more.
	ServersPerDomain, Slots, QueueLimit int
	// ColdRate is the number of requests per second that a server processes while it is cold,
	// for ColdStart after its start, 0 if that is not limited.
	ColdRate  float64
	ColdStart time.Duration
}

// coldOverage and coldSlack say by how much the rate of a cold server may be exceeded.
const coldOverage, coldSlack = 1.5, 5.0

// Class describes a kind of request. Each class has a route of its own.
type Class struct {
	// Name is the name of the class and of its route. Service is the name of the service
	// that processes the requests.
	Name, Service string
	// RequestRate is the number of requests per second in all failure domains together.
	RequestRate float64
	// MeanWorkTime is the mean time for which a request occupies a slot.
	MeanWorkTime time.Duration
	// Objective is the latency objective of a request. Deadline is the latency at which
	// the caller gives up.
	Objective, Deadline time.Duration
	// Idempotent requests are retried even if a server may have processed them.
	Idempotent bool
	// RequestsPerFlow is the number of requests that a caller makes, if possible on one
	// flow. A value above 1 results in long-lived flows.
	RequestsPerFlow int
	// SinglePacketShare is the fraction of answers that fit into one packet. Callers
	// acknowledge such an answer only with their next request.
	SinglePacketShare float64
}

// TimerServiceConfig returns the configuration of a deployment that serves a timer
// application at its usual load.
func TimerServiceConfig(seed uint64) Config {
	return Config{
		Seed: seed, Domains: 4, BalancersPerDomain: 2,
		IntraDomainDelay: 100 * time.Microsecond, CrossDomainDelay: 1400 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Services: []Service{
			{Name: "planning", ServersPerDomain: 4, Slots: 2, QueueLimit: 8},
			{Name: "journal", ServersPerDomain: 1, Slots: 2, QueueLimit: 8},
		},
		Classes: []Class{
			{Name: "listen", Service: "planning", RequestRate: 292, MeanWorkTime: 30 * time.Millisecond, Objective: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotent: true, RequestsPerFlow: 10, SinglePacketShare: 0.1},
			{Name: "change", Service: "planning", RequestRate: 83, MeanWorkTime: 39 * time.Millisecond, Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, RequestsPerFlow: 1},
			{Name: "logbook", Service: "journal", RequestRate: 25, MeanWorkTime: 5 * time.Millisecond, Objective: 500 * time.Millisecond, Deadline: 5 * time.Second, RequestsPerFlow: 1},
		},
	}
}

// Result counts the requests of a class by their outcome.
type Result struct {
	// Requests counts all requests that callers started. InObjective counts those that
	// were answered within the latency objective, Late those that were answered after it,
	// and Failed those that were not answered.
	Requests, InObjective, Late, Failed int
	// Shed counts the requests that backend servers rejected because their queue was full.
	// A caller may retry a rejected request.
	Shed int
}

// Deployment is a running deployment. It must be used within a synctest bubble, from the
// goroutine that calls Run.
type Deployment struct {
	Balancers []*Balancer
	Servers   []*Server
	// Results maps the names of classes to their results.
	Results map[string]*Result
	// Violations describes each broken guarantee.
	Violations []string

	config Config
	loop   model.Loop
	random *rand.Rand
	// store holds the state that the platform's store publishes, and storeLog the writes
	// that it results from.
	store    *state.Replica
	storeLog []storeWrite
	revision state.Revision
	// epoch counts the restores of the store.
	epoch   state.Epoch
	version state.Version
	// configuration is the configuration that was published last, publishedAt the time at
	// which the store acknowledged it.
	configuration *state.Configuration
	publishedAt   time.Time
	// droppedRoutes maps the classes without a route to the times at which their routes
	// were dropped.
	droppedRoutes map[string]time.Time
	// partitions maps failure domains to the numbers of their network partitions. Domains
	// that are not in the map are in partition 0.
	partitions map[string]int
	// nextPort counts the flows. The address and port of a flow's caller are derived from it.
	nextPort int
	// storeDown is set during an outage of the store.
	storeDown bool
	// storeChangedAt and linksChangedAt are the times at which the availability of the
	// store and the partitions last changed.
	storeChangedAt, linksChangedAt time.Time
	// evacuatedAt has the times at which the store acknowledged the current evacuations.
	evacuatedAt map[string]time.Time
	// flows holds all flows that callers have created, including closed ones.
	flows map[tagged.Key]*flow
}

// New creates a deployment and starts its servers and balancers.
func New(config Config) *Deployment {
	d := &Deployment{
		config:        config,
		random:        rand.New(rand.NewPCG(config.Seed, 99)),
		store:         state.NewReplica(),
		Results:       make(map[string]*Result),
		droppedRoutes: make(map[string]time.Time),
		partitions:    make(map[string]int),
		evacuatedAt:   make(map[string]time.Time),
		flows:         make(map[tagged.Key]*flow),
	}
	d.revision = 1
	d.applyToStore(state.Delta{Full: true, To: d.revision})
	for domain := range config.Domains {
		for _, service := range config.Services {
			for range service.ServersPerDomain {
				d.AddServer(service.Name, domainName(domain))
			}
		}
		for range config.BalancersPerDomain {
			d.addBalancer(domainName(domain))
		}
	}
	d.PublishConfiguration(nil)
	for index := range config.Classes {
		class := &config.Classes[index]
		d.Results[class.Name] = &Result{}
	}
	for _, b := range d.Balancers {
		b.Start()
	}
	return d
}

func domainName(index int) string { return fmt.Sprintf("domain-%d", index) }

// Run processes all events of the given duration. If startCallers is set, new callers
// start during that time; existing callers continue in either case.
func (d *Deployment) Run(duration time.Duration, startCallers bool) {
	end := time.Now().Add(duration)
	if startCallers {
		for index := range d.config.Classes {
			d.scheduleCallers(&d.config.Classes[index], end)
		}
	}
	d.loop.Run(duration)
}

// PublishConfiguration publishes a new version of the configuration, which has a route for
// each class that is not in droppedClasses. Versions increase but are not consecutive.
func (d *Deployment) PublishConfiguration(droppedClasses map[string]bool) {
	d.version += 3
	configuration := &state.Configuration{Version: d.version, IdleTimeout: 15 * time.Second}
	for index := range d.config.Classes {
		class := &d.config.Classes[index]
		if droppedClasses[class.Name] {
			d.droppedRoutes[class.Name] = time.Now()
			continue
		}
		delete(d.droppedRoutes, class.Name)
		configuration.Routes = append(configuration.Routes, state.Route{
			Name: class.Name, Listen: d.listenEndpoint(class), Idempotent: class.Idempotent,
			Shares:  []state.Share{{Service: class.Service, Weight: 1}},
			Timeout: class.Deadline, Objective: class.Objective,
		})
	}
	for _, service := range d.config.Services {
		configuration.Services = append(configuration.Services, state.Service{Name: service.Name, ColdRate: service.ColdRate, ColdStart: service.ColdStart})
	}
	d.configuration = configuration
	d.writeConfiguration()
}

// writeConfiguration writes the configuration that was published last to the store.
func (d *Deployment) writeConfiguration() {
	d.revision++
	configuration := *d.configuration
	configuration.Revision = d.revision
	d.publishedAt = time.Now()
	d.publish(state.Delta{Configuration: &configuration})
}

// SetEvacuated evacuates a failure domain or takes that back. If becomeCold is set, the servers of a
// domain that was empty are cold from then on.
func (d *Deployment) SetEvacuated(index int, evacuated, becomeCold bool) {
	domain := domainName(index)
	at, was := d.evacuatedAt[domain]
	becomeCold = becomeCold && was && time.Since(at) > evacuationLimit
	delete(d.evacuatedAt, domain)
	if evacuated {
		d.evacuatedAt[domain] = time.Now()
	}
	for _, s := range d.Servers {
		if becomeCold && s.backend.Domain == domain && !s.stopped {
			s.backend.ColdUntil = time.Now().Add(s.service.ColdStart)
			s.publish()
		}
	}
	d.revision++
	d.publish(state.Delta{Evacuations: []state.Evacuation{{Domain: domain, Active: evacuated, Revision: d.revision}}})
}

// publish applies a delta from the previous to the current revision to the store.
func (d *Deployment) publish(delta state.Delta) {
	delta.From, delta.To = d.revision-1, d.revision
	d.applyToStore(delta)
}

func (d *Deployment) applyToStore(delta state.Delta) {
	d.storeLog = append(d.storeLog, storeWrite{at: time.Now(), delta: delta})
	if _, err := d.store.Apply(delta, time.Now()); err != nil {
		d.addViolation("the store rejected a change: %v", err)
	}
}

// listenEndpoint returns the address on which the route of a class listens.
func (d *Deployment) listenEndpoint(class *Class) state.Endpoint {
	for index := range d.config.Classes {
		if d.config.Classes[index].Name == class.Name {
			return state.NewEndpoint(0xC6120001, uint16(443+index))
		}
	}
	return 0
}

// Partition cuts the links between a failure domain and all others. Callers still reach
// the domain.
func (d *Deployment) Partition(index int) {
	d.partitions[domainName(index)] = index + 1
	d.linksChangedAt = time.Now()
}

// Heal ends all partitions.
func (d *Deployment) Heal() {
	clear(d.partitions)
	d.linksChangedAt = time.Now()
}

// storeWrite is a write to the store with its time.
type storeWrite struct {
	at    time.Time
	delta state.Delta
}

const (
	// maxRewriteDelay is the maximum time after a restore within which a running server
	// writes its entry again.
	maxRewriteDelay = 2 * time.Second
	// configurationRewriteDelay is the time after which the operators write a lost
	// configuration again.
	configurationRewriteDelay = 200 * time.Millisecond
	// entryTTL is the time without heartbeats after which the entry of a server expires.
	entryTTL = 3 * time.Second
)

// RestoreStore replaces the store's state by a copy of the given age. The running servers and
// the operators write again what the copy lacks, and entries of servers that have left
// expire.
func (d *Deployment) RestoreStore(age time.Duration) {
	copied := time.Now().Add(-age)
	for len(d.storeLog) > 1 && d.storeLog[len(d.storeLog)-1].at.After(copied) {
		d.storeLog = d.storeLog[:len(d.storeLog)-1]
	}
	d.epoch++
	writes := d.storeLog
	d.store, d.storeLog = state.NewReplica(), nil
	for _, w := range writes {
		d.applyToStore(w.delta)
		d.storeLog[len(d.storeLog)-1].at = w.at
	}
	d.revision = d.store.Revision()
	d.storeChangedAt = time.Now()
	epoch := d.epoch
	d.after(configurationRewriteDelay, func() {
		if c := d.store.Configuration(); d.epoch == epoch && (c == nil || c.Version < d.version) {
			d.writeConfiguration()
		}
	})
	d.after(configurationRewriteDelay, func() {
		for index := range d.config.Domains {
			if _, evacuated := d.evacuatedAt[domainName(index)]; d.epoch == epoch && evacuated != d.store.Table().Evacuated(domainName(index)) {
				d.revision++
				d.publish(state.Delta{Evacuations: []state.Evacuation{{Domain: domainName(index), Active: evacuated, Revision: d.revision}}})
			}
		}
	})
	for _, s := range d.Servers {
		if s.stopped {
			d.after(entryTTL, s.expireCopiedEntry)
			continue
		}
		d.after(time.Duration(d.random.Int64N(int64(maxRewriteDelay))), func() {
			if d.epoch == epoch && !s.stopped {
				s.publish()
			}
		})
	}
}

// SetStoreDown starts or ends an outage of the store.
func (d *Deployment) SetStoreDown(down bool) {
	d.storeDown = down
	d.storeChangedAt = time.Now()
}

// undisturbed reports whether there is no partition, and neither the links between
// failure domains nor the balancer's process have changed within the stable window.
func (d *Deployment) undisturbed(b *Balancer) bool {
	return len(d.partitions) == 0 && time.Since(d.linksChangedAt) > stableWindow && time.Since(b.disturbedAt) > stableWindow
}

// limitsApply reports whether a balancer must meet the propagation limits: it is
// undisturbed, and the store has been available for the stable window.
func (d *Deployment) limitsApply(b *Balancer) bool {
	return d.undisturbed(b) && !d.storeDown && time.Since(d.storeChangedAt) > stableWindow
}

// stableWindow is how long a deployment must be free of faults before the platform
// requires its guarantees to hold again.
const stableWindow = 4 * time.Second

// partitioned reports whether the link between two failure domains is cut.
func (d *Deployment) partitioned(domain, other string) bool {
	return d.partitions[domain] != d.partitions[other]
}

// After schedules a function to be called after a delay, from within Run.
func (d *Deployment) After(delay time.Duration, run func()) { d.after(delay, run) }

func (d *Deployment) after(delay time.Duration, run func()) { d.loop.After(delay, run) }

// deliver delivers a packet from one failure domain to another or within one, unless the
// packet is lost or the link is cut.
func (d *Deployment) deliver(from, to string, deliver func()) {
	if d.partitioned(from, to) || d.random.Float64() < d.config.LossRate {
		return
	}
	delay := d.config.CrossDomainDelay
	if from == to {
		delay = d.config.IntraDomainDelay
	}
	d.after(delay, deliver)
}

// deliverCallerPacket delivers a packet between a caller and the deployment, in either
// direction, unless the packet is lost.
func (d *Deployment) deliverCallerPacket(deliver func()) {
	if d.random.Float64() >= d.config.LossRate {
		d.after(d.config.CallerDelay, deliver)
	}
}

func (d *Deployment) addViolation(format string, args ...any) {
	d.Violations = append(d.Violations, fmt.Sprintf(format, args...))
}

// selectBalancer returns the balancer to which the router of a failure domain sends a
// packet of the given caller, or nil if there is none. It uses rendezvous hashing, so
// that a balancer that joins or leaves the rotation moves only its own flows. If fewer
// than half of the domain's balancers are in rotation, all of them are used. If none is,
// the balancers of the other domains are used.
func (d *Deployment) selectBalancer(domain string, caller state.Endpoint) *Balancer {
	inRotation, total := 0, 0
	for _, b := range d.Balancers {
		if b.domain == domain {
			total++
			if b.inRotation {
				inRotation++
			}
		}
	}
	return d.highestRanked(caller, func(b *Balancer) bool {
		switch {
		case inRotation == 0:
			return b.inRotation
		case 2*inRotation < total:
			return b.domain == domain
		}
		return b.domain == domain && b.inRotation
	})
}

// highestRanked returns the eligible balancer with the highest hash for a caller, or nil
// if no balancer is eligible.
func (d *Deployment) highestRanked(caller state.Endpoint, eligible func(*Balancer) bool) *Balancer {
	var best *Balancer
	var bestRank uint64
	for _, b := range d.Balancers {
		if !eligible(b) {
			continue
		}
		key := binary.LittleEndian.AppendUint64([]byte(b.name), uint64(caller))
		if rank := xxhash.Sum64(key); best == nil || rank > bestRank {
			best, bestRank = b, rank
		}
	}
	return best
}

func balancerAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(index >> 8), byte(index)}), 7000)
}

func discardLogger() logr.Logger { return logr.Discard() }
