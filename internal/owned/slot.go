package owned

// The state of a slot, its flow records and their encoding on the wire. All changes to
// records go through putRecord, removeRecord or removeRecords, which update the counts
// of open flows that placement uses. The exception is forwardOpenFlow, which updates a
// record in place if its backend server and state do not change.

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

// slot is the state of one part of the flow space on this balancer. The mutex guards all
// other fields, which traffic goroutines and the control goroutine share.
type slot struct {
	mutex sync.Mutex
	// held is true while this balancer owns the slot and decides for its flows.
	held bool
	// claiming is true while the slot is part of the pending claim. Its packets are
	// queued until all balancers have replied.
	claiming bool
	// synced is true on a replica that has all of the owner's exceptions.
	synced bool
	// former is true for formerTTL after this balancer owned or replicated the slot.
	former bool
	// flows comes before the fields below so that the fields that each packet needs
	// share a cache line.
	flows flow.Table
	// formerUntil is when former expires.
	formerUntil time.Time
	// retransmitsEndAt is when callers no longer retransmit first packets that the
	// previous owner may have forwarded.
	retransmitsEndAt time.Time
	// refusalsAllowedAt is when flows may be refused, because the previous owner can no
	// longer have forwarded a packet of a flow that is refused.
	refusalsAllowedAt time.Time
	// unknownDroppedUntil is when packets of unknown flows are no longer dropped. It is
	// set by a takeover in which no reachable balancer knew the slot's exceptions.
	unknownDroppedUntil time.Time
	// observedSince is the time since which this balancer has recorded each flow of the
	// slot that sent a packet.
	observedSince time.Time
	// baseOverrides holds the bases that differ from the defaults of the configuration in
	// force. Flows that were placed before a configuration change stay where they are.
	baseOverrides map[flow.ServiceKey]flow.BackendKey
	// rebasingService is the service whose base is being moved, or zero.
	rebasingService flow.ServiceKey
	// syncedReplicas holds the replicas that have all of this owner's exceptions.
	syncedReplicas [ring.ReplicaCount]flow.MemberKey
	queuedPackets  []packet.Packet
	// removedExceptions holds the low halves of the IDs of deleted exceptions that the
	// replicas have yet to delete.
	removedExceptions []uint32
}

// baseBackend returns the backend server of the service's flows that have no record.
func (s *slot) baseBackend(service *config.CompiledService, number flow.Slot) flow.BackendKey {
	if backend, overridden := s.baseOverrides[service.Key]; overridden {
		return backend
	}
	return service.Defaults[number]
}

// setBaseBackend changes the backend server of the service's flows that have no record.
// No override is stored for a base that equals the default of the configuration.
func (s *slot) setBaseBackend(service *config.CompiledService, number flow.Slot, backend flow.BackendKey) {
	if service.Defaults[number] == backend || backend == 0 {
		delete(s.baseOverrides, service.Key)
		return
	}
	if s.baseOverrides == nil {
		s.baseOverrides = make(map[flow.ServiceKey]flow.BackendKey)
	}
	s.baseOverrides[service.Key] = backend
}

// countsAsOpen reports whether a record counts as an open flow of its backend server.
func countsAsOpen(record flow.Record) bool {
	return record.Owned() && record.State != flow.Closed
}

// putRecord stores a record and updates the counts. The slot must be locked.
func (c *Core) putRecord(s *slot, id flow.ID, record flow.Record) {
	before, known := s.flows.Get(id)
	if !known {
		c.recordCount.Add(1)
	}
	s.flows.Put(id, record)
	c.updateOpenCounts(before, known, record, true)
}

// removeRecord deletes a record and updates the counts. The slot must be locked.
func (c *Core) removeRecord(s *slot, id flow.ID) {
	before, known := s.flows.Get(id)
	if !known {
		return
	}
	s.flows.Delete(id)
	c.recordCount.Add(-1)
	c.updateOpenCounts(before, true, flow.Record{}, false)
}

// removeRecords deletes the records that satisfy a condition and updates the counts. The
// slot must be locked.
func (c *Core) removeRecords(s *slot, condition func(id flow.ID, record flow.Record) bool) {
	s.flows.DeleteFunc(condition, func(_ flow.ID, record flow.Record) {
		c.recordCount.Add(-1)
		c.updateOpenCounts(record, true, flow.Record{}, false)
	})
}

// updateOpenCounts updates the open-flow gauges for a record that was stored, changed or
// deleted, and reports flows that were closed to the placer.
func (c *Core) updateOpenCounts(before flow.Record, wasKnown bool, after flow.Record, isKnown bool) {
	wasOpen := wasKnown && countsAsOpen(before)
	isOpen := isKnown && countsAsOpen(after)
	if wasOpen && isKnown && after.State == flow.Closed {
		c.placer.CountClosed()
	}
	if wasOpen == isOpen && before.Backend == after.Backend {
		return
	}
	if wasOpen {
		c.addToGauge(before.Backend, -1)
	}
	if isOpen {
		c.addToGauge(after.Backend, 1)
	}
}

func (c *Core) addToGauge(backend flow.BackendKey, change int64) {
	if gauge := c.placer.Gauge(backend); gauge != nil {
		gauge.Add(change)
	}
}

// releaseSlot stops owning a slot. Its exceptions become replica records, its other
// records become cached answers. The slot must be locked.
func (c *Core) releaseSlot(s *slot) {
	s.held = false
	s.rebasingService = 0
	s.syncedReplicas = [ring.ReplicaCount]flow.MemberKey{}
	for id, record := range s.flows.All() {
		switch record.Kind {
		case flow.Exception:
			record.Kind = flow.Replica
		case flow.Default:
			record.Kind = flow.Cached
		default:
			continue
		}
		c.putRecord(s, id, record)
	}
}

// coverage returns how complete this balancer's records of the slot are.
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

// rankStates is the number of values that a rank reserves for the states of each kind.
const rankStates = 4

// encodeSlot encodes the slot's bases, and the records that other balancers cannot
// compute. Bases that equal the defaults of the reference configuration, which the
// receiver has, are omitted; if reference is nil, all bases are included. With
// COVERAGE_NONE no bases are included. The slot must be locked.
func (c *Core) encodeSlot(s *slot, number flow.Slot, coverage wire.Coverage, reference *config.Compiled) *wire.SlotState {
	state := &wire.SlotState{Slot: uint32(number), Coverage: coverage}
	compiled := c.Compiled()
	if compiled == nil {
		return state
	}
	for _, service := range compiled.Services {
		base := s.baseBackend(service, number)
		if reference != nil {
			if referenceService := reference.ByKey(service.Key); referenceService != nil && referenceService.Defaults[number] == base {
				continue
			}
		}
		if base != 0 && coverage != wire.Coverage_COVERAGE_NONE {
			state.Cells = append(state.Cells, &wire.Cell{Service: uint32(service.Key), Backend: uint32(base)})
		}
	}
	for id, record := range s.flows.All() {
		service := compiled.ByKey(record.Service)
		if service == nil || !needsTransfer(record, s.baseBackend(service, number)) {
			continue
		}
		appendRecord(state, id, record)
	}
	return state
}

// maxServicesPerState is the number of services that a one-byte index can address.
const maxServicesPerState = 256

// appendRecord adds a record to the columns of an encoded slot. Each service is listed
// once per slot and referred to by index, so that a record takes 14 bytes instead of 17.
// Records of services beyond maxServicesPerState are left out.
func appendRecord(state *wire.SlotState, id flow.ID, record flow.Record) {
	index := slices.Index(state.Services, uint32(record.Service))
	if index < 0 {
		index = len(state.Services)
		if index == maxServicesPerState {
			return
		}
		state.Services = append(state.Services, uint32(record.Service))
	}
	state.Flows = append(state.Flows, uint64(id))
	state.Backends = append(state.Backends, uint32(record.Backend))
	state.Ranks = append(state.Ranks, byte(record.Kind)*rankStates+byte(record.State))
	state.ServiceIndexes = append(state.ServiceIndexes, byte(index))
}

// decodeRecord returns the ID and record at an index of an encoded slot's columns, and
// whether they are valid. It checks for columns of unequal length, unknown kinds and
// states, and IDs of other slots.
func decodeRecord(state *wire.SlotState, index int) (flow.ID, flow.Record, bool) {
	if index >= len(state.Backends) || index >= len(state.Ranks) || index >= len(state.ServiceIndexes) {
		return 0, flow.Record{}, false
	}
	service := int(state.ServiceIndexes[index])
	rank := state.Ranks[index]
	record := flow.Record{
		Backend: flow.BackendKey(state.Backends[index]),
		Kind:    flow.Kind(rank / rankStates),
		State:   flow.State(rank % rankStates),
	}
	id := flow.ID(state.Flows[index])
	valid := service < len(state.Services) &&
		record.Kind <= flow.Exception &&
		record.State <= flow.Closed &&
		id.Slot() == flow.Slot(state.Slot)
	if valid {
		record.Service = flow.ServiceKey(state.Services[service])
	}
	return id, record, valid
}

// needsTransfer reports whether a record has to be sent because another balancer cannot
// compute it. Opening flows on their base are sent as well, so that the next owner does
// not place their retransmitted first packets again.
func needsTransfer(record flow.Record, base flow.BackendKey) bool {
	switch record.Kind {
	case flow.Exception, flow.Replica:
		return true
	case flow.Default:
		return record.State == flow.Opening
	}
	return record.Backend != base
}
