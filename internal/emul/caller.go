package emul

import (
	"math"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// How callers behave, as the platform's page has it.
const (
	firstCopy     = 200 * time.Millisecond
	secondCopy    = 600 * time.Millisecond
	attemptSpan   = 1400 * time.Millisecond
	repeatFirst   = 200 * time.Millisecond
	repeatMost    = 1600 * time.Millisecond
	callerRetries = 2
	// retryPause lies between a refusal and the next attempt.
	retryPause = 20 * time.Millisecond
	pause      = 300 * time.Millisecond
)

// ask has callers ask until the end, at the class's rate.
func (p *Platform) ask(class *Class, end time.Time) {
	wait := -math.Log(1-p.random.Float64()) / class.PerSecond * float64(class.Requests)
	next := time.Duration(wait * float64(time.Second))
	if time.Now().Add(next).After(end) {
		return
	}
	p.after(next, func() {
		domain := domainName(p.random.IntN(p.settings.Domains))
		p.begin(&caller{p: p, class: class, domain: domain, left: class.Requests})
		p.ask(class, end)
	})
}

// caller makes a number of requests, one after the other.
type caller struct {
	p      *Platform
	class  *Class
	domain string
	left   int
	// began is when the present request began, retries what is left of them.
	began   time.Time
	retries int
	flow    *flow
	done    bool
}

func (p *Platform) begin(c *caller) {
	c.began, c.retries, c.done = time.Now(), callerRetries, false
	p.Results[c.class.Name].Asked++
	began := c.began
	p.after(c.class.Deadline, func() {
		if c.began == began && !c.done {
			c.finish(false)
		}
	})
	c.attempt()
}

// attempt sends the request on the open flow or on a new one.
func (c *caller) attempt() {
	if c.flow != nil && c.flow.openedAt != nil {
		c.flow.request()
		return
	}
	c.p.nextPort++
	c.flow = &flow{caller: c, class: c.class, sentAt: time.Now()}
	c.flow.key = tagged.Key{Caller: state.NewEndpoint(0x64400001+uint32(c.p.nextPort>>14), uint16(1024+c.p.nextPort&0x3fff)), Listen: c.p.listen(c.class)}
	c.p.flows[c.flow.key] = c.flow
	c.flow.open()
}

// fail ends an attempt. The next one follows unless the request may have run.
func (c *caller) fail(f *flow, mayHaveRun bool) {
	if c.flow != f || c.done {
		return
	}
	c.flow = nil
	f.closed = true
	if c.retries == 0 || mayHaveRun && !c.class.Idempotent {
		c.finish(false)
		return
	}
	c.retries--
	c.p.after(retryPause, func() {
		if !c.done {
			c.attempt()
		}
	})
}

// finish counts a request.
func (c *caller) finish(served bool) {
	c.done = true
	result := c.p.Results[c.class.Name]
	took := time.Since(c.began)
	switch {
	case !served:
		result.Failed++
		if c.flow != nil {
			c.flow.closed = true
			c.flow = nil
		}
	case took <= c.class.Objective:
		result.InObjective++
	default:
		result.Late++
	}
	c.left--
	if c.left <= 0 {
		c.flow.end()
		return
	}
	c.p.after(time.Duration(c.p.random.Int64N(int64(2*pause))), func() { c.p.begin(c) })
}

// flow is one connection.
type flow struct {
	caller   *caller
	class    *Class
	key      tagged.Key
	sentAt   time.Time
	openedAt *Server
	tag      state.Tag
	number   int
	// taken is the newest request that the server has, got the newest answer.
	taken, got int
	closed     bool
	position   uint32
	read       uint32
}

func (f *flow) p() *Platform { return f.caller.p }

// pass hands a packet to whichever balancer the router selects now.
func (f *flow) pass(packet tagged.Packet, data request) {
	p := f.p()
	packet.Key, packet.Tag, packet.Acknowledged = f.key, f.tag, f.read
	p.toCaller(func() { p.route(f.caller.domain, f.key.Caller).packet(f, packet, data) })
}

func (f *flow) open() {
	for copies, delay := range []time.Duration{0, firstCopy, secondCopy} {
		f.p().after(delay, func() {
			if f.openedAt == nil && !f.closed {
				f.pass(tagged.Packet{First: true, Retransmits: uint32(copies)}, request{})
			}
		})
	}
	f.p().after(attemptSpan, func() {
		if f.openedAt == nil {
			f.caller.fail(f, false)
		}
	})
}

// accepted is the end of the handshake.
func (f *flow) accepted(s *Server, tag state.Tag) {
	if f.closed {
		return
	}
	f.tag = tag
	if f.openedAt != nil {
		return
	}
	f.openedAt = s
	s.Opened++
	f.read = f.p().random.Uint32()
	f.request()
}

func (f *flow) request() {
	f.number++
	work := time.Duration((0.5 + f.p().random.Float64()) * float64(f.class.Work))
	f.transmit(request{number: f.number, work: work}, repeatFirst)
	f.position += 100
}

// transmit sends a request until its server has it.
func (f *flow) transmit(data request, again time.Duration) {
	if f.closed || f.taken >= data.number {
		return
	}
	f.pass(tagged.Packet{Sequence: uint32(data.number) * 100, Length: 100}, data)
	f.p().after(again, func() { f.transmit(data, min(2*again, repeatMost)) })
}

// answered gets the server's answer, or its refusal.
func (f *flow) answered(number int, served bool) {
	if f.closed || number != f.number || number <= f.got {
		return
	}
	f.got = number
	f.read += 600
	if f.p().random.Float64() >= f.class.SmallShare {
		f.pass(tagged.Packet{Sequence: uint32(number+1) * 100}, request{})
	}
	if served {
		if f.caller.flow == f && !f.caller.done {
			f.caller.finish(true)
		}
		return
	}
	f.closed = true
	f.caller.fail(f, false)
}

// aborted is a reset from a backend server.
func (f *flow) aborted(from *Server) {
	if f.closed || f.openedAt != nil && f.openedAt != from {
		return
	}
	f.caller.fail(f, f.openedAt != nil)
}

// end closes the flow after its last request.
func (f *flow) end() {
	if f == nil || f.closed {
		return
	}
	f.closed = true
	if f.openedAt != nil {
		delete(f.openedAt.flows, f)
	}
	f.pass(tagged.Packet{Last: true, Sequence: uint32(f.number+1) * 100}, request{})
}

// resetWindow is how far a reset's position may be from the caller's.
const resetWindow = 76_800

// reset is a balancer's. A caller takes no notice of one whose position is not about
// its own, unless the flow has not opened.
func (p *Platform) reset(b *Balancer, reset tagged.Reset, how string) {
	p.toCaller(func() {
		f := p.flows[reset.Key]
		if f == nil || f.closed {
			return
		}
		if away := int32(reset.Sequence - f.read); f.openedAt != nil && (away > resetWindow || away < -resetWindow) {
			return
		}
		if s := f.openedAt; s != nil && !s.ended && p.reached(b) {
			p.violated("%s reset a flow of %s, which lives, %s", b.name, s.backend.Name, how)
		}
		f.caller.fail(f, f.openedAt != nil)
	})
}
