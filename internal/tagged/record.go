package tagged

// This file keeps the flow records in an arena with a free list, so that opening and
// closing flows allocates no memory that has to be garbage collected.

import (
	"time"

	"wigeonmoor.example/internal/state"
)

// record is the state of one flow.
type record struct {
	key    Key
	target *target
	used   bool
	// position is the record's index in the arena. active is set while it is in
	// records.active.
	position int32
	active   bool
	// opened is set once the flow's handshake has ended, closed after the caller's
	// last packet.
	opened, closed bool
	// reassigned is set after a retransmission of the first packet was sent to
	// another server.
	reassigned bool
	// failureCounted is set after a packet without an answer was counted against the
	// server. It is cleared when the flow makes progress.
	failureCounted bool
	// requestInFlight is set from the first packet of a request to the first
	// acknowledgment of its answer, or until inFlightTimeout. It is also set during the
	// handshake.
	requestInFlight bool
	// unanswered is set from the first packet of a request until the caller acknowledges new
	// data, however long that takes.
	unanswered bool
	// awaited is set while the answer to a request is awaited, to learn from it. work is what the
	// request counts in the work of its server.
	awaited bool
	work    float32

	idempotent   bool
	acknowledged uint32
	// nextSequence is the position after the last data byte received from the caller.
	nextSequence uint32
	// bytesSent is the number of data bytes received from the caller.
	bytesSent int
	// sentAt is the time of the last first packet or new data, lastPacketAt that of
	// any packet.
	sentAt       time.Time
	lastPacketAt time.Time
}

// records is an arena of flow records with an index by key.
type records struct {
	limit int
	index map[Key]int32
	arena []record
	free  []int32
	// active has the positions of the records that wait for the end of a handshake,
	// for an answer, or for the expiry of a closed flow. Records that no longer wait
	// stay in it until the next eachActive call, and the position of a removed one is
	// reused only after that.
	active []int32
	// scanPosition is the position at which the next eachOfNextPart call begins.
	scanPosition int
}

// needsReview reports whether the record is to be reviewed on each tick.
func (r *record) needsReview() bool {
	return r.used && (!r.opened || r.requestInFlight || r.closed || r.awaited)
}

func newRecords(limit int) records {
	return records{limit: limit, index: make(map[Key]int32)}
}

func (r *records) get(key Key) *record {
	position, ok := r.index[key]
	if !ok {
		return nil
	}
	return &r.arena[position]
}

// add returns a new record, or nil if the arena is full. It may move the arena, so
// pointers to records are invalid after the call.
func (r *records) add(key Key) *record {
	var position int32
	switch {
	case len(r.free) > 0:
		position = r.free[len(r.free)-1]
		r.free = r.free[:len(r.free)-1]
	case len(r.arena) < r.limit:
		position = int32(len(r.arena))
		r.arena = append(r.arena, record{})
	default:
		return nil
	}
	r.arena[position] = record{key: key, used: true, position: position}
	r.index[key] = position
	return &r.arena[position]
}

// activate adds a record to those that are reviewed on each tick.
func (r *records) activate(rec *record) {
	if !rec.active {
		rec.active = true
		r.active = append(r.active, rec.position)
	}
}

func (r *records) count() int { return len(r.index) }

func (r *records) remove(key Key) {
	position, ok := r.index[key]
	if !ok {
		return
	}
	delete(r.index, key)
	listed := r.arena[position].active
	r.arena[position] = record{active: listed}
	if !listed {
		r.free = append(r.free, position)
	}
}

// eachActive calls visit for every record that needs a review. visit may remove the
// record that it gets.
func (r *records) eachActive(visit func(*record)) {
	kept := r.active[:0]
	for _, position := range r.active {
		rec := &r.arena[position]
		if rec.needsReview() {
			visit(rec)
		}
		switch {
		case rec.needsReview():
			kept = append(kept, position)
		case rec.used:
			rec.active = false
		default:
			rec.active = false
			r.free = append(r.free, position)
		}
	}
	r.active = kept
}

// eachOfNextPart calls visit for the records in the next part of the arena. As many
// calls as there are parts visit every record once.
func (r *records) eachOfNextPart(parts int, visit func(*record)) {
	for range len(r.arena)/parts + 1 {
		if r.scanPosition >= len(r.arena) {
			r.scanPosition = 0
			return
		}
		if rec := &r.arena[r.scanPosition]; rec.used {
			visit(rec)
		}
		r.scanPosition++
	}
}

// each calls visit for every record. visit may remove the record that it gets.
func (r *records) each(visit func(*record)) {
	for index := range r.arena {
		if r.arena[index].used {
			visit(&r.arena[index])
		}
	}
}

// addRecord adds the record of a flow that this balancer has placed, unless the arena
// is full.
func (c *Core) addRecord(p *Packet, route *state.Route, t *target, now time.Time) {
	r := c.flows.add(p.Key)
	if r == nil {
		return
	}
	r.target = t
	r.idempotent = route.Idempotent
	r.sentAt, r.lastPacketAt = now, now
	r.requestInFlight = true
	c.flows.activate(r)
	t.openFlows++
	t.inFlight++
	c.startWork(r)
}

// adopt adds the record of an open flow that another balancer has placed. It returns
// nil if the arena is full.
func (c *Core) adopt(p *Packet, t *target) *record {
	r := c.flows.add(p.Key)
	if r == nil {
		return nil
	}
	c.Counters.Adopted.Add(1)
	r.target = t
	r.opened = true
	r.acknowledged = p.Acknowledged
	r.nextSequence = p.Sequence
	if route := c.table.Route(p.Key.Listen); route != nil {
		r.idempotent = route.Idempotent
	}
	t.openFlows++
	return r
}

// reassign moves a flow that has not opened to another server.
func (c *Core) reassign(r *record, t *target, now time.Time) {
	c.releaseLoad(r)
	r.target = t
	r.reassigned = true
	r.failureCounted = false
	r.requestInFlight = true
	c.flows.activate(r)
	r.sentAt = now
	t.openFlows++
	t.inFlight++
	c.startWork(r)
	c.countPlacement(t, now)
}

// releaseLoad subtracts the flow from the load of its server.
func (c *Core) releaseLoad(r *record) {
	if r.target == nil {
		return
	}
	c.setRequestInFlight(r, false)
	if !r.closed {
		r.target.openFlows--
	}
}

func (c *Core) setRequestInFlight(r *record, inFlight bool) {
	if r.requestInFlight == inFlight {
		return
	}
	r.requestInFlight = inFlight
	if inFlight {
		c.flows.activate(r)
		r.target.inFlight++
		c.startWork(r)
		return
	}
	r.target.inFlight--
	c.setWork(r, 0)
}

func (c *Core) removeFlow(r *record) {
	c.releaseLoad(r)
	c.flows.remove(r.key)
}

// observePacket updates the record from a packet of the flow. Newly acknowledged data
// proves that the server responds, and new data from the caller is an in-flight
// request.
func (c *Core) observePacket(r *record, t *target, p *Packet, now time.Time) {
	r.lastPacketAt = now
	if !r.opened {
		c.completeHandshake(r, t, p, now)
	}
	if sequenceAfter(p.Acknowledged, r.acknowledged) {
		c.learnAnswer(r, p.Acknowledged-r.acknowledged, now)
		r.acknowledged = p.Acknowledged
		r.unanswered = false
		r.failureCounted = false
		if r.requestInFlight {
			c.statsFor(r.key.Listen).observeAnswerTime(now.Sub(r.sentAt))
		}
		c.setRequestInFlight(r, false)
		c.recordSuccess(t, now)
	}
	c.observeData(r, p, now)
	if p.Last && !r.closed {
		c.observeFlowBytes(r)
		c.setRequestInFlight(r, false)
		r.closed, r.awaited = true, false
		c.flows.activate(r)
		r.target.openFlows--
	}
}

// completeHandshake records the end of the flow's handshake with server t, whose tag
// the caller repeats.
func (c *Core) completeHandshake(r *record, t *target, p *Packet, now time.Time) {
	if r.target != t {
		c.releaseLoad(r)
		r.target = t
		t.openFlows++
	} else {
		c.setRequestInFlight(r, false)
	}
	if c.config.ObserveHandshake != nil {
		c.config.ObserveHandshake(now.Sub(r.sentAt))
	}
	r.opened = true
	r.failureCounted = false
	r.acknowledged = p.Acknowledged
	r.nextSequence = p.Sequence
	c.recordSuccess(t, now)
}

// observeData updates the record from the packet's data, which is part of a new request
// or a retransmission.
func (c *Core) observeData(r *record, p *Packet, now time.Time) {
	if p.Length == 0 || r.closed {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if sequenceAfter(end, r.nextSequence) {
		r.bytesSent += int(end - r.nextSequence)
		r.nextSequence = end
		r.sentAt = now
		r.unanswered = true
		r.awaited = c.config.LearnServers
		r.failureCounted = false
		c.setRequestInFlight(r, true)
		return
	}
	// The caller retransmits data that the server has not acknowledged, unless a
	// later packet has overtaken this one. A single retransmission may be due to a
	// lost packet; the server then responds on other flows.
	if !r.failureCounted && now.Sub(r.sentAt) > reorderTimeout {
		r.failureCounted = true
		c.recordFailure(r.target, r.sentAt, now, "data was not acknowledged")
	}
}

// reorderTimeout is the time after which a packet with old data counts as a
// retransmission. Callers retransmit after 200 ms.
const reorderTimeout = 150 * time.Millisecond

// sequenceAfter reports whether position a is after b, allowing for wraparound.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }

// observeFlowBytes adds a closed flow to the mean number of bytes that callers send
// on flows of its route.
func (c *Core) observeFlowBytes(r *record) {
	stats := c.statsFor(r.key.Listen)
	if stats.meanBytes == 0 {
		stats.meanBytes = float64(r.bytesSent)
	}
	stats.meanBytes += (float64(r.bytesSent) - stats.meanBytes) * routeStatsGain
}

// routeStatsGain is the weight of the newest value in the moving averages of a route.
const routeStatsGain = 0.05

// observeAnswerTime adds an answer to the mean answer time.
func (s *routeStats) observeAnswerTime(answerTime time.Duration) {
	if s.meanAnswerTime == 0 {
		s.meanAnswerTime = answerTime
	}
	s.meanAnswerTime += time.Duration(float64(answerTime-s.meanAnswerTime) * routeStatsGain)
}

const (
	// inFlightAnswerMultiple is the number of mean answer times for which a request
	// counts as load. A request without an acknowledged answer may have continued
	// through another balancer, or its answer is a single packet, which callers
	// acknowledge with their next request.
	inFlightAnswerMultiple = 3
	// minInFlightTimeout and maxInFlightTimeout bound this time. A flow is reviewed only once
	// per tick, and the longest requests take 430 ms. maxInFlightTimeout also applies to
	// routes without a known answer time.
	minInFlightTimeout = 2 * TickInterval
	maxInFlightTimeout = 400 * time.Millisecond
)

// inFlightTimeout returns how long a request without an acknowledged answer counts as
// load. The receiver may be nil.
func (s *routeStats) inFlightTimeout() time.Duration {
	if s == nil || s.meanAnswerTime == 0 {
		return maxInFlightTimeout
	}
	return min(max(inFlightAnswerMultiple*s.meanAnswerTime, minInFlightTimeout), maxInFlightTimeout)
}
