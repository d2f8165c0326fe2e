package owned

// Computation of the view, which names the owner and replicas of each slot. The view only
// determines where packets are routed and which slots are claimed. Views of different
// balancers can differ for a while, so only a completed claim makes a balancer the owner.

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/member"
	"wigeonmoor.example/internal/ring"
)

// releaseAllSlots stops owning and replicating all slots. If this balancer was not paused
// (continuous), its records of the slots that it owned are still complete, and it counts
// as a former holder of them.
func (c *Core) releaseAllSlots(continuous bool) {
	c.leaseUntil.Store(0)
	c.claim = nil
	clear(c.pendingSyncs)
	clear(c.pendingRebases)
	formerUntil := time.Now().Add(formerTTL)
	c.forEachSlot(func(s *slot) {
		s.former = continuous && (s.held || s.former)
		s.formerUntil = formerUntil
		s.synced = false
		s.claiming = false
		c.releaseSlot(s)
		c.releaseQueue(s)
	})
	c.publishView()
}

// updateReadiness offers to own slots once this balancer has looked for others and no
// reachable balancer has a newer configuration.
func (c *Core) updateReadiness() {
	if c.leaving || c.members.Ready() || c.Compiled() == nil || !c.members.JoinFinished() {
		return
	}
	if _, version := c.peerWithNewestConfig(); version > c.Compiled().Version {
		return
	}
	c.log.Info("member: ready to own slots", "ConfigVersion", c.Compiled().Version)
	c.members.SetReady(true)
	c.applyEvents()
}

// publishView recomputes the owner and replicas of each slot, publishes the new view to the
// traffic goroutines and claims the slots that this balancer is to own.
func (c *Core) publishView() {
	c.viewChanged = false
	c.viewPublishedAt = time.Now()
	before := c.view.Load()
	ready := make([]ring.Member, 0, len(before.peers)+1)
	peers := make(map[flow.MemberKey]peer, len(before.peers))
	listed := make(map[netip.AddrPort]bool, len(before.peers))
	for _, other := range c.members.Peers() {
		peers[other.Key] = peer{address: other.Instance.Address, reachable: other.Reachable()}
		listed[other.Instance.Address] = true
		if other.Ready && other.Reachable() {
			ready = append(ready, ring.Member{Key: other.Key, Domain: other.Instance.Domain, Rack: other.Instance.Rack})
		}
	}
	if c.members.Ready() {
		self := c.settings.Self
		ready = append(ready, ring.Member{Key: c.key, Domain: self.Domain, Rack: self.Rack})
	}
	c.view.Store(&view{
		config:         before.config,
		owners:         ring.NewOwners(ready),
		peers:          peers,
		peerAddresses:  listed,
		platformReader: c.readsPlatform(ready),
		readyMembers:   ready,
	})
	c.detectRestarts()
	c.reconcileSlots()
}

// reconcileSlots adapts the state of each slot to the view and starts a claim for those
// that the view assigns to this balancer and that it does not hold.
func (c *Core) reconcileSlots() {
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
			c.releaseQueue(s)
		}
		if !s.held && !s.claiming && holders.Owner != c.key && !holders.HasReplica(c.key) {
			c.expireReplicaState(s, now)
		}
		c.pruneSyncedReplicas(s, holders)
		s.mutex.Unlock()
	}
	c.startClaim(wanted)
}

// reconcile repairs slots whose ownership does not match the view, at most once per
// reconcileInterval. It grants slots that the view assigns to another balancer, and claims
// slots that another balancer kept and has lost since.
func (c *Core) reconcile(now time.Time) {
	if now.Before(c.nextReconcileAt) {
		return
	}
	c.nextReconcileAt = now.Add(reconcileInterval)
	c.pushGrants(now)
	if c.claim == nil {
		c.reconcileSlots()
	}
}

// readsPlatform reports whether this balancer watches the platform. It is true for
// readersPerDomain ready balancers of each failure domain, and for balancers that are not
// ready yet.
func (c *Core) readsPlatform(ready []ring.Member) bool {
	var domain []ring.Member
	for _, candidate := range ready {
		if candidate.Domain == c.settings.Self.Domain {
			domain = append(domain, candidate)
		}
	}
	return !c.members.Ready() || ring.RanksWithin(domain, c.key, readerSalt, readersPerDomain)
}

// expireReplicaState updates a slot that this balancer no longer owns or replicates. If the
// owner fails before the new replicas are synced, this balancer may have the only records,
// so it counts as a former holder until formerTTL has passed. The slot must be locked.
func (c *Core) expireReplicaState(s *slot, now time.Time) {
	if s.synced {
		s.synced = false
		s.former = true
		s.formerUntil = now.Add(formerTTL)
	}
	if !s.former {
		s.baseOverrides = nil
	}
	if s.former && now.After(s.formerUntil) {
		s.former = false
		s.baseOverrides = nil
	}
}

// releaseLeaseQueue releases the packets that were queued until the lease was renewed.
func (c *Core) releaseLeaseQueue(now time.Time) {
	if !c.leaseValid(now) || !c.packetsAwaitLease.Swap(false) {
		return
	}
	c.forEachSlot(func(s *slot) {
		if s.held {
			c.releaseQueue(s)
		}
	})
}

// detectRestarts determines which peers were restarted or paused since the last view and
// have therefore lost the slots that were synced to them.
func (c *Core) detectRestarts() {
	clear(c.restartedPeers)
	for _, peer := range c.members.Peers() {
		if before, seen := c.lastIncarnations[peer.Key]; seen && !member.SameRun(before, peer.Incarnation) {
			c.restartedPeers[peer.Key] = true
		}
		c.lastIncarnations[peer.Key] = peer.Incarnation
	}
}

// pruneSyncedReplicas removes the synced replicas of a slot that are no longer its
// replicas, are unreachable or were restarted. The slot must be locked.
func (c *Core) pruneSyncedReplicas(s *slot, holders ring.Holders) {
	peers := c.view.Load().peers
	for index, replica := range s.syncedReplicas {
		if !holders.HasReplica(replica) || !peers[replica].reachable || c.restartedPeers[replica] {
			s.syncedReplicas[index] = 0
		}
	}
}

// releaseQueue moves the queued packets of a slot to the output's replays, so that they are
// handled again once the slot is unlocked. The slot must be locked.
func (c *Core) releaseQueue(s *slot) {
	for index := range s.queuedPackets {
		c.queuedCount.Add(-1)
		waiting := s.queuedPackets[index]
		c.output.replays = append(c.output.replays, waiting)
	}
	s.queuedPackets = nil
}

// replayPackets handles the released packets again.
func (c *Core) replayPackets() {
	replays := c.output.replays
	c.output.replays = nil
	for index := range replays {
		c.HandlePacket(&replays[index], &c.output.Actions)
	}
}
