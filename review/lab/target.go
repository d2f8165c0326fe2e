package main

// Targets, as PROTOCOL.md describes them.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeat_ms of the small deployments.
	heartbeat = 770 * time.Millisecond
	// slots and queue are the capacity of a target, work the time of a request.
	slots = 2
	queue = 8
	work  = 30 * time.Millisecond
)

// target is a backend server.
type target struct {
	world   *world
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	born    int64
	conn    *net.UDPConn

	mutex    sync.Mutex
	draining bool
	// drainAcknowledged is when the store acknowledged that the target is draining.
	drainAcknowledged time.Time
	flows             map[string]*targetFlow
	running, waiting  int
	slot              chan struct{}
}

// targetFlow is a flow that the target holds.
type targetFlow struct {
	// isn is the target's first sequence number.
	isn     uint32
	open    bool
	opening arrival
	// received is the position after the data that was received in order.
	received uint32
	request  []byte
	answered bool
	answer   []byte
	echo     uint32
	// finish is flagFIN if the target closes the flow with its answer.
	finish byte
}

// arrival tells how a flow's first packet reached the target.
type arrival struct {
	at       time.Time
	balancer netip.Addr
}

// newTarget starts a target and registers it.
func newTarget(w *world, service, zone string, address netip.AddrPort) (*target, error) {
	identity := rand.Uint32()
	t := &target{
		world: w, id: fmt.Sprintf("i-%08x", identity), number: uint64(identity), service: service, zone: zone,
		address: address, born: time.Now().UnixMilli(), flows: make(map[string]*targetFlow), slot: make(chan struct{}, slots),
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, err
	}
	_ = t.conn.SetReadBuffer(1 << 20)
	health := http.NewServeMux()
	health.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Wigeonmoor-Instance-Id", t.id)
		if t.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = http.Serve(listener, health) }()
	go func() { t.serve() }()
	go func() {
		for {
			t.register()
			time.Sleep(heartbeat)
		}
	}()
	return t, nil
}

func (t *target) key() string { return "servers/" + t.id }

func (t *target) isDraining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.draining
}

// register writes the target's entry. A write that changes nothing but the sequence is no change
// of the entry, so the sequence is kept.
func (t *target) register() time.Time {
	targetState := "ready"
	if t.isDraining() {
		targetState = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "capacity": slots,
		"state": targetState, "cold_remaining_ms": 0, "sequence": 1, "born": t.born,
	})
	if err != nil {
		panic(err)
	}
	return t.world.store.put(t.key(), value)
}

// drain reports that the target is draining.
func (t *target) drain() time.Time {
	t.mutex.Lock()
	t.draining = true
	t.mutex.Unlock()
	acknowledged := t.register()
	t.mutex.Lock()
	t.drainAcknowledged = acknowledged
	t.mutex.Unlock()
	return acknowledged
}

func (t *target) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if count < targetIDBytes {
			continue
		}
		intended := binary.BigEndian.Uint64(buffer)
		p, err := decode(buffer[targetIDBytes:count])
		switch {
		case intended != 0 && intended != t.number:
			continue // not the intended target
		case err != nil || p.sum != p.expectedSum() || p.has(flagSYN) && p.has(flagACK):
			t.world.recordf("FORGED packet at %s from %s", t.id, from)
			t.world.count(func(c *counts) { c.forged++ })
			continue
		}
		t.handle(p, arrival{time.Now(), from.Addr()})
	}
}

// handle handles a packet of a client.
func (t *target) handle(p packet, a arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := p.src.String() + ">" + p.dst.String()
	f := t.flows[key]
	switch {
	case p.has(flagSYN):
		if f == nil || f.answered {
			f = &targetFlow{isn: rand.Uint32(), received: p.seq + 1, opening: a}
			t.flows[key] = f
		}
		f.echo = p.echo
		if !f.open {
			t.send(p, f, flagSYN|flagACK, f.isn, nil)
		}
		return
	case f == nil:
		if !p.has(flagRST) {
			t.sendReset(p)
		}
		return
	case p.has(flagRST):
		delete(t.flows, key)
		return
	}
	f.echo = p.echo
	if !f.open {
		if p.ack != f.isn+1 {
			t.sendReset(p)
			return
		}
		f.open = true
		t.world.flowOpened(p.src, t)
	}
	if len(p.data) > 0 && p.seq == f.received {
		f.received += uint32(len(p.data))
		f.request = append(f.request, p.data...)
		t.startRequest(p, f)
		return
	}
	switch {
	case f.answer != nil && len(p.data) > 0:
		t.send(p, f, flagACK|f.finish, f.isn+1, f.answer)
	case p.has(flagFIN):
		t.send(p, f, flagACK, f.isn+1+uint32(len(f.answer)), nil)
	}
}

// startRequest runs the request of a flow, or rejects it if the queue is full.
func (t *target) startRequest(p packet, f *targetFlow) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(f.request)))
	if err != nil {
		return // incomplete
	}
	attempt := request.Header.Get("X-Wigeonmoor-Attempt-Id")
	if request.Close || t.draining {
		f.finish = flagFIN
	}
	if t.running+t.waiting >= slots+queue {
		f.answer = response("503 Service Unavailable", "X-Wigeonmoor-Not-Executed: full\r\n", nil)
		t.send(p, f, flagACK|f.finish, f.isn+1, f.answer)
		return
	}
	t.waiting++
	go func() {
		t.slot <- struct{}{}
		t.mutex.Lock()
		t.waiting--
		t.running++
		drainAcknowledged := t.drainAcknowledged
		t.mutex.Unlock()
		t.world.requestRun(run{
			attempt: attempt, target: t, route: p.dst, opening: f.opening, drainAcknowledged: drainAcknowledged, at: time.Now(),
		})
		time.Sleep(work)
		<-t.slot
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.running--
		body := []byte(attempt + " " + t.service + strings.Repeat(".", 500))
		f.answer = response("200 OK", "X-Wigeonmoor-Response-Stamp: "+t.id+"\r\n", body)
		t.send(p, f, flagACK|f.finish, f.isn+1, f.answer)
		f.answered = true
	}()
}

func response(status, headers string, body []byte) []byte {
	return append([]byte("HTTP/1.1 "+status+"\r\n"+headers+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...)
}

// send sends a packet of a flow to its client.
func (t *target) send(to packet, f *targetFlow, flags byte, seq uint32, data []byte) {
	p := packet{src: to.dst, dst: to.src, seq: seq, ack: f.received, flags: flags, echo: f.echo, data: data}
	t.transmit(p)
}

// sendReset answers a packet of a flow that the target does not hold.
func (t *target) sendReset(to packet) {
	t.world.recordf("%s resets %s>%s, which it does not hold", t.id, to.src, to.dst)
	t.transmit(packet{src: to.dst, dst: to.src, seq: to.ack, ack: to.seq, flags: flagRST, echo: to.echo})
}

func (t *target) transmit(p packet) {
	// A datagram that cannot be sent is lost.
	_, _ = t.conn.WriteToUDPAddrPort(p.signed(), netip.AddrPortFrom(p.dst.Addr(), datagramPort))
}
