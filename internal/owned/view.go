package owned

// The view: who holds which slot. It only routes packets and says what to claim; who
// decides for a slot is settled by claims, as views differ for a while.

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/member"
	"wigeonmoor.example/internal/ring"
)

// demote stops owning and replicating everything. What was held without a pause
// still counts as knowledge of the slot, and is told to whoever claims it.
func (c *Core) demote(continuous bool) {
	c.lease.Store(0)
	c.claim = nil
	clear(c.syncs)
	clear(c.rebases)
	lapsesAt := time.Now().Add(lapseTime)
	c.eachSlot(func(s *slot) {
		s.former = continuous && (s.held || s.former)
		s.lapsesAt = lapsesAt
		s.synced = false
		s.claiming = false
		c.release(s)
		c.requeue(s)
	})
	c.publishView()
}

// offer makes the balancer ready to own slots: it has looked for others, and no
// other has a newer configuration than the one in force here.
func (c *Core) offer() {
	if c.leaving || c.members.Ready() || c.Compiled() == nil || !c.members.JoinFinished() {
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
		if !s.held && !s.claiming && holders.Owner != c.key && !holders.HasReplica(c.key) {
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
	return !c.members.Ready() || ring.RanksWithin(domain, c.key, readerSalt, readersPerDomain)
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
		if before, seen := c.lives[known.Key]; seen && !member.SameRun(before, known.Incarnation) {
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
		if !holders.HasReplica(replica) || !peers[replica].reachable || c.reborn[replica] {
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
