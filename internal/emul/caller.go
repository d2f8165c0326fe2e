package emul

import (
	"math"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// The timing of the callers, as the platform's documentation describes it.
const (
	// firstRetransmitDelay and secondRetransmitDelay are the times from the first packet of
	// a flow to its retransmissions. The attempt fails after connectTimeout.
	firstRetransmitDelay  = 200 * time.Millisecond
	secondRetransmitDelay = 600 * time.Millisecond
	connectTimeout        = 1400 * time.Millisecond
	// minRetransmitInterval is the time to the first retransmission of a request or an
	// answer. The interval doubles with each one, up to maxRetransmitInterval.
	minRetransmitInterval = 200 * time.Millisecond
	maxRetransmitInterval = 1600 * time.Millisecond
	// maxRetries is the maximum number of attempts at a request after the first one.
	maxRetries = 2
	// retryDelay is the time from a failed attempt to the next one.
	retryDelay = 20 * time.Millisecond
	// delayedAcknowledgment is the time after which a single packet is acknowledged.
	delayedAcknowledgment = 40 * time.Millisecond
	// meanThinkTime is the mean time from the end of a request to the caller's next one.
	meanThinkTime = 300 * time.Millisecond
)

// scheduleCallers starts callers of a class until the given time. Their arrivals are a
// Poisson process with the rate that results in the class's request rate.
func (d *Deployment) scheduleCallers(class *Class, end time.Time) {
	seconds := -math.Log(1-d.random.Float64()) / class.RequestRate * float64(class.RequestsPerFlow)
	delay := time.Duration(seconds * float64(time.Second))
	if time.Now().Add(delay).After(end) {
		return
	}
	d.after(delay, func() {
		domain := domainName(d.random.IntN(d.config.Domains))
		d.startRequest(&caller{deployment: d, class: class, domain: domain, requestsLeft: class.RequestsPerFlow})
		d.scheduleCallers(class, end)
	})
}

// caller makes a number of requests, one after the other.
type caller struct {
	deployment *Deployment
	class      *Class
	// domain is the failure domain whose router receives the caller's packets.
	domain       string
	requestsLeft int
	// startedAt, retriesLeft and finished belong to the current request.
	startedAt   time.Time
	retriesLeft int
	// flow is the flow of the current attempt, or nil.
	flow     *flow
	finished bool
}

// startRequest starts the next request of a caller.
func (d *Deployment) startRequest(c *caller) {
	c.startedAt, c.retriesLeft, c.finished = time.Now(), maxRetries, false
	d.Results[c.class.Name].Requests++
	startedAt := c.startedAt
	d.after(c.class.Deadline, func() {
		if c.startedAt == startedAt && !c.finished {
			c.finishRequest(false)
		}
	})
	c.startAttempt()
}

// startAttempt sends the request on the open flow, or opens a new flow if there is none.
func (c *caller) startAttempt() {
	if c.flow != nil && c.flow.server != nil {
		c.flow.sendRequest()
		return
	}
	c.deployment.nextPort++
	c.flow = &flow{caller: c, class: c.class, createdAt: time.Now()}
	c.flow.key = tagged.Key{Caller: state.NewEndpoint(0x64400001+uint32(c.deployment.nextPort>>14), uint16(1024+c.deployment.nextPort&0x3fff)), Listen: c.deployment.listenEndpoint(c.class)}
	c.deployment.flows[c.flow.key] = c.flow
	c.flow.connect()
}

// failAttempt ends an attempt that failed. It schedules the next one unless no retries are
// left, or a server may have run the request and the request is not idempotent.
func (c *caller) failAttempt(f *flow, mayHaveRun bool) {
	if c.flow != f || c.finished {
		return
	}
	c.flow = nil
	f.closed = true
	if c.retriesLeft == 0 || mayHaveRun && !c.class.Idempotent {
		c.finishRequest(false)
		return
	}
	c.retriesLeft--
	c.deployment.after(retryDelay, func() {
		if !c.finished {
			c.startAttempt()
		}
	})
}

// finishRequest counts the result of the current request. It schedules the caller's next
// request or, after the last one, closes the flow.
func (c *caller) finishRequest(success bool) {
	c.finished = true
	result := c.deployment.Results[c.class.Name]
	latency := time.Since(c.startedAt)
	switch {
	case !success:
		result.Failed++
		if c.flow != nil {
			c.flow.closed = true
			c.flow = nil
		}
	case latency <= c.class.Objective:
		result.InObjective++
	default:
		result.Late++
	}
	c.requestsLeft--
	if c.requestsLeft <= 0 {
		c.flow.close()
		return
	}
	c.deployment.after(time.Duration(c.deployment.random.Int64N(int64(2*meanThinkTime))), func() { c.deployment.startRequest(c) })
}

// flow is a connection of a caller. It holds the state of both ends.
type flow struct {
	caller    *caller
	class     *Class
	key       tagged.Key
	createdAt time.Time
	// server is the server with which the handshake was completed, nil before.
	server *Server
	// tag is the server's tag, which the caller repeats in each packet.
	tag state.Tag
	// lastRequest is the number of the last request that the caller has sent.
	lastRequest int
	// requestReceived is the number of the last request that the server has received,
	// answerReceived that of the last answer that the caller has received.
	requestReceived, answerReceived int
	// closed is set when the flow has been closed, reset or given up.
	closed bool
	// sentBytes and acknowledged are the caller's positions in the data that it has sent
	// and received.
	sentBytes    uint32
	acknowledged uint32
}

func (f *flow) deployment() *Deployment { return f.caller.deployment }

// send sends a packet to the balancer that the router selects when the packet arrives.
func (f *flow) send(packet tagged.Packet, req request) {
	d := f.deployment()
	packet.Key, packet.Tag, packet.Acknowledged = f.key, f.tag, f.acknowledged
	d.deliverCallerPacket(func() { d.selectBalancer(f.caller.domain, f.key.Caller).handlePacket(f, packet, req) })
}

// connect sends the first packet and its retransmissions until the handshake ends or
// times out.
func (f *flow) connect() {
	for retransmits, delay := range []time.Duration{0, firstRetransmitDelay, secondRetransmitDelay} {
		f.deployment().after(delay, func() {
			if f.server == nil && !f.closed {
				f.send(tagged.Packet{First: true, Retransmits: uint32(retransmits)}, request{})
			}
		})
	}
	f.deployment().after(connectTimeout, func() {
		if f.server == nil {
			f.caller.failAttempt(f, false)
		}
	})
}

// handleAccept handles a server's answer to a first packet. The first answer completes
// the handshake; a later one, possibly from another server, only replaces the tag.
func (f *flow) handleAccept(s *Server, tag state.Tag) {
	if f.closed {
		return
	}
	f.tag = tag
	if f.server != nil {
		return
	}
	f.server = s
	s.EstablishedFlows++
	f.acknowledged = f.deployment().random.Uint32()
	f.sendRequest()
}

// sendRequest sends the next request on an open flow. Each request is one packet with 100
// bytes of data and takes 0.5 to 1.5 times the class's mean work time.
func (f *flow) sendRequest() {
	f.lastRequest++
	work := time.Duration((0.5 + f.deployment().random.Float64()) * float64(f.class.MeanWorkTime))
	f.transmitRequest(request{number: f.lastRequest, workTime: work}, minRetransmitInterval)
	f.sentBytes += 100
}

// transmitRequest sends a request and retransmits it until the server has received it.
func (f *flow) transmitRequest(req request, interval time.Duration) {
	if f.closed || f.requestReceived >= req.number {
		return
	}
	f.send(tagged.Packet{Sequence: uint32(req.number) * 100, Length: 100}, req)
	f.deployment().after(interval, func() { f.transmitRequest(req, min(2*interval, maxRetransmitInterval)) })
}

// handleAnswer handles the server's answer to a request, which has 600 bytes of data. The
// success flag is false if the server rejected the request.
func (f *flow) handleAnswer(number int, success bool) {
	if f.closed || number != f.lastRequest || number <= f.answerReceived {
		return
	}
	f.answerReceived = number
	f.acknowledged += 600
	// Callers acknowledge an answer of a single packet later.
	acknowledge := func() {
		if !f.closed {
			f.send(tagged.Packet{Sequence: uint32(number+1) * 100}, request{})
		}
	}
	if f.deployment().random.Float64() >= f.class.SinglePacketShare {
		acknowledge()
	} else if f.deployment().config.LearnServers {
		f.deployment().after(delayedAcknowledgment, acknowledge)
	}
	if success {
		if f.caller.flow == f && !f.caller.finished {
			f.caller.finishRequest(true)
		}
		return
	}
	f.closed = true
	f.caller.failAttempt(f, false)
}

// handleReset handles a reset from a backend server. It ignores a reset from a server
// other than the one with which the flow is open.
func (f *flow) handleReset(server *Server) {
	if f.closed || f.server != nil && f.server != server {
		return
	}
	f.caller.failAttempt(f, f.server != nil)
}

// close closes the flow after its last request. It does nothing if the flow is nil or
// already closed.
func (f *flow) close() {
	if f == nil || f.closed {
		return
	}
	f.closed = true
	if f.server != nil {
		delete(f.server.flows, f)
	}
	f.send(tagged.Packet{Last: true, Sequence: uint32(f.lastRequest+1) * 100}, request{})
}

// resetWindow is the maximum distance, in bytes, between the position in a reset and the
// caller's position. Callers with an open flow ignore other resets.
const resetWindow = 76_800

// deliverReset delivers a balancer's reset to the caller. The caller ignores a reset whose
// position is outside of resetWindow, unless the flow is not open yet. A reset of an open
// flow is a violation if the server has not stopped and the balancer is undisturbed.
func (d *Deployment) deliverReset(b *Balancer, reset tagged.Reset, cause string) {
	d.deliverCallerPacket(func() {
		f := d.flows[reset.Key]
		if f == nil || f.closed {
			return
		}
		if distance := int32(reset.Sequence - f.acknowledged); f.server != nil && (distance > resetWindow || distance < -resetWindow) {
			return
		}
		if s := f.server; s != nil && !s.stopped && d.undisturbed(b) {
			d.addViolation("%s reset a flow of the live server %s, %s", b.name, s.backend.Name, cause)
		}
		f.caller.failAttempt(f, f.server != nil)
	})
}
