package tagged

// Records of flows: an arena with a free list, so that flows that come and go leave
// no garbage.

import (
	"time"

	"wigeonmoor.example/internal/state"
)

// record is what is known of one flow.
type record struct {
	key    Key
	target *target
	used   bool
	// at is the record's place; active is set while it is listed as such.
	at     int32
	active bool
	// opened flows have shown the end of their handshake, closed ones the caller's
	// last packet.
	opened, closed bool
	// moved is set when a copy of the first packet went to another server.
	moved bool
	// struck is set when the flow has been counted as unanswered since its last
	// progress.
	struck bool
	// busy is set from a request's first packet to the first packet of its answer.
	busy         bool
	idempotent   bool
	acknowledged uint32
	// expected is the position after the caller's last data.
	expected uint32
	bytes    int
	sent     time.Time
	seen     time.Time
}

// records is the arena.
type records struct {
	limit int
	index map[Key]int32
	all   []record
	free  []int32
	// active are the records that wait for something: the end of a handshake, an answer,
	// or to be forgotten after their flow has closed. Those that no longer do leave it at
	// the next look, and a record's place is free again only after that.
	active []int32
	// next is where the next look at all records by turns begins.
	next int
}

// waits reports whether a look at the record each tick is due.
func (r *record) waits() bool { return r.used && (!r.opened || r.busy || r.closed) }

func newRecords(limit int) records {
	return records{limit: limit, index: make(map[Key]int32)}
}

func (r *records) get(key Key) *record {
	at, ok := r.index[key]
	if !ok {
		return nil
	}
	return &r.all[at]
}

// add returns a new record, or nil when there is no room. Growing moves the arena:
// records must not be held across a call.
func (r *records) add(key Key) *record {
	var at int32
	switch {
	case len(r.free) > 0:
		at = r.free[len(r.free)-1]
		r.free = r.free[:len(r.free)-1]
	case len(r.all) < r.limit:
		at = int32(len(r.all))
		r.all = append(r.all, record{})
	default:
		return nil
	}
	r.all[at] = record{key: key, used: true, at: at}
	r.index[key] = at
	return &r.all[at]
}

// activate has a record looked at each tick.
func (r *records) activate(one *record) {
	if !one.active {
		one.active = true
		r.active = append(r.active, one.at)
	}
}

func (r *records) count() int { return len(r.index) }

func (r *records) remove(key Key) {
	at, ok := r.index[key]
	if !ok {
		return
	}
	delete(r.index, key)
	listed := r.all[at].active
	r.all[at] = record{active: listed}
	if !listed {
		r.free = append(r.free, at)
	}
}

// eachActive calls visit for all records that wait for something, which may remove the
// one that it is given.
func (r *records) eachActive(visit func(*record)) {
	kept := r.active[:0]
	for _, at := range r.active {
		one := &r.all[at]
		if one.waits() {
			visit(one)
		}
		switch {
		case one.waits():
			kept = append(kept, at)
		case one.used:
			one.active = false
		default:
			one.active = false
			r.free = append(r.free, at)
		}
	}
	r.active = kept
}

// eachInTurn calls visit for the next part of all records. So many calls visit each once.
func (r *records) eachInTurn(parts int, visit func(*record)) {
	for range len(r.all)/parts + 1 {
		if r.next >= len(r.all) {
			r.next = 0
			return
		}
		if one := &r.all[r.next]; one.used {
			visit(one)
		}
		r.next++
	}
}

// each calls visit for all records, which may remove the one that it is given.
func (r *records) each(visit func(*record)) {
	for index := range r.all {
		if r.all[index].used {
			visit(&r.all[index])
		}
	}
}

// record remembers a flow that was placed.
func (c *Core) record(p *Packet, route *state.Route, t *target, now time.Time) {
	r := c.flows.add(p.Key)
	if r == nil {
		return
	}
	r.target = t
	r.idempotent = route.Idempotent
	r.sent, r.seen = now, now
	r.busy = true
	c.flows.activate(r)
	t.open++
	t.busy++
}

// adopt remembers an open flow that this balancer has not placed.
func (c *Core) adopt(p *Packet, t *target) *record {
	r := c.flows.add(p.Key)
	if r == nil {
		return nil
	}
	c.Counters.Adopted.Add(1)
	r.target = t
	r.opened = true
	r.acknowledged = p.Acknowledged
	r.expected = p.Sequence
	if route := c.table.Route(p.Key.Listen); route != nil {
		r.idempotent = route.Idempotent
	}
	t.open++
	return r
}

// move gives a flow that has not opened to another server.
func (c *Core) move(r *record, t *target, now time.Time) {
	c.release(r)
	r.target = t
	r.moved = true
	r.struck = false
	r.busy = true
	c.flows.activate(r)
	r.sent = now
	t.open++
	t.busy++
}

// release takes a flow's load off its server.
func (c *Core) release(r *record) {
	if r.target == nil {
		return
	}
	c.setBusy(r, false)
	if !r.closed {
		r.target.open--
	}
}

func (c *Core) setBusy(r *record, busy bool) {
	if r.busy == busy {
		return
	}
	r.busy = busy
	if busy {
		c.flows.activate(r)
		r.target.busy++
		return
	}
	r.target.busy--
}

func (c *Core) forget(r *record) {
	c.release(r)
	c.flows.remove(r.key)
}

// observe learns from a packet of an open flow: progress of its answers is a sign of
// its server's life, and new data is a request in progress.
func (c *Core) observe(r *record, t *target, p *Packet, now time.Time) {
	r.seen = now
	if !r.opened {
		c.opened(r, t, p, now)
	}
	if ahead(p.Acknowledged, r.acknowledged) {
		r.acknowledged = p.Acknowledged
		r.struck = false
		if r.busy {
			c.classOf(r.key.Listen).learnAnswer(now.Sub(r.sent))
		}
		c.setBusy(r, false)
		c.sign(t, now)
	}
	c.observeData(r, p, now)
	if p.Last && !r.closed {
		c.learnBytes(r)
		c.setBusy(r, false)
		r.closed = true
		c.flows.activate(r)
		r.target.open--
	}
}

// opened notes the end of a handshake, with the server whose tag the caller repeats.
func (c *Core) opened(r *record, t *target, p *Packet, now time.Time) {
	if r.target != t {
		c.release(r)
		r.target = t
		t.open++
	} else {
		c.setBusy(r, false)
	}
	if c.settings.Handshake != nil {
		c.settings.Handshake(now.Sub(r.sent))
	}
	r.opened = true
	r.struck = false
	r.acknowledged = p.Acknowledged
	r.expected = p.Sequence
	c.sign(t, now)
}

func (c *Core) observeData(r *record, p *Packet, now time.Time) {
	if p.Length == 0 || r.closed {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if ahead(end, r.expected) {
		r.bytes += int(end - r.expected)
		r.expected = end
		r.sent = now
		r.struck = false
		c.setBusy(r, true)
		return
	}
	// The caller repeats data that its server has not acknowledged, unless the packet
	// was only overtaken by a later one. One repetition may be a lost packet, and the
	// server shows life on other flows then.
	if !r.struck && now.Sub(r.sent) > overtakeLimit {
		r.struck = true
		c.strike(r.target, r.sent, now, "data was not acknowledged")
	}
}

// overtakeLimit is the time after which a packet with old data is a repetition: callers
// repeat after 200 ms.
const overtakeLimit = 150 * time.Millisecond

// ahead reports whether one position is after another, around the end of the range.
func ahead(one, other uint32) bool { return int32(one-other) > 0 }

// learnBytes keeps the mean size of what callers send on a route's flows.
func (c *Core) learnBytes(r *record) {
	known := c.classOf(r.key.Listen)
	if known.bytes == 0 {
		known.bytes = float64(r.bytes)
	}
	known.bytes += (float64(r.bytes) - known.bytes) * learnGain
}

// learnGain is the weight of the newest flow in a route's means.
const learnGain = 0.05

func (c *class) learnAnswer(span time.Duration) {
	if c.answer == 0 {
		c.answer = span
	}
	c.answer += time.Duration(float64(span-c.answer) * learnGain)
}

const (
	// busyMeans is how many times the mean answer a request counts as load. Without a
	// sign of its answer it may have gone on through another balancer, or the answer is
	// one packet, which callers acknowledge with their next request.
	busyMeans = 3
	// busyLeast and busyMost bound that: a tick lies between two looks at a flow, and
	// the longest work of the users' requests takes 430 ms. A route whose answers have
	// not been seen yet has the greater bound.
	busyLeast = 2 * TickPeriod
	busyMost  = 400 * time.Millisecond
)

// busyLimit is how long a request without a sign of its answer counts as load.
func (c *class) busyLimit() time.Duration {
	if c == nil || c.answer == 0 {
		return busyMost
	}
	return min(max(busyMeans*c.answer, busyLeast), busyMost)
}
