// Package emul plays the users' platform around balancers whose flows are tagged: a
// store, routers, callers and backend servers, in one event loop and on the clock of
// the test. What callers get is counted, and what must never happen is written down.
//
// It calls the decisions directly, with typed packets. The bytes on the wire were left
// out, as package platform's own tests cover them; so was processor time, which only a
// real machine has.
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

// Config sets a deployment up.
type Config struct {
	Seed uint64
	// Domains is the number of failure domains, Balancers that of balancers in each.
	Domains, Balancers int
	Services           []Service
	Classes            []Class
	// InDomain and Across are one-way delays, ToCaller that between callers and all
	// else.
	InDomain, Across, ToCaller time.Duration
	// Policy is the balancers' choice of backend servers, nil their own.
	Policy policy.Policy
	// Loss is the share of packets that are lost.
	Loss float64
	// Link is what a balancer's link carries in bytes a second, 0 for any number.
	Link float64
}

// Service is a set of alike backend servers.
type Service struct {
	Name string
	// Servers is the number in each failure domain.
	Servers, Slots, Queue int
}

// Class is a kind of request.
type Class struct {
	Name, Service string
	// PerSecond is the rate over all failure domains.
	PerSecond float64
	// Work is the mean time of a request at a backend server.
	Work                time.Duration
	Objective, Deadline time.Duration
	Idempotent          bool
	// Requests is the number on each flow; more than one makes long flows.
	Requests int
	// SmallShare is the share of answers that fit one packet. Callers acknowledge those
	// with their next request.
	SmallShare float64
}

// Timers is the deployment of the timers' operator at its usual load.
func Timers(seed uint64) Config {
	return Config{
		Seed: seed, Domains: 4, Balancers: 2,
		InDomain: 100 * time.Microsecond, Across: 1400 * time.Microsecond, ToCaller: 3 * time.Millisecond,
		Services: []Service{
			{Name: "planning", Servers: 4, Slots: 2, Queue: 8},
			{Name: "journal", Servers: 1, Slots: 2, Queue: 8},
		},
		Classes: []Class{
			{Name: "listen", Service: "planning", PerSecond: 292, Work: 30 * time.Millisecond, Objective: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotent: true, Requests: 10, SmallShare: 0.1},
			{Name: "change", Service: "planning", PerSecond: 83, Work: 39 * time.Millisecond, Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, Requests: 1},
			{Name: "logbook", Service: "journal", PerSecond: 25, Work: 5 * time.Millisecond, Objective: 500 * time.Millisecond, Deadline: 5 * time.Second, Requests: 1},
		},
	}
}

// Result is what the callers of a class got.
type Result struct {
	Asked, InObjective, Late, Failed int
	// Shed counts requests that backend servers refused for want of room.
	Shed int
}

// Platform is a running deployment. It is used within a synctest bubble, from the
// goroutine that calls Run.
type Platform struct {
	Balancers []*Balancer
	Servers   []*Server
	// Results holds a result a class.
	Results map[string]*Result
	// Violations are broken promises, in words.
	Violations []string

	settings Config
	loop     model.Loop
	random   *rand.Rand
	store    *state.Replica
	revision state.Revision
	version  state.Version
	dropped  map[string]time.Time
	sides    map[string]int
	nextPort int
	// storeDown makes the store answer nobody.
	storeDown bool
	// storeDisturbed and linksDisturbed are when the store and the links between
	// domains last changed.
	storeDisturbed, linksDisturbed time.Time
	flows                          map[tagged.Key]*flow
}

// New starts a deployment.
func New(settings Config) *Platform {
	p := &Platform{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 99)),
		store:    state.NewReplica(),
		Results:  make(map[string]*Result),
		dropped:  make(map[string]time.Time),
		sides:    make(map[string]int),
		flows:    make(map[tagged.Key]*flow),
	}
	p.revision = 1
	p.apply(state.Delta{Full: true, To: p.revision})
	for domain := range settings.Domains {
		for _, service := range settings.Services {
			for range service.Servers {
				p.AddServer(service.Name, domainName(domain))
			}
		}
		for range settings.Balancers {
			p.addBalancer(domainName(domain))
		}
	}
	p.Configure(nil)
	for index := range settings.Classes {
		class := &settings.Classes[index]
		p.Results[class.Name] = &Result{}
	}
	for _, b := range p.Balancers {
		b.Start()
	}
	return p
}

func domainName(number int) string { return fmt.Sprintf("domain-%d", number) }

// Run lets time pass, with callers that ask or without.
func (p *Platform) Run(span time.Duration, asking bool) {
	end := time.Now().Add(span)
	if asking {
		for index := range p.settings.Classes {
			p.ask(&p.settings.Classes[index], end)
		}
	}
	p.loop.Run(span)
}

// Configure publishes a new version without the routes of the given classes.
func (p *Platform) Configure(without map[string]bool) {
	p.revision++
	p.version += 3
	configuration := &state.Configuration{Version: p.version, Revision: p.revision, IdleTimeout: 15 * time.Second}
	for index := range p.settings.Classes {
		class := &p.settings.Classes[index]
		if without[class.Name] {
			p.dropped[class.Name] = time.Now()
			continue
		}
		delete(p.dropped, class.Name)
		configuration.Routes = append(configuration.Routes, state.Route{
			Name: class.Name, Listen: p.listen(class), Idempotent: class.Idempotent,
			Shares:  []state.Share{{Service: class.Service, Weight: 1}},
			Timeout: class.Deadline, Objective: class.Objective,
		})
	}
	p.publish(state.Delta{Configuration: configuration})
}

func (p *Platform) publish(delta state.Delta) {
	delta.From, delta.To = p.revision-1, p.revision
	p.apply(delta)
}

func (p *Platform) apply(delta state.Delta) {
	if _, err := p.store.Apply(delta, time.Now()); err != nil {
		p.violated("the store refused a change: %v", err)
	}
}

func (p *Platform) listen(class *Class) state.Endpoint {
	for index := range p.settings.Classes {
		if p.settings.Classes[index].Name == class.Name {
			return state.NewEndpoint(0xC6120001, uint16(443+index))
		}
	}
	return 0
}

// Cut puts a failure domain on a side of its own; callers still reach it. Heal ends
// all cuts.
func (p *Platform) Cut(domain int) {
	p.sides[domainName(domain)] = domain + 1
	p.linksDisturbed = time.Now()
}

// Heal ends all cuts.
func (p *Platform) Heal() {
	clear(p.sides)
	p.linksDisturbed = time.Now()
}

// SetStore has the store answer or not.
func (p *Platform) SetStore(down bool) {
	p.storeDown = down
	p.storeDisturbed = time.Now()
}

// reached reports whether nothing has happened to a balancer or the links between
// domains for a while.
func (p *Platform) reached(b *Balancer) bool {
	return len(p.sides) == 0 && time.Since(p.linksDisturbed) > touchSpan && time.Since(b.disturbed) > touchSpan
}

// inTouch reports whether the bounds hold for a balancer: it is reached, and the store
// has answered for a while.
func (p *Platform) inTouch(b *Balancer) bool {
	return p.reached(b) && !p.storeDown && time.Since(p.storeDisturbed) > touchSpan
}

// touchSpan is the platform's stable window.
const touchSpan = 4 * time.Second

func (p *Platform) cut(one, other string) bool { return p.sides[one] != p.sides[other] }

// After runs something later.
func (p *Platform) After(delay time.Duration, run func()) { p.after(delay, run) }

func (p *Platform) after(delay time.Duration, run func()) { p.loop.After(delay, run) }

// carry delivers a packet between two failure domains, unless it is lost.
func (p *Platform) carry(from, to string, run func()) {
	if p.cut(from, to) || p.random.Float64() < p.settings.Loss {
		return
	}
	delay := p.settings.Across
	if from == to {
		delay = p.settings.InDomain
	}
	p.after(delay, run)
}

// toCaller delivers a packet between a caller and the deployment.
func (p *Platform) toCaller(run func()) {
	if p.random.Float64() >= p.settings.Loss {
		p.after(p.settings.ToCaller, run)
	}
}

func (p *Platform) violated(format string, values ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf(format, values...))
}

// route returns the balancer that a router of a failure domain hands a flow's packet
// to: only flows of a balancer that joins or leaves the rotation move. Where fewer than
// half of a domain's balancers are in rotation all are used, and where none is those of
// the other domains.
func (p *Platform) route(domain string, caller state.Endpoint) *Balancer {
	rotated, all := 0, 0
	for _, b := range p.Balancers {
		if b.domain == domain {
			all++
			if b.inRotation {
				rotated++
			}
		}
	}
	return p.rank(caller, func(b *Balancer) bool {
		switch {
		case rotated == 0:
			return b.inRotation
		case 2*rotated < all:
			return b.domain == domain
		}
		return b.domain == domain && b.inRotation
	})
}

// rank returns the balancer of highest rank for a caller.
func (p *Platform) rank(caller state.Endpoint, used func(*Balancer) bool) *Balancer {
	var best *Balancer
	var bestRank uint64
	for _, b := range p.Balancers {
		if !used(b) {
			continue
		}
		key := binary.LittleEndian.AppendUint64([]byte(b.name), uint64(caller))
		if rank := xxhash.Sum64(key); best == nil || rank > bestRank {
			best, bestRank = b, rank
		}
	}
	return best
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 7000)
}

func discard() logr.Logger { return logr.Discard() }
