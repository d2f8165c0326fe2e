package owned

// Claims move ownership. The balancer that the view names asks all others; each
// answers with what it knows, and whoever holds a slot grants it with the answer.
//
//	claimant: Claim{slots}       -> everybody reachable
//	holder:   ClaimReply{HELD}   -> claimant; from here on it hands packets over
//	others:   ClaimReply{SYNCED, FORMER or none, records}
//	claimant: holds the slots once all have answered or died
//
// Two claimants of one slot are told apart by the slot's order: the earlier one
// keeps it, the later one gives it up with all that it was granted. Electing an
// owner by majority was rejected: each side of a partition has to go on.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// claim is the pending request for the knowledge of all others. There is one at a
// time; a change of the view replaces it, as it changes whom to ask.
type claim struct {
	id      uint64
	slots   []flow.Slot
	waiting map[flow.MemberKey]bool
	sentAt  time.Time
	// covered holds the best coverage that anybody told, by slot.
	covered map[flow.Slot]wire.Coverage
	version config.Version
}

// startClaim asks for all slots that this balancer is to own and does not hold.
func (c *Core) startClaim(slots []flow.Slot) {
	previous := c.claim
	c.claim = nil
	if len(slots) == 0 || c.Compiled() == nil {
		return
	}
	next := &claim{
		id:      c.nextID(),
		slots:   slots,
		waiting: make(map[flow.MemberKey]bool),
		covered: make(map[flow.Slot]wire.Coverage, len(slots)),
		version: c.Compiled().Version,
	}
	for _, known := range c.members.Peers() {
		if known.Reachable() {
			next.waiting[known.Key] = true
		}
	}
	for _, number := range slots {
		s := &c.slots[number]
		s.mutex.Lock()
		s.claiming = true
		next.covered[number] = s.coverage()
		if previous != nil {
			// A grant that the replaced claim has received is not given twice.
			next.covered[number] = max(next.covered[number], previous.covered[number])
		}
		s.mutex.Unlock()
	}
	c.claim = next
	c.log.Info("owner: claiming slots", "Slots", len(slots), "Peers", len(next.waiting))
	c.sendClaim(time.Now())
}

func (c *Core) sendClaim(now time.Time) {
	c.claim.sentAt = now
	message := &wire.Claim{Claim: c.claim.id, ConfigVersion: uint64(c.claim.version)}
	message.Slots = slotSet(c.claim.slots)
	for _, to := range sortedKeys(c.claim.waiting) {
		c.post(to, &wire.Envelope{Body: &wire.Envelope_Claim{Claim: message}})
	}
}

// driveClaim repeats a claim and ends it when all reachable balancers answered.
func (c *Core) driveClaim(now time.Time) {
	if c.claim == nil {
		return
	}
	for to := range c.claim.waiting {
		if known := c.members.Peer(to); known == nil || !known.Reachable() {
			delete(c.claim.waiting, to)
		}
	}
	if len(c.claim.waiting) == 0 {
		if c.members.JoinFinished() {
			c.endClaim(now)
		}
		return
	}
	if now.Sub(c.claim.sentAt) >= claimRetry {
		c.sendClaim(now)
	}
}

// answerClaim tells what this balancer knows of the slots, and grants those that
// it holds: from then on it hands their new flows over.
func (c *Core) answerClaim(from flow.MemberKey, message *wire.Claim) {
	reference := c.compiledAt(config.Version(message.ConfigVersion))
	reply := &wire.ClaimReply{Claim: message.Claim}
	if reference != nil {
		reply.ConfigVersion = uint64(reference.Version)
	}
	var kept []flow.Slot
	for _, number := range slotsOf(message.Slots) {
		s := &c.slots[number]
		s.mutex.Lock()
		if c.keeps(s, number, from) {
			kept = append(kept, number)
		} else {
			c.tell(s, number, reference, reply)
		}
		s.mutex.Unlock()
	}
	if len(kept) > 0 {
		reply.Kept = slotSet(kept)
	}
	c.post(from, &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: reply}})
}

// keeps reports whether this balancer holds or claims the slot itself and comes
// before the claimant, which then does not know yet that this one is ready. The
// slot is locked.
func (c *Core) keeps(s *slot, number flow.Slot, claimant flow.MemberKey) bool {
	return (s.held || s.claiming) && c.members.Ready() && ring.Outranks(c.key, claimant, number)
}

// tell adds what this balancer knows of a slot to a reply, and gives the slot up.
// What a claim of its own has been granted meanwhile is passed on. The slot is
// locked.
func (c *Core) tell(s *slot, number flow.Slot, reference *config.Compiled, reply *wire.ClaimReply) {
	coverage := s.coverage()
	if s.claiming && c.claim != nil {
		coverage = max(coverage, c.claim.covered[number])
	}
	state := c.encode(s, number, coverage, reference)
	if coverage != wire.Coverage_COVERAGE_NONE || len(state.Flows) > 0 {
		reply.Slots = append(reply.Slots, state)
	}
	if s.claiming {
		s.claiming = false
		c.requeue(s)
	}
	c.grant(s, c.view.Load().owners[number])
}

// grant gives a held slot up. The slot is locked.
func (c *Core) grant(s *slot, holders ring.Holders) {
	if !s.held {
		return
	}
	c.release(s)
	// In this balancer's view it may still be the owner; the next owner's view
	// then makes it a replica, or a change of view takes the mark away.
	s.synced = holders.HasReplica(c.key) || holders.Owner == c.key
	s.former = false
}

// takeReply merges what another balancer knows.
func (c *Core) takeReply(from flow.MemberKey, reply *wire.ClaimReply) {
	reference := c.compiledAt(config.Version(reply.ConfigVersion))
	current := c.claim != nil && c.claim.id == reply.Claim
	var stray []flow.Slot
	for _, state := range reply.Slots {
		if state.Slot >= flow.SlotCount {
			c.Counters.DroppedMalform.Add(1)
			continue
		}
		s := &c.slots[state.Slot]
		s.mutex.Lock()
		if c.claim != nil && s.claiming {
			number := flow.Slot(state.Slot)
			better := state.Coverage > c.claim.covered[number]
			c.mergeState(s, state, reference, better)
			c.claim.covered[number] = max(c.claim.covered[number], state.Coverage)
		} else if s.held && state.Coverage == wire.Coverage_COVERAGE_HELD {
			c.mergeState(s, state, reference, false)
		} else if state.Coverage == wire.Coverage_COVERAGE_HELD {
			stray = append(stray, flow.Slot(state.Slot))
			c.takeStray(s, state, reference)
		}
		s.mutex.Unlock()
	}
	if !reply.Forwarded {
		c.passOn(stray)
	}
	if current {
		c.yieldSlots(slotsOf(reply.Kept))
		delete(c.claim.waiting, from)
		c.driveClaim(time.Now())
	}
}

// takeStray keeps a grant that arrives after this balancer has given the slot up,
// as a former owner would. The slot is locked.
func (c *Core) takeStray(s *slot, state *wire.SlotState, reference *config.Compiled) {
	c.mergeState(s, state, reference, true)
	s.former = true
	s.lapsesAt = time.Now().Add(lapseTime)
}

// passOn sends stray grants to the slots' owners in the view, once: two balancers
// whose views differ would otherwise send them to and fro until the views agree.
func (c *Core) passOn(stray []flow.Slot) {
	owners := c.view.Load().owners
	replies := make(map[flow.MemberKey]*wire.ClaimReply)
	for _, number := range stray {
		owner := owners[number].Owner
		if owner == 0 || owner == c.key {
			// The next claim, this balancer's or another's, finds the records here.
			continue
		}
		s := &c.slots[number]
		s.mutex.Lock()
		addState(replies, owner, c.encode(s, number, wire.Coverage_COVERAGE_HELD, nil))
		s.mutex.Unlock()
	}
	for _, reply := range replies {
		reply.Forwarded = true
	}
	c.postReplies(replies)
}

func addState(replies map[flow.MemberKey]*wire.ClaimReply, to flow.MemberKey, state *wire.SlotState) {
	if replies[to] == nil {
		replies[to] = &wire.ClaimReply{}
	}
	replies[to].Slots = append(replies[to].Slots, state)
}

func (c *Core) postReplies(replies map[flow.MemberKey]*wire.ClaimReply) {
	for _, to := range sortedKeys(replies) {
		c.post(to, &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: replies[to]}})
	}
}

// yieldSlots takes slots out of the claim that another balancer keeps. Packets wait
// until this one's view names the other as their owner.
func (c *Core) yieldSlots(kept []flow.Slot) {
	for _, number := range kept {
		s := &c.slots[number]
		s.mutex.Lock()
		s.claiming = false
		s.mutex.Unlock()
	}
}

// mergeState adds the records of another balancer to a slot. If it knows better
// than all before, its bases and records go first. The slot is locked.
func (c *Core) mergeState(s *slot, state *wire.SlotState, reference *config.Compiled, better bool) {
	number := flow.Slot(state.Slot)
	compiled := c.Compiled()
	if better {
		c.takeBases(s, state, reference)
	}
	second := c.second(time.Now())
	for index := range state.Flows {
		id, record, sound := recordAt(state, index)
		if !sound {
			c.Counters.DroppedMalform.Add(1)
			return
		}
		service := compiled.ByKey(record.Service)
		if service == nil {
			continue
		}
		held, known := s.flows.Get(id)
		if known && held.Kind != flow.Cached && !better {
			continue
		}
		if s.held {
			// A decision of the owner before that this owner has not heard of.
			record.Kind = flow.Exception
			if record.Backend == s.base(service, number) {
				record.Kind = flow.Default
			}
		} else {
			record.Kind = flow.Replica
		}
		record.LastSeen = second
		c.put(s, id, record)
	}
}

// takeBases sets the defaults of unrecorded flows as the sender has them. It left
// out those that agree with the reference configuration. The slot is locked.
func (c *Core) takeBases(s *slot, state *wire.SlotState, reference *config.Compiled) {
	number := flow.Slot(state.Slot)
	for _, service := range c.Compiled().Services {
		base := service.Defaults[number]
		if reference != nil {
			if theirs := reference.ByKey(service.Key); theirs != nil {
				base = theirs.Defaults[number]
			}
		}
		for _, cell := range state.Cells {
			if flow.ServiceKey(cell.Service) == service.Key {
				base = flow.BackendKey(cell.Backend)
			}
		}
		s.setBase(service, number, base)
	}
}

// endClaim begins to decide for the claimed slots.
func (c *Core) endClaim(now time.Time) {
	ended := c.claim
	c.claim = nil
	doubtful := 0
	for _, number := range ended.slots {
		s := &c.slots[number]
		s.mutex.Lock()
		if !s.claiming {
			// Given up to a balancer that comes before this one.
			s.mutex.Unlock()
			continue
		}
		coverage := ended.covered[number]
		c.hold(s, number, now, coverage)
		if coverage == wire.Coverage_COVERAGE_NONE {
			doubtful++
		}
		c.requeue(s)
		s.mutex.Unlock()
	}
	c.Counters.Takeovers.Add(int64(len(ended.slots)))
	c.log.Info("owner: holding slots", "Slots", len(ended.slots), "Doubtful", doubtful)
}

// hold makes this balancer the slot's owner. The slot is locked.
func (c *Core) hold(s *slot, number flow.Slot, now time.Time, coverage wire.Coverage) {
	s.claiming = false
	s.held = true
	s.synced = false
	s.former = false
	s.knownSince = now
	s.refuseAt = now.Add(refuseTime)
	s.settledAt = now.Add(settleTime)
	if coverage == wire.Coverage_COVERAGE_HELD {
		// The owner before told of all flows that were opening.
		s.settledAt = now
		s.refuseAt = now
	}
	if coverage == wire.Coverage_COVERAGE_NONE {
		s.doubtUntil = now.Add(DoubtLimit)
	}
	c.ownRecords(s, number)
}

// ownRecords turns replicas into owned records. The slot is locked.
func (c *Core) ownRecords(s *slot, number flow.Slot) {
	compiled := c.Compiled()
	for id, record := range s.flows.All() {
		service := compiled.ByKey(record.Service)
		if service == nil || record.Kind != flow.Replica {
			continue
		}
		record.Kind = flow.Exception
		if record.Backend == s.base(service, number) {
			record.Kind = flow.Default
		}
		// Replicas learn of no later packets, so a flow counts as open from here.
		if record.State == flow.Opening {
			record.State = flow.Open
		}
		record.LastSeen = c.second(time.Now())
		c.put(s, id, record)
	}
}

// pushGrants hands slots over whose owner in the view has not claimed them, as
// when its claim ran before this balancer's and the two views differed.
func (c *Core) pushGrants(now time.Time) {
	if now.Sub(c.viewSince) < grantPushAfter {
		return
	}
	v := c.view.Load()
	replies := make(map[flow.MemberKey]*wire.ClaimReply)
	for index := range c.slots {
		owner := v.owners[index].Owner
		if owner == c.key || owner == 0 {
			continue
		}
		s := &c.slots[index]
		s.mutex.Lock()
		if s.held {
			addState(replies, owner, c.encode(s, flow.Slot(index), wire.Coverage_COVERAGE_HELD, nil))
			c.grant(s, v.owners[index])
		}
		s.mutex.Unlock()
	}
	c.postReplies(replies)
}

const (
	bitsPerByte = 8
	slotSetSize = (flow.SlotCount + bitsPerByte - 1) / bitsPerByte
	// fewBytes is what a slot takes in a list.
	fewBytes = 2
)

// slotSet packs slots: two bytes each, or 512 bytes however many there are.
func slotSet(slots []flow.Slot) *wire.SlotSet {
	set := &wire.SlotSet{}
	if len(slots)*fewBytes < slotSetSize {
		for _, number := range slots {
			set.Few = append(set.Few, uint32(number))
		}
		return set
	}
	set.Many = make([]byte, slotSetSize)
	for _, number := range slots {
		set.Many[number/bitsPerByte] |= 1 << (number % bitsPerByte)
	}
	return set
}

// slotsOf unpacks slots. Numbers and bits beyond the last slot are ignored.
func slotsOf(set *wire.SlotSet) []flow.Slot {
	var slots []flow.Slot
	for _, number := range set.GetFew() {
		if number < flow.SlotCount {
			slots = append(slots, flow.Slot(number))
		}
	}
	many := set.GetMany()
	for number := range flow.Slot(flow.SlotCount) {
		at := int(number / bitsPerByte)
		if at < len(many) && many[at]&(1<<(number%bitsPerByte)) != 0 {
			slots = append(slots, number)
		}
	}
	return slots
}
