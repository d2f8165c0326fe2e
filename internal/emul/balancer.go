package emul

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/gossip"
	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

const (
	// rotationPeriod is how often a router asks a balancer whether it is ready.
	rotationPeriod = 500 * time.Millisecond
	// misses take a balancer out of the rotation.
	misses = 2
	// startTime is from a process's start to its first packet.
	startTime = 60 * time.Millisecond
	// staleSpan is how old the view is when a balancer that does not read asks the
	// store itself.
	staleSpan = 2900 * time.Millisecond
	// watchTime is how late a reader hears of a change.
	watchTime = 8 * time.Millisecond
	// checkTime is how long a check waits for an answer.
	checkTime = 150 * time.Millisecond
)

// Balancer is one balancer of a deployment.
type Balancer struct {
	p          *Platform
	name       string
	domain     string
	number     int
	core       *tagged.Core
	node       *gossip.Node
	replica    *state.Replica
	life       int
	alive      bool
	frozen     bool
	leaving    bool
	inRotation bool
	missed     int
	version    state.Version
	// refused balancers get no answer from the store, while others do.
	refused bool
	trouble trouble
	// disturbed is when the balancer was last started, killed or frozen.
	disturbed time.Time
}

func (p *Platform) addBalancer(domain string) *Balancer {
	b := &Balancer{p: p, domain: domain, number: len(p.Balancers), name: fmt.Sprintf("entry-%d", len(p.Balancers)), inRotation: true}
	b.trouble.rate = p.settings.Link
	p.Balancers = append(p.Balancers, b)
	p.after(0, b.rotate)
	return b
}

// Start begins a new life of the balancer, which knows nothing.
func (b *Balancer) Start() {
	p := b.p
	b.life++
	b.disturbed = time.Now()
	b.alive, b.frozen, b.leaving, b.version = true, false, false, 0
	b.replica = state.NewReplica()
	b.core = tagged.New(tagged.Config{
		Name: b.name, Domain: b.domain, MaxFlows: 100_000, Log: discard(), DecisionLog: discard(), Policy: p.settings.Policy,
		Rand: rand.New(rand.NewPCG(p.random.Uint64(), 1)),
	})
	node, err := gossip.New(gossip.Config{
		Name: b.name, Domain: b.domain, Address: addressOf(b.number), Seeds: p.seeds(),
		Rand: rand.New(rand.NewPCG(p.random.Uint64(), 1)), Log: discard(), Replica: b.replica,
		HandleInquiry: b.opine, HandleOpinion: b.core.HandleReachabilityReport,
		DueReports: b.core.DueLoadReports, HandleTotals: b.core.SetPeerLoads, OnConfirm: b.core.ConfirmTable,
		OnChange: func(_ string, now time.Time) { b.changed(now) },
	})
	if err != nil {
		p.violated("balancer %s does not start: %v", b.name, err)
		return
	}
	b.node = node
	life := b.life
	p.after(startTime, func() { b.tick(life) })
}

func (b *Balancer) changed(now time.Time) {
	if c := b.replica.Configuration(); c != nil {
		if c.Version < b.version {
			b.p.violated("%s went back from version %d to %d", b.name, b.version, c.Version)
		}
		b.version = c.Version
	}
	b.sendResets(b.core.SetTable(b.replica.Table(), now))
}

// Kill ends the process.
func (b *Balancer) Kill() {
	b.alive = false
	b.disturbed = time.Now()
}

// Freeze stops the process for a while.
func (b *Balancer) Freeze(span time.Duration) {
	b.frozen = true
	b.p.after(span, func() {
		b.frozen = false
		b.disturbed = time.Now()
		if b.alive {
			b.core.HoldNewFlows(time.Now())
		}
	})
}

// Refuse has the store refuse the balancer for a while.
func (b *Balancer) Refuse(span time.Duration) {
	b.refused = true
	b.p.after(span, func() { b.refused = false })
}

// Restart ends the process gracefully and starts it again.
func (b *Balancer) Restart(linger time.Duration) {
	b.leaving = true
	b.send(b.node.Leave(time.Now()))
	b.p.after(linger, b.Start)
}

func (b *Balancer) works() bool { return b.alive && !b.frozen && !b.trouble.late }

func (b *Balancer) ready() bool {
	return b.works() && !b.leaving && b.replica.Loaded() && b.core.ServicesReachable()
}

// rotate is the router's look at a balancer.
func (b *Balancer) rotate() {
	b.missed++
	if b.ready() {
		b.missed, b.inRotation = 0, true
	}
	if b.missed >= misses {
		b.inRotation = false
	}
	b.p.after(rotationPeriod, b.rotate)
}

func (b *Balancer) tick(life int) {
	if b.life != life || !b.alive {
		return
	}
	b.p.after(tagged.TickInterval, func() { b.tick(life) })
	if !b.works() {
		return
	}
	now := time.Now()
	b.send(b.node.Tick(now))
	b.core.SetPeerCount(b.node.LiveCount() - 1)
	b.read(now)
	for _, check := range b.core.Tick(now) {
		b.check(check, life)
	}
}

func (b *Balancer) sendResets(resets []tagged.Reset) {
	for _, reset := range resets {
		b.out(resetBytes, func() { b.p.reset(b, reset, "without being asked") })
	}
}

// read takes what the store has, as a reader's watch would.
func (b *Balancer) read(now time.Time) {
	p := b.p
	if b.replica.Loaded() && !b.node.IsReader(now) && now.Sub(b.node.ConfirmedAt()) < staleSpan {
		return
	}
	if p.storeDown || b.refused {
		b.send(b.node.SetPlatformUnreachable(true, now))
		return
	}
	delta := p.published(b.replica)
	life := b.life
	p.after(watchTime, func() {
		if b.life == life && b.works() {
			b.send(b.node.SetPlatformUnreachable(false, time.Now()))
			b.send(b.node.ApplyPlatformDelta(delta, time.Now()))
		}
	})
}

// published returns what the store tells a replica: items, and the names of those that
// are gone since the replica's revision.
func (p *Platform) published(replica *state.Replica) state.Delta {
	if !replica.Loaded() {
		delta := p.store.DeltaSince(0)
		delta.Full, delta.Tombstones = true, nil
		return delta
	}
	delta := p.store.DeltaSince(replica.Revision())
	delta.Removed = make(map[string]state.Revision)
	for _, removal := range delta.Tombstones {
		delta.Removed[removal.Backend.Name] = removal.Revision
	}
	delta.Tombstones = nil
	if delta.ConfigurationDelta != nil {
		// The store holds it as a whole.
		delta.ConfigurationDelta, delta.Configuration = nil, p.store.Configuration()
	}
	return delta
}

func (b *Balancer) check(check tagged.Check, life int) {
	b.dial(check, func(result health.Result) {
		if b.life == life && b.works() {
			b.sendResets(b.core.HandleCheckResult(check.Backend, result, time.Now()))
			b.send(b.node.Inquire(b.core.PopReachabilityQueries()))
		}
	})
}

// dial opens a connection to a backend server's address. What finds no answer in time is
// silent.
func (b *Balancer) dial(check tagged.Check, done func(health.Result)) {
	ended := false
	end := func(result health.Result) {
		if !ended {
			ended = true
			done(result)
		}
	}
	b.p.after(checkTime, func() { end(health.Silent) })
	b.out(checkBytes, func() {
		if result, delay := b.p.listens(b, check); result != health.Silent {
			b.p.after(delay, func() { end(result) })
		}
	})
}

// opine answers another balancer that asks whether servers are reached from here.
func (b *Balancer) opine(from netip.AddrPort, tags []state.Tag, now time.Time) {
	opinion, checks := b.core.AnswerReachabilityQuery(tags, now)
	b.send(b.node.AnswerInquiry(from, opinion))
	life := b.life
	for _, check := range checks {
		b.dial(check, func(result health.Result) {
			if b.life == life && b.works() {
				b.send(b.node.AnswerInquiry(from, b.core.HandlePeerCheckResult(check, result, time.Now())))
			}
		})
	}
}

// listens returns what a connection to a backend server's address finds.
func (p *Platform) listens(b *Balancer, check tagged.Check) (health.Result, time.Duration) {
	for _, s := range p.Servers {
		if s.backend.Address != check.Address || p.cut(b.domain, s.backend.Domain) || s.dark {
			continue
		}
		if s.ended {
			return health.Refused, 2 * p.settings.Across
		}
		return health.Answered, 2 * p.settings.Across
	}
	return health.Silent, checkTime
}

func (b *Balancer) send(messages []gossip.Message) {
	for _, message := range messages {
		for _, to := range b.p.Balancers {
			if addressOf(to.number) == message.To {
				b.out(len(message.Data), func() {
					b.p.carry(b.domain, to.domain, func() { to.receive(message.Data, b.number) })
				})
			}
		}
	}
}

func (b *Balancer) receive(data []byte, from int) {
	if !b.works() {
		return
	}
	messages, err := b.node.Receive(data, addressOf(from), time.Now())
	if err != nil {
		b.p.Violations = append(b.p.Violations, errors.Unwrap(err).Error())
	}
	b.send(messages)
}

// packet has the balancer decide for a caller's packet.
func (b *Balancer) packet(f *flow, packet tagged.Packet, data request) {
	if b == nil || !b.works() {
		return
	}
	verdict := b.core.HandlePacket(&packet, time.Now())
	switch verdict.Action {
	case tagged.Refuse:
		b.out(resetBytes, func() {
			b.p.reset(b, tagged.Reset{Key: packet.Key, Sequence: packet.Acknowledged}, "in answer to a packet")
		})
	case tagged.Forward:
		for _, s := range b.p.Servers {
			if s.backend.Address == verdict.To {
				b.out(headBytes+packet.Length, func() {
					b.p.carry(b.domain, s.backend.Domain, func() { s.receive(b, f, packet, verdict, data) })
				})
			}
		}
	}
}

func (p *Platform) seeds() []netip.AddrPort {
	var list []netip.AddrPort
	for number := range min(3, len(p.Balancers)) {
		list = append(list, addressOf(number))
	}
	return list
}

// Believed returns how many balancers take a server for dead, and how many others have
// flows open there.
func (p *Platform) Believed(s *Server) (dead, unaware int) {
	for _, b := range p.Balancers {
		for _, status := range b.core.Backends() {
			switch {
			case status.Backend != s.backend.Name:
			case status.Health == health.Dead:
				dead++
			case status.Open > 0:
				unaware++
			}
		}
	}
	return dead, unaware
}
