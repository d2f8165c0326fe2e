package emul

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/gossip"
	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

const (
	// readinessProbeInterval is the interval at which routers probe the readiness of a
	// balancer.
	readinessProbeInterval = 500 * time.Millisecond
	// failedProbeLimit is the number of failed probes in a row that takes a balancer out
	// of the rotation.
	failedProbeLimit = 2
	// startupDelay is the time from the start of a process to its first packet.
	startupDelay = 60 * time.Millisecond
	// maxReplicaAge is the time since the replica was last known to be current at which a
	// balancer reads the store even if it is not a reader.
	maxReplicaAge = 2900 * time.Millisecond
	// watchDelay is the delay with which a balancer receives what it reads from the store.
	watchDelay = 8 * time.Millisecond
	// checkTimeout is the timeout of an active check.
	checkTimeout = 150 * time.Millisecond
)

// Balancer is one balancer of a deployment. It remains the same when its process is
// killed and started again.
type Balancer struct {
	deployment *Deployment
	name       string
	domain     string
	index      int
	core       *tagged.Core
	node       *gossip.Node
	replica    *state.Replica
	// incarnation counts the starts of the process. Callbacks of earlier processes compare
	// it and do nothing.
	incarnation int
	running     bool
	frozen      bool
	leaving     bool
	// inRotation is set if the routers send packets to this balancer. failedProbes is the
	// number of failed readiness probes in a row.
	inRotation   bool
	failedProbes int
	// version is the version of the configuration that the process uses, 0 if it has none.
	version state.Version
	// storeAccessDenied is set if the store answers other balancers but not this one.
	storeAccessDenied bool
	host              host
	// disturbedAt is the time at which the process was last started, killed or resumed, zero
	// before.
	disturbedAt time.Time
}

func (d *Deployment) addBalancer(domain string) *Balancer {
	b := &Balancer{deployment: d, domain: domain, index: len(d.Balancers), name: fmt.Sprintf("entry-%d", len(d.Balancers)), inRotation: true}
	b.host.linkRate = d.config.LinkRate
	d.Balancers = append(d.Balancers, b)
	d.after(0, b.probeReadiness)
	return b
}

// Start starts a new process, which has no state from an earlier one.
func (b *Balancer) Start() {
	d := b.deployment
	b.incarnation++
	b.disturbedAt = time.Now()
	b.running, b.frozen, b.leaving, b.version = true, false, false, 0
	b.replica = state.NewReplica()
	b.core = tagged.New(tagged.Config{
		Name: b.name, Domain: b.domain, MaxFlows: 100_000, ColdOverage: coldOverage, ColdSlack: coldSlack, LearnServers: d.config.LearnServers, Log: discardLogger(), DecisionLog: discardLogger(), Policy: d.config.Policy,
		Rand: rand.New(rand.NewPCG(d.random.Uint64(), 1)),
	})
	node, err := gossip.New(gossip.Config{
		Name: b.name, Domain: b.domain, Address: balancerAddress(b.index), Seeds: d.seeds(),
		Rand: rand.New(rand.NewPCG(d.random.Uint64(), 1)), Log: discardLogger(), Replica: b.replica,
		HandleReachabilityQuery: b.answerQuery,
		HandleReachabilityReport: func(peer string, report tagged.ReachabilityReport, now time.Time) {
			b.sendResets(b.core.HandleReachabilityReport(peer, report, now))
		},
		DueLoadReports: b.core.DueLoadReports, HandlePeerLoads: b.core.SetPeerLoads, OnConfirm: b.core.ConfirmTable,
		OnChange: func(_ string, now time.Time) { b.handleChange(now) },
	})
	if err != nil {
		d.addViolation("balancer %s failed to start: %v", b.name, err)
		return
	}
	b.node = node
	incarnation := b.incarnation
	d.after(startupDelay, func() { b.tick(incarnation) })
}

// handleChange passes the changed replica to the core. It records a violation if the
// version of the configuration decreases.
func (b *Balancer) handleChange(now time.Time) {
	if c := b.replica.Configuration(); c != nil {
		if c.Version < b.version {
			b.deployment.addViolation("%s reverted the configuration from version %d to %d", b.name, b.version, c.Version)
		}
		b.version = c.Version
	}
	b.sendResets(b.core.SetTable(b.replica.Table(), now))
}

// Kill terminates the process without notice to other balancers.
func (b *Balancer) Kill() {
	b.running = false
	b.disturbedAt = time.Now()
}

// Freeze suspends the process for the given duration.
func (b *Balancer) Freeze(duration time.Duration) {
	b.frozen = true
	b.deployment.after(duration, func() {
		b.frozen = false
		b.disturbedAt = time.Now()
		if b.running {
			b.core.HoldNewFlows(time.Now())
		}
	})
}

// DenyStoreAccess makes the store unavailable to this balancer for the given duration.
func (b *Balancer) DenyStoreAccess(duration time.Duration) {
	b.storeAccessDenied = true
	b.deployment.after(duration, func() { b.storeAccessDenied = false })
}

// Restart announces to peers and routers that the process is about to stop, and starts a
// new process after a delay. The old process handles packets until then.
func (b *Balancer) Restart(delay time.Duration) {
	b.leaving = true
	b.send(b.node.Leave(time.Now()))
	b.deployment.after(delay, b.Start)
}

// responsive reports whether the process exists and gets processor time.
func (b *Balancer) responsive() bool { return b.running && !b.frozen && !b.host.starved }

// ready returns the answer to a readiness probe.
func (b *Balancer) ready() bool {
	return b.responsive() && !b.leaving && b.replica.Loaded() && b.core.ServicesReachable()
}

// probeReadiness is the periodic readiness probe of the routers. It updates whether the
// balancer is in rotation.
func (b *Balancer) probeReadiness() {
	b.failedProbes++
	if b.ready() {
		b.failedProbes, b.inRotation = 0, true
	}
	if b.failedProbes >= failedProbeLimit {
		b.inRotation = false
	}
	b.deployment.after(readinessProbeInterval, b.probeReadiness)
}

// tick does the periodic work of the process with the given incarnation.
func (b *Balancer) tick(incarnation int) {
	if b.incarnation != incarnation || !b.running {
		return
	}
	b.deployment.after(tagged.TickInterval, func() { b.tick(incarnation) })
	if !b.responsive() {
		return
	}
	now := time.Now()
	b.checkConfiguration(now)
	b.send(b.node.Tick(now))
	b.core.SetPeerCount(b.node.LiveCount() - 1)
	if b.core.LimitsRates() {
		b.core.SetMembers(b.node.DomainMembers(now))
	}
	if b.replica.Prune(now) {
		b.handleChange(now)
	}
	b.readStore(now)
	for _, check := range b.core.Tick(now) {
		b.startCheck(check, incarnation)
	}
}

// checkConfiguration records a violation if the propagation limit applies and the newest
// configuration is not in force. It exempts a leaving balancer, which peers no longer update.
func (b *Balancer) checkConfiguration(now time.Time) {
	d := b.deployment
	if b.leaving || !d.limitsApply(b) || now.Sub(d.publishedAt) <= configPropagationLimit || b.version == d.version && b.replicaHas(d.configuration) {
		return
	}
	d.addViolation("%s has version %d of the configuration, %s after version %d was published", b.name, b.version, now.Sub(d.publishedAt), d.version)
}

// replicaHas reports whether the replica has the routes of a configuration.
func (b *Balancer) replicaHas(configuration *state.Configuration) bool {
	c := b.replica.Configuration()
	if c == nil || len(c.Routes) != len(configuration.Routes) {
		return false
	}
	for index := range c.Routes {
		if c.Routes[index].Name != configuration.Routes[index].Name {
			return false
		}
	}
	return true
}

// sendResets sends the resets that the core has requested without a packet from the
// caller.
func (b *Balancer) sendResets(resets []tagged.Reset) {
	for _, reset := range resets {
		b.transmit(resetBytes, func() { b.deployment.deliverReset(b, reset, "unsolicited") })
	}
}

// readStore applies what the store has published since the replica's revision, as the
// watch of a reader does. A balancer that is not a reader reads only if it has not loaded a
// replica yet or the replica's age exceeds maxReplicaAge.
func (b *Balancer) readStore(now time.Time) {
	d := b.deployment
	if b.replica.Loaded() && !b.node.IsReader(now) && now.Sub(b.node.ConfirmedAt()) < maxReplicaAge {
		return
	}
	if d.storeDown || b.storeAccessDenied {
		b.send(b.node.SetPlatformUnreachable(true, now))
		return
	}
	delta := d.deltaSince(b.replica)
	incarnation := b.incarnation
	d.after(watchDelay, func() {
		if b.incarnation == incarnation && b.responsive() {
			b.send(b.node.SetPlatformUnreachable(false, time.Now()))
			b.send(b.node.ApplyPlatformDelta(delta, time.Now()))
		}
	})
}

// deltaSince returns the delta that the store sends to a replica: everything if the replica
// has not loaded anything yet or has a revision of an earlier epoch. As the platform's store
// does, it sends changed items as a whole, and only the names of the servers that were removed
// since the replica's revision.
func (d *Deployment) deltaSince(replica *state.Replica) state.Delta {
	if !replica.Loaded() || replica.Revision().Epoch() != d.epoch {
		delta := d.store.DeltaSince(0)
		delta.Full, delta.Removals = true, nil
		delta.Evacuations = slices.DeleteFunc(delta.Evacuations, func(e state.Evacuation) bool { return !e.Active })
		return d.inEpoch(delta)
	}
	delta := d.store.DeltaSince(state.Revision(replica.Revision().Counter()))
	delta.Removed = make(map[string]state.Revision)
	for _, removal := range delta.Removals {
		delta.Removed[removal.Backend.Name] = removal.Revision
	}
	delta.Removals = nil
	if delta.ConfigurationDelta != nil {
		// The store has the configuration only as a whole.
		delta.ConfigurationDelta, delta.Configuration = nil, d.store.Configuration()
	}
	return d.inEpoch(delta)
}

// inEpoch returns a delta of the store, whose revisions are counters, with revisions of the
// store's epoch.
func (d *Deployment) inEpoch(delta state.Delta) state.Delta {
	convert := func(revision state.Revision) state.Revision {
		return state.NewRevision(d.epoch, revision.Counter())
	}
	delta.From, delta.To = convert(delta.From), convert(delta.To)
	delta.Backends = slices.Clone(delta.Backends)
	for index := range delta.Backends {
		delta.Backends[index].Revision = convert(delta.Backends[index].Revision)
	}
	for name, revision := range delta.Removed {
		delta.Removed[name] = convert(revision)
	}
	for index := range delta.Evacuations {
		delta.Evacuations[index].Revision = convert(delta.Evacuations[index].Revision)
	}
	if delta.Configuration != nil {
		configuration := *delta.Configuration
		configuration.Revision = convert(configuration.Revision)
		configuration.Routes = slices.Clone(configuration.Routes)
		for index := range configuration.Routes {
			configuration.Routes[index].Revision = 0
		}
		delta.Configuration = &configuration
	}
	return delta
}

// startCheck starts an active check on behalf of this balancer.
func (b *Balancer) startCheck(check tagged.Check, incarnation int) {
	b.dial(check, func(result health.Result) {
		if b.incarnation == incarnation && b.responsive() {
			b.sendResets(b.core.HandleCheckResult(check.Backend, result, time.Now()))
			b.send(b.node.QueryReachability(b.core.PopReachabilityQueries()))
		}
	})
}

// dial opens a connection to the address of a backend server and passes the result to
// handle. The result is Silent if there is no answer within checkTimeout.
func (b *Balancer) dial(check tagged.Check, handle func(health.Result)) {
	finished := false
	finish := func(result health.Result) {
		if !finished {
			finished = true
			handle(result)
		}
	}
	b.deployment.after(checkTimeout, func() { finish(health.Silent) })
	b.transmit(checkBytes, func() {
		if result, delay := b.deployment.connectionResult(b, check); result != health.Silent {
			b.deployment.after(delay, func() { finish(result) })
		}
	})
}

// answerQuery answers the query of a peer whether this balancer reaches the backend
// servers with the given tags.
func (b *Balancer) answerQuery(from netip.AddrPort, tags []state.Tag, now time.Time) {
	report, checks := b.core.AnswerReachabilityQuery(tags, now)
	b.send(b.node.ReportReachability(from, report))
	incarnation := b.incarnation
	for _, check := range checks {
		b.dial(check, func(result health.Result) {
			if b.incarnation == incarnation && b.responsive() {
				b.send(b.node.ReportReachability(from, b.core.HandlePeerCheckResult(check, result, time.Now())))
			}
		})
	}
}

// connectionResult returns the result of a connection from a balancer to the address of
// a backend server, and the time until the balancer receives it. Every answer takes
// a round trip between failure domains, even from within the balancer's domain.
func (d *Deployment) connectionResult(b *Balancer, check tagged.Check) (health.Result, time.Duration) {
	for _, s := range d.Servers {
		if s.backend.Address != check.Address || d.partitioned(b.domain, s.backend.Domain) || s.silent {
			continue
		}
		if s.stopped {
			return health.Refused, 2 * d.config.CrossDomainDelay
		}
		return health.Answered, 2 * d.config.CrossDomainDelay
	}
	return health.Silent, checkTimeout
}

// send sends gossip datagrams to their destinations.
func (b *Balancer) send(messages []gossip.Message) {
	for _, message := range messages {
		for _, to := range b.deployment.Balancers {
			if balancerAddress(to.index) == message.To {
				b.transmit(len(message.Data), func() {
					b.deployment.deliver(b.domain, to.domain, func() { to.receive(message.Data, b.index) })
				})
			}
		}
	}
}

// receive handles a gossip datagram from the balancer with the given index. A digest mismatch is
// expected if the sender has missed a version: the balancer then requests the full state, and
// checkConfiguration checks that it has the newest version in time.
func (b *Balancer) receive(data []byte, from int) {
	if !b.responsive() {
		return
	}
	messages, err := b.node.Receive(data, balancerAddress(from), time.Now())
	if err != nil && !errors.Is(err, state.ErrDigestMismatch) {
		b.deployment.Violations = append(b.deployment.Violations, errors.Unwrap(err).Error())
	}
	b.send(messages)
}

// handlePacket handles a packet from a caller: it forwards, refuses or drops the packet as
// the core decides. The packet is lost if the receiver is nil, which means that the
// router has no balancer to send it to.
func (b *Balancer) handlePacket(f *flow, packet tagged.Packet, req request) {
	if b == nil || !b.responsive() {
		return
	}
	verdict := b.core.HandlePacket(&packet, time.Now())
	switch verdict.Action {
	case tagged.Refuse:
		b.transmit(resetBytes, func() {
			b.deployment.deliverReset(b, tagged.Reset{Key: packet.Key, Sequence: packet.Acknowledged}, "in response to a packet")
		})
	case tagged.Forward:
		for _, s := range b.deployment.Servers {
			if s.backend.Address == verdict.To {
				b.transmit(headerBytes+packet.Length, func() {
					b.deployment.deliver(b.domain, s.backend.Domain, func() { s.handlePacket(b, f, packet, verdict, req) })
				})
			}
		}
	}
}

// seeds returns the addresses of the first three balancers, which are the gossip seeds of
// all balancers.
func (d *Deployment) seeds() []netip.AddrPort {
	var addresses []netip.AddrPort
	for index := range min(3, len(d.Balancers)) {
		addresses = append(addresses, balancerAddress(index))
	}
	return addresses
}

// DetectionCounts returns how many balancers consider a server dead, and how many of the
// others have open flows on it.
func (d *Deployment) DetectionCounts(s *Server) (detected, undetected int) {
	for _, b := range d.Balancers {
		for _, status := range b.core.Backends() {
			switch {
			case status.Backend != s.backend.Name:
			case status.Health == health.Dead:
				detected++
			case status.Open > 0:
				undetected++
			}
		}
	}
	return detected, undetected
}
