package owned

// Ageing: records are deleted some slots at a time, and replicas hear in batches of
// the exceptions that are gone.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// removalFlowBytes is what the removal of one exception costs for each replica.
const removalFlowBytes = 4

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
		idle := time.Duration(second-record.LastSeen) * time.Second
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
