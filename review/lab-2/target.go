package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is how often a target writes its entry.
	heartbeatInterval = 770 * time.Millisecond
	// coldTime is how long a target is slow after its start.
	coldTime = 2 * time.Second
)

// target is a stand-in of a target as PROTOCOL.md describes it.
type target struct {
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	born    int64
	// callerPort is the port at which clients receive packets.
	callerPort uint16
	store      *store
	record     *record
	// work is how long a request is worked on.
	work time.Duration

	sequence atomic.Int64
	// draining is set when the target leaves. It still accepts flows then.
	draining atomic.Bool
	conn     *net.UDPConn
	listener net.Listener
	// mutex guards the flows and the requests in progress.
	mutex sync.Mutex
	flows map[netip.AddrPort]*targetFlow
	// running is the number of requests being worked on, waiting are those in the queue.
	running  int
	waiting  []func()
	stopOnce sync.Once
	stopped  chan struct{}
}

// The number of requests that a target works on at a time, and that wait for that.
const (
	targetCapacity = 2
	targetQueue    = 3
)

// targetFlow is a flow that the target has answered.
type targetFlow struct {
	sequence, expected uint32
	open               bool
	// copy is the number of the first packet that the target took: 0, or that of a copy.
	copy uint32
	// answer is the last answer, which ends at sequence.
	answer []byte
}

// startTarget starts a target and its heartbeats. It serves health checks over TCP.
func startTarget(t *target) error {
	t.born, t.flows, t.stopped = time.Now().UnixMilli(), make(map[netip.AddrPort]*targetFlow), make(chan struct{})
	var err error
	if t.listener, err = net.Listen("tcp4", t.address.String()); err != nil {
		return err
	}
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.Serve(t.listener, mux) }()
	go t.serve()
	go t.beat()
	return nil
}

func (t *target) stop() {
	t.stopOnce.Do(func() {
		close(t.stopped)
		_ = t.conn.Close()
		_ = t.listener.Close()
	})
}

// beat registers the target and repeats that with each heartbeat.
func (t *target) beat() {
	for {
		t.publish()
		if t.sequence.Load() == 1 {
			t.record.line("target %s of service %s has registered", t.id, t.service)
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// publish writes the target's entry.
func (t *target) publish() {
	t.store.put("servers/"+t.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"cold_remaining_ms":%d,"sequence":%d,"born":%d}`,
		t.service, t.address, t.zone, targetCapacity, t.state(), t.coldRemaining().Milliseconds(), t.sequence.Add(1), t.born))
}

func (t *target) state() string {
	if t.draining.Load() {
		return "draining"
	}
	return "ready"
}

// coldRemaining returns how much longer the target is slow after its start, for its entry.
func (t *target) coldRemaining() time.Duration {
	return max(coldTime-time.Since(time.UnixMilli(t.born)), 0)
}

func (t *target) serve() {
	buffer := make([]byte, 2048)
	for {
		count, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if count < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != t.number {
			continue
		}
		packet := buffer[8:count]
		if h, data, ok := decode(packet); ok && h.sum == checksum(packet) {
			t.handle(h, data)
		} else {
			t.record.line("target %s got a packet that its sender did not write so", t.id)
		}
	}
}

var attemptID = regexp.MustCompile(`X-Wigeonmoor-Attempt-Id: (\S+)`)

// handle answers one packet. Requests and answers fit one packet each.
func (t *target) handle(h header, data []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	flow := t.flows[h.source]
	reply := header{source: h.destination, destination: h.source, echo: h.echo}
	switch {
	case h.flags&flagSYN != 0:
		if flow == nil && t.running+len(t.waiting) >= targetCapacity+targetQueue {
			return // full
		}
		if flow == nil {
			flow = &targetFlow{sequence: rand.Uint32(), expected: h.sequence + 1, copy: h.ack}
			t.flows[h.source] = flow
		}
		if flow.open {
			return
		}
		reply.flags, reply.sequence, reply.ack = flagSYN|flagACK, flow.sequence-1, flow.expected
		t.send(reply, nil)
	case flow == nil || !flow.open && h.ack != flow.sequence:
		reply.flags, reply.sequence = flagRST, h.ack
		t.send(reply, nil)
	case h.flags&flagRST != 0:
		delete(t.flows, h.source)
	case h.flags&flagFIN != 0:
		delete(t.flows, h.source)
		reply.flags, reply.sequence, reply.ack = flagACK|flagFIN, flow.sequence, h.sequence+1
		t.send(reply, nil)
	default:
		flow.open = true
		t.handleData(flow, h, reply, data)
	}
}

// handleData takes a new request, or repeats the answer to one that was sent again.
func (t *target) handleData(flow *targetFlow, h, reply header, data []byte) {
	switch {
	case len(data) == 0:
	case h.sequence == flow.expected:
		flow.expected += uint32(len(data))
		id := "?"
		if match := attemptID.FindSubmatch(data); match != nil {
			id = string(match[1])
		}
		t.start(func() { t.answer(flow, reply, id) })
	case len(flow.answer) > 0:
		reply.flags, reply.sequence, reply.ack = flagACK, flow.sequence-uint32(len(flow.answer)), flow.expected
		t.send(reply, flow.answer)
	}
}

// start works on a request and then calls done, with the mutex held. The request waits while all
// slots are taken.
func (t *target) start(done func()) {
	if t.running == targetCapacity {
		t.waiting = append(t.waiting, func() { t.start(done) })
		return
	}
	t.running++
	time.AfterFunc(t.work, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		done()
		t.running--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
	})
}

// answer sends the answer to a request. Its body names the service, the target and the first packet
// that the target took.
func (t *target) answer(flow *targetFlow, reply header, id string) {
	t.record.line("target %s of service %s has run request %s, whose flow it took with first packet %d", t.id, t.service, id, flow.copy)
	body := fmt.Sprintf("%s %s %d %s", t.service, t.id, flow.copy, id)
	flow.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Wigeonmoor-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	reply.flags, reply.sequence, reply.ack = flagACK, flow.sequence, flow.expected
	flow.sequence += uint32(len(flow.answer))
	t.send(reply, flow.answer)
}

func (t *target) send(h header, data []byte) {
	// A packet that cannot be sent is lost, and the client repeats its own.
	_, _ = t.conn.WriteToUDPAddrPort(h.encode(data), netip.AddrPortFrom(h.destination.Addr(), t.callerPort))
}
