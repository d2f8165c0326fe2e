package core

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/member"
	"wigeonmoor.example/internal/place"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// TickPeriod is how often Tick is to be called.
const TickPeriod = 50 * time.Millisecond

// adaptPeriod is how often the placement threshold follows the budget.
const adaptPeriod = time.Second

// removalFlowBytes is what the removal of one exception costs for each replica.
const removalFlowBytes = 4

// Bounds of the load reports that are passed on.
const (
	maxFetched = 64
	maxLoadAge = 5 * time.Second
)

// fetchedReport is a load report to be passed on.
type fetchedReport struct {
	backend flow.BackendKey
	report  place.Report
}

// Tick advances everything that depends on time.
func (c *Core) Tick() Output {
	now := time.Now()
	c.members.Tick()
	c.offer()
	c.applyEvents()
	if c.viewChanged {
		c.publishView()
	}
	c.refreshLease()
	c.releaseKept(now)
	c.refill(now)
	c.tellCounts(now)
	c.adaptGain(now)
	c.askForConfig(now)
	c.driveClaim(now)
	c.review(now)
	c.driveSyncs(now)
	c.driveRebases(now)
	c.sweep(now)
	c.flushRemovals(now)
	return c.finish()
}

// Probe takes a probe of another balancer.
func (c *Core) Probe(probe *wire.Probe) Output {
	if !c.members.Handle(probe) {
		c.Counters.DroppedStranger.Add(1)
		return c.finish()
	}
	if probe.Kind == wire.ProbeKind_PROBE_KIND_COUNTS {
		c.takeCounts(probe)
	}
	for _, load := range probe.Loads {
		c.heardLoad(load)
	}
	c.applyEvents()
	c.refreshLease()
	return c.finish()
}

// SetInstances takes the platform's list of balancers.
func (c *Core) SetInstances(list config.Instances) Output {
	c.members.SetInstances(list)
	c.publishView()
	return c.finish()
}

// maxLoadsPerProbe bounds the load reports that ride on one probe.
const maxLoadsPerProbe = 8

// TakeReport takes a load report that this balancer has fetched itself and lets
// it ride on the next probes.
func (c *Core) TakeReport(backend flow.BackendKey, report place.Report) Output {
	c.setReport(backend, report)
	c.fetched = slices.DeleteFunc(c.fetched, func(before fetchedReport) bool { return before.backend == backend })
	if len(c.fetched) < maxFetched {
		c.fetched = append(c.fetched, fetchedReport{backend, report})
	}
	return c.finish()
}

// nextLoads returns some of the fetched reports in turn.
func (c *Core) nextLoads() []*wire.Load {
	var loads []*wire.Load
	for range min(maxLoadsPerProbe, len(c.fetched)) {
		next := c.fetched[0]
		c.fetched = append(c.fetched[1:], next)
		age := time.Since(next.report.At)
		if age > maxLoadAge {
			continue
		}
		loads = append(loads, &wire.Load{
			Backend:         uint32(next.backend),
			Open:            next.report.Open,
			AgeMilliseconds: uint32(age.Milliseconds()),
			Healthy:         next.report.Healthy,
			Shedding:        next.report.Shedding,
		})
	}
	return loads
}

// setReport stores a report for placement.
func (c *Core) setReport(backend flow.BackendKey, report place.Report) {
	if gauge := c.placer.Gauge(backend); gauge != nil {
		gauge.SetReport(report)
	}
}

func (c *Core) heardLoad(load *wire.Load) {
	c.setReport(flow.BackendKey(load.Backend), place.Report{
		Open:     load.Open,
		Healthy:  load.Healthy,
		Shedding: load.Shedding,
		At:       time.Now().Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond),
	})
}

// Envelope takes a message from another balancer's link.
func (c *Core) Envelope(from flow.MemberKey, envelope *wire.Envelope) Output {
	if c.members.Peer(from) == nil {
		c.Counters.DroppedStranger.Add(1)
		return c.finish()
	}
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Claim:
		c.answerClaim(from, body.Claim)
	case *wire.Envelope_ClaimReply:
		c.takeReply(from, body.ClaimReply)
	case *wire.Envelope_Sync:
		c.takeSync(from, body.Sync)
	case *wire.Envelope_SyncAck:
		c.takeSyncAck(from, body.SyncAck)
	case *wire.Envelope_Rebase:
		c.takeRebase(from, body.Rebase)
	case *wire.Envelope_RebaseAck:
		c.takeRebaseAck(from, body.RebaseAck)
	case *wire.Envelope_Removal:
		c.takeRemoval(body.Removal)
	case *wire.Envelope_ConfigRequest:
		c.answerConfig(from, body.ConfigRequest)
	case *wire.Envelope_ConfigReply:
		c.takeConfig(from, body.ConfigReply)
	default:
		c.Counters.DroppedMalform.Add(1)
	}
	return c.finish()
}

// finish returns the output gathered so far.
func (c *Core) finish() Output {
	c.replay()
	c.applyEvents()
	probes, _ := c.members.Drain()
	c.output.Probes = append(c.output.Probes, probes...)
	for _, message := range c.output.Probes {
		c.spend(proto.Size(message.Probe) + 1 + wire.DatagramIPBytes)
	}
	output := c.output
	c.output = Output{}
	return output
}

// post queues a message for another balancer's link.
func (c *Core) post(to flow.MemberKey, body *wire.Envelope) {
	known := c.members.Peer(to)
	if known == nil {
		return
	}
	c.spend(proto.Size(body))
	c.output.Envelopes = append(c.output.Envelopes, Envelope{To: to, Address: known.Instance.Address, Body: body})
}

// nextID returns an id for a claim, sync or rebase that no earlier incarnation of
// this process has used.
func (c *Core) nextID() uint64 {
	c.lastID = max(c.lastID+1, uint64(time.Now().UnixNano()))
	return c.lastID
}

// applyEvents acts on what the membership found out.
func (c *Core) applyEvents() {
	probes, events := c.members.Drain()
	c.output.Probes = append(c.output.Probes, probes...)
	for _, event := range events {
		c.handleEvent(event)
	}
}

func (c *Core) handleEvent(event member.Event) {
	switch event {
	case member.Woken:
		c.Counters.Wakes.Add(1)
		c.log.Info("member: process was paused, its view is not believed")
		c.demote(false)
	case member.DeclaredDead:
		c.log.Info("member: others declared this balancer dead, its slots are claimed again")
		c.demote(true)
		c.publishView()
	case member.ViewChanged:
		// Several changes come together, and the next tick is soon.
		c.viewChanged = true
	}
}

// demote stops owning and replicating everything. What was held without a pause
// still counts as knowledge of the slot, and is told to whoever claims it.
func (c *Core) demote(continuous bool) {
	c.lease.Store(0)
	c.claim = nil
	clear(c.syncs)
	clear(c.rebases)
	for index := range c.slots {
		s := &c.slots[index]
		s.mutex.Lock()
		s.former = continuous && (s.held || s.former)
		s.lapsesAt = time.Now().Add(lapseTime)
		s.synced = false
		s.claiming = false
		c.release(s)
		c.requeue(s)
		s.mutex.Unlock()
	}
	c.publishView()
}

// offer makes the balancer ready to own slots: it has looked for others, and no
// other has a newer configuration than the one in force here.
func (c *Core) offer() {
	if c.leaving || c.members.Ready() || c.Compiled() == nil || !c.members.Found() {
		return
	}
	if _, version := c.newestPeer(); version > c.Compiled().Version {
		return
	}
	c.log.Info("member: ready to own slots", "ConfigVersion", c.Compiled().Version)
	c.members.SetReady(true)
	c.applyEvents()
}

// publishView computes the holders of all slots anew and claims what falls to
// this balancer.
func (c *Core) publishView() {
	c.viewChanged = false
	c.viewSince = time.Now()
	before := c.view.Load()
	ready := make([]ring.Member, 0, len(before.peers)+1)
	peers := make(map[flow.MemberKey]peer, len(before.peers))
	listed := make(map[netip.AddrPort]bool, len(before.peers))
	for _, known := range c.members.Peers() {
		peers[known.Key] = peer{address: known.Instance.Address, reachable: known.Reachable()}
		listed[known.Instance.Address] = true
		if known.Ready && known.Reachable() {
			ready = append(ready, ring.Member{Key: known.Key, Domain: known.Instance.Domain, Rack: known.Instance.Rack})
		}
	}
	if c.members.Ready() {
		self := c.settings.Self
		ready = append(ready, ring.Member{Key: c.key, Domain: self.Domain, Rack: self.Rack})
	}
	c.view.Store(&view{
		config: before.config,
		owners: ring.NewOwners(ready),
		peers:  peers,
		listed: listed,
		reader: c.isReader(ready),
		ready:  ready,
	})
	c.noteLives()
	c.reviewSlots()
}

// reviewSlots compares each slot with the new view.
func (c *Core) reviewSlots() {
	v := c.view.Load()
	now := time.Now()
	var wanted []flow.Slot
	for index := range c.slots {
		number := flow.Slot(index)
		holders := v.owners[number]
		s := &c.slots[index]
		s.mutex.Lock()
		if holders.Owner == c.key && !s.held {
			wanted = append(wanted, number)
		}
		if holders.Owner != c.key && !s.held {
			s.claiming = false
			c.requeue(s)
		}
		if !s.held && !s.claiming && holders.Owner != c.key && !holders.Includes(c.key) {
			c.lapse(s, now)
		}
		c.keepSynced(s, holders)
		s.mutex.Unlock()
	}
	c.startClaim(wanted)
}

// review looks for slots that fell between two views: those that another balancer
// kept and then lost are claimed, those that are held in error are handed over.
func (c *Core) review(now time.Time) {
	if now.Before(c.nextReview) {
		return
	}
	c.nextReview = now.Add(reviewPeriod)
	c.pushGrants(now)
	if c.claim == nil {
		c.reviewSlots()
	}
}

// isReader chooses the failure domain's readers. A balancer that is not ready yet
// reads for itself.
func (c *Core) isReader(ready []ring.Member) bool {
	var domain []ring.Member
	for _, candidate := range ready {
		if candidate.Domain == c.settings.Self.Domain {
			domain = append(domain, candidate)
		}
	}
	return !c.members.Ready() || ring.Chosen(domain, c.key, readerSalt, readersPerDomain)
}

// lapse ends a replica's duty for a slot. Until the new replicas have been brought
// up to date its knowledge may be the only one, should the owner die, so that it
// counts for a while longer. The slot is locked.
func (c *Core) lapse(s *slot, now time.Time) {
	if s.synced {
		s.synced = false
		s.former = true
		s.lapsesAt = now.Add(lapseTime)
	}
	if !s.former {
		s.cells = nil
	}
	if s.former && now.After(s.lapsesAt) {
		s.former = false
		s.cells = nil
	}
}

// releaseKept decides for the packets that waited for the lease.
func (c *Core) releaseKept(now time.Time) {
	if !c.mayDecide(now) || !c.kept.Swap(false) {
		return
	}
	c.eachSlot(func(s *slot) {
		if s.held {
			c.requeue(s)
		}
	})
}

// noteLives finds out who has been restarted or paused since the last view, and
// with it has lost what it was sent.
func (c *Core) noteLives() {
	clear(c.reborn)
	for _, known := range c.members.Peers() {
		if before, seen := c.lives[known.Key]; seen && !member.SameLife(before, known.Incarnation) {
			c.reborn[known.Key] = true
		}
		c.lives[known.Key] = known.Incarnation
	}
}

// keepSynced forgets that a replica has the slot if it is no longer a replica,
// cannot be reached or has begun a new life. The slot is locked.
func (c *Core) keepSynced(s *slot, holders ring.Holders) {
	peers := c.view.Load().peers
	for index, replica := range s.syncedTo {
		if !holders.Includes(replica) || !peers[replica].reachable || c.reborn[replica] {
			s.syncedTo[index] = 0
		}
	}
}

// requeue takes the packets that wait in a slot out, to be decided for anew once
// the slot is unlocked. The slot is locked.
func (c *Core) requeue(s *slot) {
	for index := range s.queue {
		c.queued.Add(-1)
		waiting := s.queue[index]
		c.output.replays = append(c.output.replays, waiting)
	}
	s.queue = nil
}

// replay decides for packets that have waited.
func (c *Core) replay() {
	replays := c.output.replays
	c.output.replays = nil
	for index := range replays {
		c.Packet(&replays[index], &c.output.Actions)
	}
}

// adaptGain lets the placement's gain follow the control traffic. An exception is
// charged with its removal, which it causes but which comes later.
func (c *Core) adaptGain(now time.Time) {
	if now.Sub(c.lastAdapt) < adaptPeriod {
		return
	}
	total := c.Counters.ControlBytes.Load() - c.removalBytes
	exceptions := c.Counters.Exceptions.Load()
	spent := float64(total-c.spentAtAdapt) + float64(exceptions-c.exceptionsAtAdapt)*removalFlowBytes*ring.ReplicaCount
	seconds := now.Sub(c.lastAdapt).Seconds()
	c.placer.Adapt(spent/seconds, float64(c.settings.ControlBytesPerSecond), c.countsAge())
	c.spentAtAdapt = total
	c.exceptionsAtAdapt = exceptions
	c.lastAdapt = now
}

// sweep deletes records whose time has passed, some slots at a time.
func (c *Core) sweep(now time.Time) {
	compiled := c.Compiled()
	if compiled == nil {
		return
	}
	for range sweepSlots {
		number := flow.Slot(c.sweepNext)
		c.sweepNext = (c.sweepNext + 1) % flow.SlotCount
		s := &c.slots[number]
		s.mutex.Lock()
		c.sweepSlot(s, compiled, now)
		removed := s.removed
		s.removed = nil
		s.mutex.Unlock()
		c.queueRemovals(number, removed)
	}
}

func (c *Core) sweepSlot(s *slot, compiled *config.Compiled, now time.Time) {
	second := c.second(now)
	c.removeFunc(s, func(id flow.ID, record flow.Record) bool {
		idle := time.Duration(second-record.Seen) * time.Second
		ended := idle > lifeOf(record, compiled.ByKey(record.Service))
		if ended && record.Kind == flow.Exception {
			s.removed = append(s.removed, uint32(id))
		}
		return ended
	})
}

// foreverLife is longer than any process runs.
const foreverLife = 1<<63 - 1

// lifeOf returns how long a record is kept after its last packet. A replica's
// records live until the owner removes them, since the owner sees the packets.
func lifeOf(record flow.Record, service *config.CompiledService) time.Duration {
	switch {
	case service == nil:
		return 0
	case record.Kind == flow.Replica:
		return foreverLife
	case record.Kind == flow.Cached:
		return CacheLife
	case record.State == flow.Closed:
		return closedLife
	case record.State == flow.Opening:
		return openingLife
	}
	return time.Duration(service.IdleTimeout)
}

func (c *Core) queueRemovals(number flow.Slot, removed []uint32) {
	if len(removed) == 0 {
		return
	}
	for _, replica := range c.view.Load().owners[number].Replicas {
		if replica != 0 && replica != c.key {
			c.removals[replica] = append(c.removals[replica], removed...)
		}
	}
}

// flushRemovals sends the low halves of removed ids in batches.
func (c *Core) flushRemovals(now time.Time) {
	if now.Before(c.nextRemoval) {
		return
	}
	c.nextRemoval = now.Add(removalPeriod)
	before := c.Counters.ControlBytes.Load()
	for _, replica := range sortedKeys(c.removals) {
		c.post(replica, &wire.Envelope{Body: &wire.Envelope_Removal{Removal: &wire.Removal{Flows: c.removals[replica]}}})
	}
	c.removalBytes += c.Counters.ControlBytes.Load() - before
	clear(c.removals)
}

// takeRemoval deletes replicas whose id's low half is named. Where two replicas
// share it, both stay: keeping one too many is harmless, deleting one is not.
func (c *Core) takeRemoval(removal *wire.Removal) {
	named := make(map[uint32]int, len(removal.Flows))
	for _, low := range removal.Flows {
		named[low] = 0
	}
	c.eachSlot(func(s *slot) {
		for id, record := range s.flows.All() {
			if count, ok := named[uint32(id)]; ok && record.Kind == flow.Replica {
				named[uint32(id)] = count + 1
			}
		}
	})
	c.eachSlot(func(s *slot) {
		c.removeFunc(s, func(id flow.ID, record flow.Record) bool {
			return record.Kind == flow.Replica && named[uint32(id)] == 1
		})
	})
}

// eachSlot visits all slots, each of them locked.
func (c *Core) eachSlot(visit func(s *slot)) {
	for index := range c.slots {
		s := &c.slots[index]
		s.mutex.Lock()
		visit(s)
		s.mutex.Unlock()
	}
}

// sortedKeys returns a map's balancers in an order that does not vary.
func sortedKeys[Value any](values map[flow.MemberKey]Value) []flow.MemberKey {
	keys := make([]flow.MemberKey, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// SetBundle takes a configuration from the platform or another balancer. An older
// version than the one in force is ignored; one with problems is refused.
func (c *Core) SetBundle(bundle config.Bundle, source string) (Output, error) {
	before := c.Compiled()
	if before != nil && bundle.Index.Version <= before.Version {
		return c.finish(), nil
	}
	compiled, err := config.Compile(bundle, c.settings.Self.Fabric, before)
	if err != nil {
		c.Counters.ConfigRejected.Add(1)
		c.log.Info("config: configuration rejected", "ConfigVersion", bundle.Index.Version, "Source", source, "Problems", err.Error())
		return c.finish(), fmt.Errorf("core: take configuration %d from %s: %w", bundle.Index.Version, source, err)
	}
	c.putInForce(before, compiled)
	c.log.Info("config: configuration in force", "ConfigVersion", compiled.Version, "Source", source)
	return c.finish(), nil
}

// putInForce keeps the defaults of unrecorded flows where they were, and only
// then lets the traffic goroutines see the new configuration.
func (c *Core) putInForce(before, after *config.Compiled) {
	if before != nil {
		c.keepBases(before, after)
	}
	c.placer.SetConfig(after, before == nil)
	c.history = append(c.history, after)
	if len(c.history) > historyLength {
		c.history = c.history[1:]
	}
	v := *c.view.Load()
	v.config = after
	c.view.Store(&v)
	c.members.SetVersion(after.Version)
	c.members.Nudge()
}

func (c *Core) keepBases(before, after *config.Compiled) {
	for _, service := range after.Services {
		old := before.ByKey(service.Key)
		if old == nil || old.Defaults == service.Defaults {
			continue
		}
		for index := range c.slots {
			s := &c.slots[index]
			s.mutex.Lock()
			if s.coverage() != wire.Coverage_COVERAGE_NONE || s.claiming {
				s.setBase(service, flow.Slot(index), s.base(old, flow.Slot(index)))
			}
			s.mutex.Unlock()
		}
	}
}

// compiledAt returns a configuration of the recent past, nil if it is not held.
func (c *Core) compiledAt(version config.Version) *config.Compiled {
	for _, compiled := range c.history {
		if compiled.Version == version {
			return compiled
		}
	}
	return nil
}

// newestPeer returns the reachable balancer with the newest configuration.
func (c *Core) newestPeer() (flow.MemberKey, config.Version) {
	var newest flow.MemberKey
	var version config.Version
	for _, known := range c.members.Peers() {
		if known.Reachable() && known.Version > version {
			newest, version = known.Key, known.Version
		}
	}
	return newest, version
}

// askForConfig fetches a newer configuration from a balancer that has it.
func (c *Core) askForConfig(now time.Time) {
	compiled := c.Compiled()
	peer, version := c.newestPeer()
	if compiled != nil && version <= compiled.Version || version == 0 || now.Before(c.nextConfigAsk) {
		return
	}
	c.nextConfigAsk = now.Add(configRetry)
	request := &wire.ConfigRequest{}
	if compiled != nil {
		request.Version = uint64(compiled.Version)
	}
	c.post(peer, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: request}})
}

// answerConfig sends what has changed since the other's configuration, or all of
// it to a balancer whose configuration is not remembered here.
func (c *Core) answerConfig(from flow.MemberKey, request *wire.ConfigRequest) {
	compiled := c.Compiled()
	if compiled == nil || uint64(compiled.Version) <= request.Version {
		return
	}
	reply := &wire.ConfigReply{Version: uint64(compiled.Version), HashSeed: uint64(compiled.HashSeed)}
	var earlier config.Bundle
	if base := c.compiledAt(config.Version(request.Version)); base != nil {
		earlier = base.Bundle
		reply.Base = request.Version
	}
	changes := compiled.Bundle.Since(earlier)
	for _, value := range changes.Changed {
		reply.Changed = append(reply.Changed, valueToWire(value))
	}
	for _, name := range changes.Removed {
		reply.Removed = append(reply.Removed, string(name))
	}
	c.post(from, &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: reply}})
}

func valueToWire(value config.Value) *wire.Value {
	return &wire.Value{Name: string(value.Name), Version: uint64(value.Version), Data: value.Data}
}

func valueFromWire(value *wire.Value) config.Value {
	return config.Value{Name: config.ValueName(value.Name), Version: config.Version(value.Version), Data: value.Data}
}

// takeConfig applies another balancer's changes to the configuration in force.
func (c *Core) takeConfig(from flow.MemberKey, reply *wire.ConfigReply) {
	var earlier config.Bundle
	compiled := c.Compiled()
	if reply.Base != 0 {
		if compiled == nil || uint64(compiled.Version) != reply.Base {
			// Another change has come first; the next request names its version.
			return
		}
		earlier = compiled.Bundle
	}
	var changes config.Changes
	for _, value := range reply.Changed {
		changes.Changed = append(changes.Changed, valueFromWire(value))
	}
	for _, name := range reply.Removed {
		changes.Removed = append(changes.Removed, config.ValueName(name))
	}
	name := c.members.Peer(from).Instance.Name
	bundle, err := earlier.With(changes, config.Version(reply.Version), flow.Seed(reply.HashSeed))
	if err != nil {
		c.log.Info("config: relay failed", "Peer", name, "Problems", err.Error())
		return
	}
	// A refusal is logged and counted where it is found.
	output, _ := c.SetBundle(bundle, "peer "+name)
	c.output.merge(output)
}
