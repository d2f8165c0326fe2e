package owned

// Expiry of flow records, a few slots at a time. The owner sends the IDs of deleted
// exceptions to the replicas in batches.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// removalBytesPerFlow is the size of the removal of one exception, for each replica.
const removalBytesPerFlow = 4

// sweep deletes the expired records of the next slotsPerTick slots.
func (c *Core) sweep(now time.Time) {
	compiled := c.Compiled()
	if compiled == nil {
		return
	}
	for range slotsPerTick {
		number := flow.Slot(c.nextSweepSlot)
		c.nextSweepSlot = (c.nextSweepSlot + 1) % flow.SlotCount
		s := &c.slots[number]
		s.mutex.Lock()
		c.sweepSlot(s, compiled, now)
		removed := s.removedExceptions
		s.removedExceptions = nil
		s.mutex.Unlock()
		c.queueRemovals(number, removed)
	}
}

func (c *Core) sweepSlot(s *slot, compiled *config.Compiled, now time.Time) {
	second := c.recordSecond(now)
	c.removeRecords(s, func(id flow.ID, record flow.Record) bool {
		idle := time.Duration(second-record.LastSeen) * time.Second
		ended := idle > recordTTL(record, compiled.ByKey(record.Service))
		if ended && record.Kind == flow.Exception {
			s.removedExceptions = append(s.removedExceptions, uint32(id))
		}
		return ended
	})
}

// noExpiryTTL is the longest duration, in nanoseconds. No record reaches it.
const noExpiryTTL = 1<<63 - 1

// recordTTL returns how long a record is kept after the flow's last packet. A replica
// keeps its records until the owner removes them, because only the owner sees the
// packets.
func recordTTL(record flow.Record, service *config.CompiledService) time.Duration {
	switch {
	case service == nil:
		return 0
	case record.Kind == flow.Replica:
		return noExpiryTTL
	case record.Kind == flow.Cached:
		return CacheTTL
	case record.State == flow.Closed:
		return closedTTL
	case record.State == flow.Opening:
		return openingTTL
	}
	return time.Duration(service.IdleTimeout)
}

// queueRemovals queues the removal of a slot's deleted exceptions for its replicas.
func (c *Core) queueRemovals(number flow.Slot, removed []uint32) {
	if len(removed) == 0 {
		return
	}
	for _, replica := range c.view.Load().owners[number].Replicas {
		if replica != 0 && replica != c.key {
			c.pendingRemovals[replica] = append(c.pendingRemovals[replica], removed...)
		}
	}
}

// flushRemovals sends the queued removals to the replicas. To save bytes, only the low
// halves of the IDs are sent.
func (c *Core) flushRemovals(now time.Time) {
	if now.Before(c.nextRemovalAt) {
		return
	}
	c.nextRemovalAt = now.Add(removalInterval)
	before := c.Counters.ControlBytes.Load()
	for _, replica := range sortedKeys(c.pendingRemovals) {
		c.sendEnvelope(replica, &wire.Envelope{Body: &wire.Envelope_Removal{Removal: &wire.Removal{Flows: c.pendingRemovals[replica]}}})
	}
	c.removalBytes += c.Counters.ControlBytes.Load() - before
	clear(c.pendingRemovals)
}

// handleRemoval deletes the replica records whose IDs have one of the given low halves.
// If two records share a low half, both are kept: a surplus record is harmless, a
// missing one is not.
func (c *Core) handleRemoval(removal *wire.Removal) {
	matches := make(map[uint32]int, len(removal.Flows))
	for _, low := range removal.Flows {
		matches[low] = 0
	}
	c.forEachSlot(func(s *slot) {
		for id, record := range s.flows.All() {
			if count, ok := matches[uint32(id)]; ok && record.Kind == flow.Replica {
				matches[uint32(id)] = count + 1
			}
		}
	})
	c.forEachSlot(func(s *slot) {
		c.removeRecords(s, func(id flow.ID, record flow.Record) bool {
			return record.Kind == flow.Replica && matches[uint32(id)] == 1
		})
	})
}

// forEachSlot calls visit for each slot while the slot is locked.
func (c *Core) forEachSlot(visit func(s *slot)) {
	for index := range c.slots {
		s := &c.slots[index]
		s.mutex.Lock()
		visit(s)
		s.mutex.Unlock()
	}
}
