package owned

// Claims transfer the ownership of slots. The balancer that the view names as the
// owner sends a claim to all others. Each replies with its records of the slots, and
// the reply of the balancer that holds a slot grants it.
//
//	claimant: Claim{slots}       -> every reachable balancer
//	holder:   ClaimReply{HELD}   -> claimant; hands packets over from now on
//	others:   ClaimReply{SYNCED, FORMER or none, records}
//	claimant: holds the slots once all have replied or become unreachable
//
// If two balancers claim one slot, the slot's rendezvous order decides: the one that
// comes first keeps the slot, and the other one gives it up and passes on everything
// that it has been granted. Electing an owner by quorum was rejected, because both
// sides of a network partition have to keep deciding.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// claim is a pending claim. There is one at a time. A view change replaces it, as the
// set of balancers that have to reply changes.
type claim struct {
	id    uint64
	slots []flow.Slot
	// waiting holds the balancers that have not replied yet.
	waiting map[flow.MemberKey]bool
	sentAt  time.Time
	// bestCoverage holds the best coverage that was reported for each slot.
	bestCoverage map[flow.Slot]wire.Coverage
	// version is the configuration version that replies may use as their reference; see
	// encodeSlot.
	version config.Version
}

// startClaim replaces the pending claim by one for the given slots.
func (c *Core) startClaim(slots []flow.Slot) {
	previous := c.claim
	c.claim = nil
	if len(slots) == 0 || c.Compiled() == nil {
		return
	}
	replacement := &claim{
		id:           c.nextID(),
		slots:        slots,
		waiting:      make(map[flow.MemberKey]bool),
		bestCoverage: make(map[flow.Slot]wire.Coverage, len(slots)),
		version:      c.Compiled().Version,
	}
	for _, peer := range c.members.Peers() {
		if peer.Reachable() {
			replacement.waiting[peer.Key] = true
		}
	}
	for _, number := range slots {
		s := &c.slots[number]
		s.mutex.Lock()
		s.claiming = true
		replacement.bestCoverage[number] = s.coverage()
		if previous != nil {
			// A slot that was granted to the replaced claim is not granted again.
			replacement.bestCoverage[number] = max(replacement.bestCoverage[number], previous.bestCoverage[number])
		}
		s.mutex.Unlock()
	}
	c.claim = replacement
	c.log.Info("owner: claiming slots from all reachable balancers", "Slots", len(slots), "Peers", len(replacement.waiting))
	c.sendClaim(time.Now())
}

func (c *Core) sendClaim(now time.Time) {
	c.claim.sentAt = now
	message := &wire.Claim{Claim: c.claim.id, ConfigVersion: uint64(c.claim.version)}
	message.Slots = packSlots(c.claim.slots)
	for _, to := range sortedKeys(c.claim.waiting) {
		c.sendEnvelope(to, &wire.Envelope{Body: &wire.Envelope_Claim{Claim: message}})
	}
}

// advanceClaim retries the pending claim, and completes it when all reachable
// balancers have replied.
func (c *Core) advanceClaim(now time.Time) {
	if c.claim == nil {
		return
	}
	for to := range c.claim.waiting {
		if peer := c.members.Peer(to); peer == nil || !peer.Reachable() {
			delete(c.claim.waiting, to)
		}
	}
	if len(c.claim.waiting) == 0 {
		if c.members.JoinFinished() {
			c.completeClaim(now)
		}
		return
	}
	if now.Sub(c.claim.sentAt) >= claimRetryInterval {
		c.sendClaim(now)
	}
}

// handleClaim replies with this balancer's records of the claimed slots. It grants
// those that it holds and from then on hands their packets over.
func (c *Core) handleClaim(from flow.MemberKey, message *wire.Claim) {
	reference := c.compiledAt(config.Version(message.ConfigVersion))
	reply := &wire.ClaimReply{Claim: message.Claim}
	if reference != nil {
		reply.ConfigVersion = uint64(reference.Version)
	}
	var kept []flow.Slot
	for _, number := range unpackSlots(message.Slots) {
		s := &c.slots[number]
		s.mutex.Lock()
		if c.keepsSlot(s, number, from) {
			kept = append(kept, number)
		} else {
			c.reportAndGrantSlot(s, number, reference, reply)
		}
		s.mutex.Unlock()
	}
	if len(kept) > 0 {
		reply.Kept = packSlots(kept)
	}
	c.sendEnvelope(from, &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: reply}})
}

// keepsSlot reports whether this balancer holds or claims the slot itself and precedes
// the claimant in the slot's rendezvous order. The claimant then does not know yet that
// this balancer is ready. The slot must be locked.
func (c *Core) keepsSlot(s *slot, number flow.Slot, claimant flow.MemberKey) bool {
	return (s.held || s.claiming) && c.members.Ready() && ring.Outranks(c.key, claimant, number)
}

// reportAndGrantSlot adds this balancer's records of a slot to a claim reply and gives
// the slot up if it holds or claims it. The reply includes what this balancer's own
// pending claim has been granted. The slot must be locked.
func (c *Core) reportAndGrantSlot(s *slot, number flow.Slot, reference *config.Compiled, reply *wire.ClaimReply) {
	coverage := s.coverage()
	if s.claiming && c.claim != nil {
		coverage = max(coverage, c.claim.bestCoverage[number])
	}
	state := c.encodeSlot(s, number, coverage, reference)
	if coverage != wire.Coverage_COVERAGE_NONE || len(state.Flows) > 0 {
		reply.Slots = append(reply.Slots, state)
	}
	if s.claiming {
		s.claiming = false
		c.releaseQueue(s)
	}
	c.grantSlot(s, c.view.Load().owners[number])
}

// grantSlot stops owning a slot, if it is held, in favor of another balancer. The slot
// must be locked.
func (c *Core) grantSlot(s *slot, holders ring.Holders) {
	if !s.held {
		return
	}
	c.releaseSlot(s)
	// This balancer's view may still name it as the owner. It then becomes a replica
	// in the new owner's view, or the next view change clears the flag.
	s.synced = holders.HasReplica(c.key) || holders.Owner == c.key
	s.former = false
}

// handleClaimReply merges the records of another balancer into the claimed slots. A grant
// of a slot that this balancer no longer claims is stored and forwarded to the owner.
func (c *Core) handleClaimReply(from flow.MemberKey, reply *wire.ClaimReply) {
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
			better := state.Coverage > c.claim.bestCoverage[number]
			c.mergeSlotState(s, state, reference, better)
			c.claim.bestCoverage[number] = max(c.claim.bestCoverage[number], state.Coverage)
		} else if s.held && state.Coverage == wire.Coverage_COVERAGE_HELD {
			c.mergeSlotState(s, state, reference, false)
		} else if state.Coverage == wire.Coverage_COVERAGE_HELD {
			stray = append(stray, flow.Slot(state.Slot))
			c.storeStrayGrant(s, state, reference)
		}
		s.mutex.Unlock()
	}
	if !reply.Forwarded {
		c.forwardStrayGrants(stray)
	}
	if current {
		c.withdrawSlots(unpackSlots(reply.Kept))
		delete(c.claim.waiting, from)
		c.advanceClaim(time.Now())
	}
}

// storeStrayGrant stores a grant that arrives after this balancer has given the slot
// up. The balancer then counts as a former holder of the slot. The slot must be locked.
func (c *Core) storeStrayGrant(s *slot, state *wire.SlotState, reference *config.Compiled) {
	c.mergeSlotState(s, state, reference, true)
	s.former = true
	s.formerUntil = time.Now().Add(formerTTL)
}

// forwardStrayGrants sends stray grants to the owners that the view names. A grant is
// forwarded only once: otherwise two balancers with different views would send it
// back and forth until the views agree.
func (c *Core) forwardStrayGrants(stray []flow.Slot) {
	owners := c.view.Load().owners
	replies := make(map[flow.MemberKey]*wire.ClaimReply)
	for _, number := range stray {
		owner := owners[number].Owner
		if owner == 0 || owner == c.key {
			// The next claim, by this balancer or another one, finds the records here.
			continue
		}
		s := &c.slots[number]
		s.mutex.Lock()
		addSlotState(replies, owner, c.encodeSlot(s, number, wire.Coverage_COVERAGE_HELD, nil))
		s.mutex.Unlock()
	}
	for _, reply := range replies {
		reply.Forwarded = true
	}
	c.sendClaimReplies(replies)
}

func addSlotState(replies map[flow.MemberKey]*wire.ClaimReply, to flow.MemberKey, state *wire.SlotState) {
	if replies[to] == nil {
		replies[to] = &wire.ClaimReply{}
	}
	replies[to].Slots = append(replies[to].Slots, state)
}

func (c *Core) sendClaimReplies(replies map[flow.MemberKey]*wire.ClaimReply) {
	for _, to := range sortedKeys(replies) {
		c.sendEnvelope(to, &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: replies[to]}})
	}
}

// withdrawSlots removes slots from the claim because another balancer keeps them. Their
// packets stay queued until the view names the other balancer as the owner.
func (c *Core) withdrawSlots(kept []flow.Slot) {
	for _, number := range kept {
		s := &c.slots[number]
		s.mutex.Lock()
		s.claiming = false
		s.mutex.Unlock()
	}
}

// mergeSlotState adds the records of another balancer to a slot. If better is true, the
// other balancer's coverage exceeds all earlier ones, and its bases and records replace
// those of the slot. The slot must be locked.
func (c *Core) mergeSlotState(s *slot, state *wire.SlotState, reference *config.Compiled, better bool) {
	number := flow.Slot(state.Slot)
	compiled := c.Compiled()
	if better {
		c.applyBases(s, state, reference)
	}
	second := c.recordSecond(time.Now())
	for index := range state.Flows {
		id, record, valid := decodeRecord(state, index)
		if !valid {
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
			// A decision of the previous owner that had not reached this balancer.
			record.Kind = flow.Exception
			if record.Backend == s.baseBackend(service, number) {
				record.Kind = flow.Default
			}
		} else {
			record.Kind = flow.Replica
		}
		record.LastSeen = second
		c.putRecord(s, id, record)
	}
}

// applyBases sets the slot's bases to those of the sender. The sender omits bases that
// equal the defaults of the reference configuration. The slot must be locked.
func (c *Core) applyBases(s *slot, state *wire.SlotState, reference *config.Compiled) {
	number := flow.Slot(state.Slot)
	for _, service := range c.Compiled().Services {
		base := service.Defaults[number]
		if reference != nil {
			if referenceService := reference.ByKey(service.Key); referenceService != nil {
				base = referenceService.Defaults[number]
			}
		}
		for _, cell := range state.Cells {
			if flow.ServiceKey(cell.Service) == service.Key {
				base = flow.BackendKey(cell.Backend)
			}
		}
		s.setBaseBackend(service, number, base)
	}
}

// completeClaim makes this balancer the owner of the claimed slots.
func (c *Core) completeClaim(now time.Time) {
	ended := c.claim
	c.claim = nil
	doubtful := 0
	for _, number := range ended.slots {
		s := &c.slots[number]
		s.mutex.Lock()
		if !s.claiming {
			// Given up to a balancer that precedes this one in the slot's order.
			s.mutex.Unlock()
			continue
		}
		coverage := ended.bestCoverage[number]
		c.acquireSlot(s, number, now, coverage)
		if coverage == wire.Coverage_COVERAGE_NONE {
			doubtful++
		}
		c.releaseQueue(s)
		s.mutex.Unlock()
	}
	c.Counters.Takeovers.Add(int64(len(ended.slots)))
	c.log.Info("owner: claim of slots completed", "Slots", len(ended.slots), "Doubtful", doubtful)
}

// acquireSlot makes this balancer the owner of a slot whose records have the given
// coverage. The slot must be locked.
func (c *Core) acquireSlot(s *slot, number flow.Slot, now time.Time, coverage wire.Coverage) {
	s.claiming = false
	s.held = true
	s.synced = false
	s.former = false
	s.observedSince = now
	s.refusalsAllowedAt = now.Add(refusalDelay)
	s.retransmitsEndAt = now.Add(retransmitWindow)
	if coverage == wire.Coverage_COVERAGE_HELD {
		// The previous owner has reported all opening flows.
		s.retransmitsEndAt = now
		s.refusalsAllowedAt = now
	}
	if coverage == wire.Coverage_COVERAGE_NONE {
		s.unknownDroppedUntil = now.Add(UnknownFlowDropTimeout)
	}
	c.promoteReplicas(s, number)
}

// promoteReplicas turns replica records into owned records. The slot must be locked.
func (c *Core) promoteReplicas(s *slot, number flow.Slot) {
	compiled := c.Compiled()
	for id, record := range s.flows.All() {
		service := compiled.ByKey(record.Service)
		if service == nil || record.Kind != flow.Replica {
			continue
		}
		record.Kind = flow.Exception
		if record.Backend == s.baseBackend(service, number) {
			record.Kind = flow.Default
		}
		// Replicas do not see later packets, so the flow may have opened meanwhile.
		if record.State == flow.Opening {
			record.State = flow.Open
		}
		record.LastSeen = c.recordSecond(time.Now())
		c.putRecord(s, id, record)
	}
}

// pushGrants grants held slots to the owner that the view names if the owner has not
// claimed them. This happens if the owner's claim ran before this balancer's claim while
// the two views differed.
func (c *Core) pushGrants(now time.Time) {
	if now.Sub(c.viewPublishedAt) < grantPushDelay {
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
			addSlotState(replies, owner, c.encodeSlot(s, flow.Slot(index), wire.Coverage_COVERAGE_HELD, nil))
			c.grantSlot(s, v.owners[index])
		}
		s.mutex.Unlock()
	}
	c.sendClaimReplies(replies)
}

const (
	bitsPerByte     = 8
	slotBitmapBytes = (flow.SlotCount + bitsPerByte - 1) / bitsPerByte
	// slotNumberBytes is the size of a slot number in a list.
	slotNumberBytes = 2
)

// packSlots encodes slots as a list with two bytes for each slot, or as a bitmap of 512
// bytes if the list would not be smaller.
func packSlots(slots []flow.Slot) *wire.SlotSet {
	set := &wire.SlotSet{}
	if len(slots)*slotNumberBytes < slotBitmapBytes {
		for _, number := range slots {
			set.Few = append(set.Few, uint32(number))
		}
		return set
	}
	set.Many = make([]byte, slotBitmapBytes)
	for _, number := range slots {
		set.Many[number/bitsPerByte] |= 1 << (number % bitsPerByte)
	}
	return set
}

// unpackSlots decodes slots. Numbers and bits beyond the last slot are ignored.
func unpackSlots(set *wire.SlotSet) []flow.Slot {
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
