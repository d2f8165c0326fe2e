package owned

// Replication by messages, in addition to the chain. A sync copies whole slots to a
// replica that lacks them. A rebase moves the base of a slot and service to the default
// of the configuration in force. Both start only while there is control budget, and are
// started again until they are acknowledged. A log of changes was rejected: a slot's
// state is a few records, and replacing it as a whole needs no history.

import (
	"slices"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Times and limits of replication.
const (
	syncInterval = 200 * time.Millisecond
	// syncTimeout is how long an acknowledgment is awaited before the slots are sent
	// again.
	syncTimeout    = time.Second
	rebaseInterval = time.Second
	// rebaseTimeout is how long acknowledgments are awaited before a rebase is aborted.
	rebaseTimeout     = 3 * time.Second
	maxPendingRebases = 16
	bytesPerFlow      = 14 // the encoded size of a record in bytes
	// recentReplicaAge is the age up to which a replica record may be newer than a sync
	// message and is kept.
	recentReplicaAge = 10 * time.Second
)

// pendingSync is a sync that a replica has not acknowledged yet.
type pendingSync struct {
	replica flow.MemberKey
	slots   []flow.Slot
	sentAt  time.Time
}

// pendingRebase is a rebase that some replicas have not acknowledged yet.
type pendingRebase struct {
	slot    flow.Slot
	service flow.ServiceKey
	backend flow.BackendKey
	// waiting holds the replicas that have not acknowledged the rebase.
	waiting map[flow.MemberKey]bool
	sentAt  time.Time
}

// advanceSyncs sends the replicas the slots that they lack, as far as the control budget
// allows, with at most one unacknowledged message per replica.
func (c *Core) advanceSyncs(now time.Time) {
	if now.Sub(c.lastSyncAt) < syncInterval {
		return
	}
	c.lastSyncAt = now
	busy := make(map[flow.MemberKey]bool)
	for id, pending := range c.pendingSyncs {
		if now.Sub(pending.sentAt) >= syncTimeout {
			delete(c.pendingSyncs, id)
			continue
		}
		busy[pending.replica] = true
	}
	wanted := c.unsyncedSlots(busy)
	for _, replica := range sortedKeys(wanted) {
		if !c.hasBudget(0) {
			return
		}
		c.sendSync(replica, wanted[replica], now)
	}
}

// unsyncedSlots returns, for each reachable replica that is not busy, the held slots that
// it lacks, up to maxSlotsPerSync.
func (c *Core) unsyncedSlots(busy map[flow.MemberKey]bool) map[flow.MemberKey][]flow.Slot {
	v := c.view.Load()
	wanted := make(map[flow.MemberKey][]flow.Slot)
	for index := range c.slots {
		s := &c.slots[index]
		s.mutex.Lock()
		if s.held {
			for _, replica := range v.owners[index].Replicas {
				lacks := replica != c.key && v.peers[replica].reachable && !slices.Contains(s.syncedReplicas[:], replica)
				if lacks && !busy[replica] && len(wanted[replica]) < maxSlotsPerSync {
					wanted[replica] = append(wanted[replica], flow.Slot(index))
				}
			}
		}
		s.mutex.Unlock()
	}
	return wanted
}

func (c *Core) sendSync(replica flow.MemberKey, slots []flow.Slot, now time.Time) {
	peer := c.members.Peer(replica)
	if peer == nil {
		return
	}
	pending := &pendingSync{replica: replica, slots: slots, sentAt: now}
	id := c.nextID()
	message := &wire.Sync{Sync: id}
	reference := c.compiledAt(peer.Version)
	if reference != nil {
		message.ConfigVersion = uint64(reference.Version)
	}
	for _, number := range slots {
		s := &c.slots[number]
		s.mutex.Lock()
		message.Slots = append(message.Slots, c.encodeSlot(s, number, s.coverage(), reference))
		s.mutex.Unlock()
	}
	c.pendingSyncs[id] = pending
	c.sendEnvelope(replica, &wire.Envelope{Body: &wire.Envelope_Sync{Sync: message}})
}

// handleSync replaces this replica's copies of the slots by those of the owner. Slots that
// this balancer holds or claims are skipped. A message that refers to a configuration
// that this balancer does not have is ignored; the owner sends it again.
func (c *Core) handleSync(from flow.MemberKey, message *wire.Sync) {
	if c.Compiled() == nil {
		return
	}
	reference := c.compiledAt(config.Version(message.ConfigVersion))
	if reference == nil && message.ConfigVersion != 0 {
		return
	}
	for _, state := range message.Slots {
		if state.Slot >= flow.SlotCount {
			c.Counters.DroppedMalform.Add(1)
			return
		}
		s := &c.slots[state.Slot]
		s.mutex.Lock()
		if !s.held && !s.claiming {
			c.removeOldReplicas(s)
			c.mergeSlotState(s, state, reference, true)
			s.synced = true
			s.former = false
		}
		s.mutex.Unlock()
	}
	c.sendEnvelope(from, &wire.Envelope{Body: &wire.Envelope_SyncAck{SyncAck: &wire.SyncAck{Sync: message.Sync}}})
}

// removeOldReplicas deletes replica records before a sync replaces them. Records that
// recently arrived with a packet may be newer than the sync and are kept. The slot must
// be locked.
func (c *Core) removeOldReplicas(s *slot) {
	second := c.recordSecond(time.Now())
	c.removeRecords(s, func(_ flow.ID, record flow.Record) bool {
		age := time.Duration(second-record.LastSeen) * time.Second
		return record.Kind == flow.Replica && age > recentReplicaAge
	})
}

// handleSyncAck records that a replica has the slots of a sync.
func (c *Core) handleSyncAck(from flow.MemberKey, message *wire.SyncAck) {
	pending := c.pendingSyncs[message.Sync]
	if pending == nil || pending.replica != from {
		return
	}
	delete(c.pendingSyncs, message.Sync)
	holders := c.view.Load().owners
	for _, number := range pending.slots {
		s := &c.slots[number]
		s.mutex.Lock()
		free := slices.Index(s.syncedReplicas[:], 0)
		if s.held && holders[number].HasReplica(from) && !slices.Contains(s.syncedReplicas[:], from) && free >= 0 {
			s.syncedReplicas[free] = from
		}
		s.mutex.Unlock()
	}
}

// advanceRebases aborts rebases that timed out and starts new ones for bases that differ
// from the defaults of the configuration in force. The open flows on the old base are
// first recorded as exceptions on the replicas. Until that is done, new flows of the slot
// and service are recorded as exceptions, too.
func (c *Core) advanceRebases(now time.Time) {
	if now.Sub(c.lastRebaseAt) < rebaseInterval {
		return
	}
	c.lastRebaseAt = now
	for id, pending := range c.pendingRebases {
		if now.Sub(pending.sentAt) >= rebaseTimeout {
			c.abortRebase(id, pending)
		}
	}
	for index := range c.slots {
		if len(c.pendingRebases) >= maxPendingRebases || !c.hasBudget(0) {
			return
		}
		c.startRebase(flow.Slot(index), now)
	}
}

// abortRebase gives up a rebase. A later rebase may move the base.
func (c *Core) abortRebase(id uint64, pending *pendingRebase) {
	delete(c.pendingRebases, id)
	s := &c.slots[pending.slot]
	s.mutex.Lock()
	s.rebasingService = 0
	s.mutex.Unlock()
}

// startRebase starts to move one base of the slot, if there is one that can be moved and
// all reachable replicas are synced.
func (c *Core) startRebase(number flow.Slot, now time.Time) {
	compiled := c.Compiled()
	if compiled == nil {
		return
	}
	v := c.view.Load()
	s := &c.slots[number]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	service := c.rebasableService(s, number, compiled, now)
	if service == nil {
		return
	}
	pending := &pendingRebase{
		slot:    number,
		service: service.Key,
		backend: service.Defaults[number],
		waiting: make(map[flow.MemberKey]bool),
		sentAt:  now,
	}
	message := &wire.Rebase{
		Rebase: c.nextID(),
		Slot:   uint32(number),
		Cell:   &wire.Cell{Service: uint32(service.Key), Backend: uint32(pending.backend)},
	}
	c.recordAsExceptions(s, service, message)
	s.rebasingService = service.Key
	for _, replica := range v.owners[number].Replicas {
		if !v.peers[replica].reachable {
			continue
		}
		if !slices.Contains(s.syncedReplicas[:], replica) {
			s.rebasingService = 0
			return
		}
		pending.waiting[replica] = true
	}
	c.pendingRebases[message.Rebase] = pending
	for _, replica := range sortedKeys(pending.waiting) {
		c.sendEnvelope(replica, &wire.Envelope{Body: &wire.Envelope_Rebase{Rebase: message}})
	}
	if len(pending.waiting) == 0 {
		c.completeRebase(s, message.Rebase, pending)
	}
}

// rebasableService returns a service whose base differs from its default and can be moved,
// or nil. This balancer must hold the slot, and must have recorded its flows for at least
// the service's idle timeout, so that no open flow lacks a record. The slot must be
// locked.
func (c *Core) rebasableService(s *slot, number flow.Slot, compiled *config.Compiled, now time.Time) *config.CompiledService {
	if !s.held || s.rebasingService != 0 {
		return nil
	}
	for _, service := range compiled.Services {
		_, overridden := s.baseOverrides[service.Key]
		observed := now.Sub(s.observedSince) >= time.Duration(service.IdleTimeout)
		if overridden && observed && service.Defaults[number] != 0 {
			return service
		}
	}
	return nil
}

// recordAsExceptions turns the service's owned flows into exceptions, so that the move of
// the base does not affect them, and adds them to the message. The slot must be locked.
func (c *Core) recordAsExceptions(s *slot, service *config.CompiledService, message *wire.Rebase) {
	for id, record := range s.flows.All() {
		if record.Service != service.Key || !record.Owned() {
			continue
		}
		message.Flows = append(message.Flows, uint64(id))
		message.Backends = append(message.Backends, uint32(record.Backend))
		record.Kind = flow.Exception
		c.putRecord(s, id, record)
	}
}

// completeRebase moves the base. The slot must be locked.
func (c *Core) completeRebase(s *slot, id uint64, pending *pendingRebase) {
	delete(c.pendingRebases, id)
	s.rebasingService = 0
	service := c.Compiled().ByKey(pending.service)
	if service == nil || !s.held {
		return
	}
	s.setBaseBackend(service, pending.slot, pending.backend)
}

// handleRebase records the flows of a rebase on this replica, moves the replica's base and
// acknowledges the rebase.
func (c *Core) handleRebase(from flow.MemberKey, message *wire.Rebase) {
	compiled := c.Compiled()
	if compiled == nil || message.Cell == nil || message.Slot >= flow.SlotCount || len(message.Flows) != len(message.Backends) {
		c.Counters.DroppedMalform.Add(1)
		return
	}
	service := compiled.ByKey(flow.ServiceKey(message.Cell.Service))
	if service == nil {
		return
	}
	s := &c.slots[message.Slot]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held || s.claiming || !s.synced {
		return
	}
	for index, id := range message.Flows {
		if flow.ID(id).Slot() != flow.Slot(message.Slot) {
			c.Counters.DroppedMalform.Add(1)
			return
		}
		c.putRecord(s, flow.ID(id), flow.Record{
			Backend:  flow.BackendKey(message.Backends[index]),
			Service:  service.Key,
			LastSeen: c.recordSecond(time.Now()),
			Kind:     flow.Replica,
			State:    flow.Open,
		})
	}
	s.setBaseBackend(service, flow.Slot(message.Slot), flow.BackendKey(message.Cell.Backend))
	c.sendEnvelope(from, &wire.Envelope{Body: &wire.Envelope_RebaseAck{RebaseAck: &wire.RebaseAck{Rebase: message.Rebase}}})
}

// handleRebaseAck moves the owner's base once all replicas have moved theirs.
func (c *Core) handleRebaseAck(from flow.MemberKey, message *wire.RebaseAck) {
	pending := c.pendingRebases[message.Rebase]
	if pending == nil {
		return
	}
	delete(pending.waiting, from)
	if len(pending.waiting) > 0 {
		return
	}
	s := &c.slots[pending.slot]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.completeRebase(s, message.Rebase, pending)
}
