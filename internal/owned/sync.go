package owned

// Replication beside the chain: Sync brings a new replica up to date, Rebase moves
// a cell's base. Both are sent out of the budget and repeated until acknowledged.
// A log of changes was rejected: a slot's state is a few records, and replacing it
// whole needs no history.

import (
	"slices"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Times and sizes of replication.
const (
	syncPeriod    = 200 * time.Millisecond
	syncRetry     = time.Second
	rebasePeriod  = time.Second
	rebaseRetry   = 3 * time.Second
	maxRebases    = 16
	flowBytes     = 14
	installLinger = 10 * time.Second
)

// syncing is a copy of slots on its way to a replica.
type syncing struct {
	replica flow.MemberKey
	slots   []flow.Slot
	sentAt  time.Time
}

// rebase is a cell whose default is about to be moved.
type rebase struct {
	slot    flow.Slot
	service flow.ServiceKey
	backend flow.BackendKey
	waiting map[flow.MemberKey]bool
	sentAt  time.Time
}

// driveSyncs sends each replica the slots that it has not got yet, one message at
// a time and out of the budget.
func (c *Core) driveSyncs(now time.Time) {
	if now.Sub(c.lastSync) < syncPeriod {
		return
	}
	c.lastSync = now
	busy := make(map[flow.MemberKey]bool)
	for id, pending := range c.syncs {
		if now.Sub(pending.sentAt) >= syncRetry {
			delete(c.syncs, id)
			continue
		}
		busy[pending.replica] = true
	}
	wanted := c.unsynced(busy)
	for _, replica := range sortedKeys(wanted) {
		if !c.affordable(0) {
			return
		}
		c.sendSync(replica, wanted[replica], now)
	}
}

// unsynced lists the held slots that replicas lack, at most a message for each.
func (c *Core) unsynced(busy map[flow.MemberKey]bool) map[flow.MemberKey][]flow.Slot {
	v := c.view.Load()
	wanted := make(map[flow.MemberKey][]flow.Slot)
	for index := range c.slots {
		s := &c.slots[index]
		s.mutex.Lock()
		if s.held {
			for _, replica := range v.owners[index].Replicas {
				lacks := replica != c.key && v.peers[replica].reachable && !slices.Contains(s.syncedTo[:], replica)
				if lacks && !busy[replica] && len(wanted[replica]) < slotsPerMessage {
					wanted[replica] = append(wanted[replica], flow.Slot(index))
				}
			}
		}
		s.mutex.Unlock()
	}
	return wanted
}

func (c *Core) sendSync(replica flow.MemberKey, slots []flow.Slot, now time.Time) {
	known := c.members.Peer(replica)
	if known == nil {
		return
	}
	pending := &syncing{replica: replica, slots: slots, sentAt: now}
	id := c.nextID()
	message := &wire.Sync{Sync: id}
	reference := c.compiledAt(known.Version)
	if reference != nil {
		message.ConfigVersion = uint64(reference.Version)
	}
	for _, number := range slots {
		s := &c.slots[number]
		s.mutex.Lock()
		message.Slots = append(message.Slots, c.encode(s, number, s.coverage(), reference))
		s.mutex.Unlock()
	}
	c.syncs[id] = pending
	c.post(replica, &wire.Envelope{Body: &wire.Envelope_Sync{Sync: message}})
}

// takeSync replaces this replica's copies by the owner's.
func (c *Core) takeSync(from flow.MemberKey, message *wire.Sync) {
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
			c.dropReplicas(s)
			c.mergeState(s, state, reference, true)
			s.synced = true
			s.former = false
		}
		s.mutex.Unlock()
	}
	c.post(from, &wire.Envelope{Body: &wire.Envelope_SyncAck{SyncAck: &wire.SyncAck{Sync: message.Sync}}})
}

// dropReplicas deletes copies before newer ones replace them. Copies that came
// with a packet just now may be newer than the message. The slot is locked.
func (c *Core) dropReplicas(s *slot) {
	second := c.second(time.Now())
	c.removeFunc(s, func(_ flow.ID, record flow.Record) bool {
		age := time.Duration(second-record.LastSeen) * time.Second
		return record.Kind == flow.Replica && age > installLinger
	})
}

// takeSyncAck notes that a replica has the slots.
func (c *Core) takeSyncAck(from flow.MemberKey, message *wire.SyncAck) {
	pending := c.syncs[message.Sync]
	if pending == nil || pending.replica != from {
		return
	}
	delete(c.syncs, message.Sync)
	holders := c.view.Load().owners
	for _, number := range pending.slots {
		s := &c.slots[number]
		s.mutex.Lock()
		free := slices.Index(s.syncedTo[:], 0)
		if s.held && holders[number].HasReplica(from) && !slices.Contains(s.syncedTo[:], from) && free >= 0 {
			s.syncedTo[free] = from
		}
		s.mutex.Unlock()
	}
}

// driveRebases moves the defaults of cells that lag behind the configuration:
// the open flows that the move would take away are put on record with the
// replicas first. Until then new flows of the cell are exceptions.
func (c *Core) driveRebases(now time.Time) {
	if now.Sub(c.lastRebase) < rebasePeriod {
		return
	}
	c.lastRebase = now
	for id, pending := range c.rebases {
		if now.Sub(pending.sentAt) >= rebaseRetry {
			c.abortRebase(id, pending)
		}
	}
	for index := range c.slots {
		if len(c.rebases) >= maxRebases || !c.affordable(0) {
			return
		}
		c.startRebase(flow.Slot(index), now)
	}
}

func (c *Core) abortRebase(id uint64, pending *rebase) {
	delete(c.rebases, id)
	s := &c.slots[pending.slot]
	s.mutex.Lock()
	s.rebasing = 0
	s.mutex.Unlock()
}

// startRebase begins to move one cell of the slot, if it may be moved.
func (c *Core) startRebase(number flow.Slot, now time.Time) {
	compiled := c.Compiled()
	if compiled == nil {
		return
	}
	v := c.view.Load()
	s := &c.slots[number]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	service := c.movableCell(s, number, compiled, now)
	if service == nil {
		return
	}
	pending := &rebase{
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
	c.recordMoved(s, service, message)
	s.rebasing = service.Key
	for _, replica := range v.owners[number].Replicas {
		if !v.peers[replica].reachable {
			continue
		}
		if !slices.Contains(s.syncedTo[:], replica) {
			s.rebasing = 0
			return
		}
		pending.waiting[replica] = true
	}
	c.rebases[message.Rebase] = pending
	for _, replica := range sortedKeys(pending.waiting) {
		c.post(replica, &wire.Envelope{Body: &wire.Envelope_Rebase{Rebase: message}})
	}
	if len(pending.waiting) == 0 {
		c.endRebase(s, message.Rebase, pending)
	}
}

// movableCell returns a service whose cell may be moved: this balancer has seen
// every flow of the slot that has not been silent for the idle timeout.
func (c *Core) movableCell(s *slot, number flow.Slot, compiled *config.Compiled, now time.Time) *config.CompiledService {
	if !s.held || s.rebasing != 0 {
		return nil
	}
	for _, service := range compiled.Services {
		_, lagging := s.cells[service.Key]
		known := now.Sub(s.knownSince) >= time.Duration(service.IdleTimeout)
		if lagging && known && service.Defaults[number] != 0 {
			return service
		}
	}
	return nil
}

// recordMoved makes exceptions of the flows that the cell's move would lose. The
// slot is locked.
func (c *Core) recordMoved(s *slot, service *config.CompiledService, message *wire.Rebase) {
	for id, record := range s.flows.All() {
		if record.Service != service.Key || !record.Owned() {
			continue
		}
		message.Flows = append(message.Flows, uint64(id))
		message.Backends = append(message.Backends, uint32(record.Backend))
		record.Kind = flow.Exception
		c.put(s, id, record)
	}
}

// endRebase moves the cell. The slot is locked.
func (c *Core) endRebase(s *slot, id uint64, pending *rebase) {
	delete(c.rebases, id)
	s.rebasing = 0
	service := c.Compiled().ByKey(pending.service)
	if service == nil || !s.held {
		return
	}
	s.setBase(service, pending.slot, pending.backend)
}

// takeRebase records the moved flows and moves this replica's cell.
func (c *Core) takeRebase(from flow.MemberKey, message *wire.Rebase) {
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
		c.put(s, flow.ID(id), flow.Record{
			Backend:  flow.BackendKey(message.Backends[index]),
			Service:  service.Key,
			LastSeen: c.second(time.Now()),
			Kind:     flow.Replica,
			State:    flow.Open,
		})
	}
	s.setBase(service, flow.Slot(message.Slot), flow.BackendKey(message.Cell.Backend))
	c.post(from, &wire.Envelope{Body: &wire.Envelope_RebaseAck{RebaseAck: &wire.RebaseAck{Rebase: message.Rebase}}})
}

// takeRebaseAck moves the owner's cell once all replicas have moved theirs.
func (c *Core) takeRebaseAck(from flow.MemberKey, message *wire.RebaseAck) {
	pending := c.rebases[message.Rebase]
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
	c.endRebase(s, message.Rebase, pending)
}
