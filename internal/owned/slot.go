package owned

// A slot's state and the records in it. Every change of a record goes through put
// or remove, which keep the counts of open flows that placement goes by.

import (
	"slices"
	"sync"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// slot is one part of the flow space as this balancer knows it. Its mutex is all
// that traffic and control share for it.
type slot struct {
	mutex sync.Mutex
	// held: this balancer decides for the slot's new flows.
	held bool
	// claiming: packets wait until everybody has told what they know.
	claiming bool
	// synced: this replica holds all of the owner's exceptions.
	synced bool
	// former: owned or replicated the slot until a short while ago.
	former bool
	// flows stands here so that what every packet needs lies in one cache line.
	flows    flow.Table
	lapsesAt time.Time
	// settledAt is when retransmissions to the owner before have ended.
	settledAt time.Time
	// refuseAt is when a refusal can be known to be true.
	refuseAt time.Time
	// doubtUntil is set while exceptions may exist that nobody reachable knows.
	doubtUntil time.Time
	// knownSince is when this balancer began to see all flows of the slot.
	knownSince time.Time
	// cells holds the defaults of unrecorded flows where they differ from the
	// configuration in force: flows placed before a change stay where they are.
	cells map[flow.ServiceKey]flow.BackendKey
	// rebasing names the service whose cell is being moved, zero if none is.
	rebasing flow.ServiceKey
	syncedTo [ring.ReplicaCount]flow.MemberKey
	queue    []packet.Packet
	// removed lists deleted exceptions that the replicas have yet to delete.
	removed []uint32
}

// base returns the backend server of the service's flows that are not on record.
func (s *slot) base(service *config.CompiledService, number flow.Slot) flow.BackendKey {
	if backend, lagging := s.cells[service.Key]; lagging {
		return backend
	}
	return service.Defaults[number]
}

// setBase changes the default of unrecorded flows. Cells that agree with the
// configuration are not kept.
func (s *slot) setBase(service *config.CompiledService, number flow.Slot, backend flow.BackendKey) {
	if service.Defaults[number] == backend || backend == 0 {
		delete(s.cells, service.Key)
		return
	}
	if s.cells == nil {
		s.cells = make(map[flow.ServiceKey]flow.BackendKey)
	}
	s.cells[service.Key] = backend
}

// counted reports whether a record is part of its backend server's open flows.
func counted(record flow.Record) bool {
	return record.Owned() && record.State != flow.Closed
}

// put stores a record and keeps the counts. The slot is locked.
func (c *Core) put(s *slot, id flow.ID, record flow.Record) {
	before, known := s.flows.Get(id)
	if !known {
		c.records.Add(1)
	}
	s.flows.Put(id, record)
	c.recount(before, known, record, true)
}

// remove deletes a record and keeps the counts. The slot is locked.
func (c *Core) remove(s *slot, id flow.ID) {
	before, known := s.flows.Get(id)
	if !known {
		return
	}
	s.flows.Delete(id)
	c.records.Add(-1)
	c.recount(before, true, flow.Record{}, false)
}

// removeFunc deletes the records for which a condition holds. The slot is locked.
func (c *Core) removeFunc(s *slot, condition func(id flow.ID, record flow.Record) bool) {
	s.flows.DeleteFunc(condition, func(_ flow.ID, record flow.Record) {
		c.records.Add(-1)
		c.recount(record, true, flow.Record{}, false)
	})
}

func (c *Core) recount(before flow.Record, wasKnown bool, after flow.Record, isKnown bool) {
	counts := wasKnown && counted(before)
	willCount := isKnown && counted(after)
	if counts && isKnown && after.State == flow.Closed {
		c.placer.CountClosed()
	}
	if counts == willCount && before.Backend == after.Backend {
		return
	}
	if counts {
		c.gaugeAdd(before.Backend, -1)
	}
	if willCount {
		c.gaugeAdd(after.Backend, 1)
	}
}

func (c *Core) gaugeAdd(backend flow.BackendKey, change int64) {
	if gauge := c.placer.Gauge(backend); gauge != nil {
		gauge.Add(change)
	}
}

// release stops deciding for a slot. Its exceptions stay as a replica's, its
// other records as cached answers. The slot is locked.
func (c *Core) release(s *slot) {
	s.held = false
	s.rebasing = 0
	s.syncedTo = [ring.ReplicaCount]flow.MemberKey{}
	for id, record := range s.flows.All() {
		switch record.Kind {
		case flow.Exception:
			record.Kind = flow.Replica
		case flow.Default:
			record.Kind = flow.Cached
		default:
			continue
		}
		c.put(s, id, record)
	}
}

// coverage says how complete this balancer's knowledge of the slot is.
func (s *slot) coverage() wire.Coverage {
	switch {
	case s.held:
		return wire.Coverage_COVERAGE_HELD
	case s.synced:
		return wire.Coverage_COVERAGE_SYNCED
	case s.former:
		return wire.Coverage_COVERAGE_FORMER
	}
	return wire.Coverage_COVERAGE_NONE
}

const statesPerKind = 4

// encode describes the slot to another balancer whose configuration is the
// reference; without one, the default of every service is written out. The slot
// is locked.
func (c *Core) encode(s *slot, number flow.Slot, coverage wire.Coverage, reference *config.Compiled) *wire.SlotState {
	state := &wire.SlotState{Slot: uint32(number), Coverage: coverage}
	compiled := c.Compiled()
	if compiled == nil {
		return state
	}
	for _, service := range compiled.Services {
		base := s.base(service, number)
		if reference != nil {
			if theirs := reference.ByKey(service.Key); theirs != nil && theirs.Defaults[number] == base {
				continue
			}
		}
		if base != 0 && coverage != wire.Coverage_COVERAGE_NONE {
			state.Cells = append(state.Cells, &wire.Cell{Service: uint32(service.Key), Backend: uint32(base)})
		}
	}
	for id, record := range s.flows.All() {
		service := compiled.ByKey(record.Service)
		if service == nil || !worthTelling(record, s.base(service, number)) {
			continue
		}
		appendRecord(state, id, record)
	}
	return state
}

// maxServicesPerSlot is what a byte can index.
const maxServicesPerSlot = 256

// appendRecord adds a record's columns. Services are listed once a slot, so that
// a record costs 14 bytes rather than 17.
func appendRecord(state *wire.SlotState, id flow.ID, record flow.Record) {
	index := slices.Index(state.Services, uint32(record.Service))
	if index < 0 {
		index = len(state.Services)
		if index == maxServicesPerSlot {
			return
		}
		state.Services = append(state.Services, uint32(record.Service))
	}
	state.Flows = append(state.Flows, uint64(id))
	state.Backends = append(state.Backends, uint32(record.Backend))
	state.Ranks = append(state.Ranks, byte(record.Kind)*statesPerKind+byte(record.State))
	state.ServiceIndexes = append(state.ServiceIndexes, byte(index))
}

// recordAt returns a record of a slot's columns. Columns of unequal length and
// unknown kinds are refused, whoever sent them.
func recordAt(state *wire.SlotState, index int) (flow.ID, flow.Record, bool) {
	if index >= len(state.Backends) || index >= len(state.Ranks) || index >= len(state.ServiceIndexes) {
		return 0, flow.Record{}, false
	}
	service := int(state.ServiceIndexes[index])
	rank := state.Ranks[index]
	record := flow.Record{
		Backend: flow.BackendKey(state.Backends[index]),
		Kind:    flow.Kind(rank / statesPerKind),
		State:   flow.State(rank % statesPerKind),
	}
	id := flow.ID(state.Flows[index])
	sound := service < len(state.Services) &&
		record.Kind <= flow.Exception &&
		record.State <= flow.Closed &&
		id.Slot() == flow.Slot(state.Slot)
	if sound {
		record.Service = flow.ServiceKey(state.Services[service])
	}
	return id, record, sound
}

// worthTelling reports whether another balancer could not compute the record.
// Flows that are opening on their default are told too, so that the next owner
// does not decide for their retransmitted first packets once more.
func worthTelling(record flow.Record, base flow.BackendKey) bool {
	switch record.Kind {
	case flow.Exception, flow.Replica:
		return true
	case flow.Default:
		return record.State == flow.Opening
	}
	return record.Backend != base
}
