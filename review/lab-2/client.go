package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is how a client's attempt ended.
type outcome string

const (
	served           outcome = "served"
	resetByBalancer  outcome = "reset by a balancer"
	resetByTarget    outcome = "reset by a target"
	noAnswer         outcome = "no answer"
	answeredWrongly  outcome = "wrong answer"
	firstClientPort          = 20000
	handshakeTimeout         = 1400 * time.Millisecond
)

// copyTimes are the times of a first packet and its copies.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// retransmitInterval is the time until a missing packet is sent again; it doubles up to a limit.
const (
	retransmitInterval    = 200 * time.Millisecond
	maxRetransmitInterval = 1600 * time.Millisecond
)

// client is a stand-in of a client: one address with a flow for each request.
type client struct {
	conn     *net.UDPConn
	address  netip.Addr
	record   *record
	nextPort atomic.Uint32
	mutex    sync.Mutex
	inboxes  map[uint16]chan received
}

type received struct {
	header header
	data   []byte
}

func startClient(address netip.AddrPort, record *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, address: address.Addr(), record: record, inboxes: make(map[uint16]chan received)}
	c.nextPort.Store(firstClientPort)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		count, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		h, data, ok := decode(buffer[:count])
		if !ok {
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[h.destination.Port()]
		c.mutex.Unlock()
		select {
		case inbox <- received{h, bytes.Clone(data)}:
		default:
		}
	}
}

// result is how an attempt ended.
type result struct {
	outcome outcome
	// service and target have run the request, if it was served, and openedAt is when the client sent
	// the first packet that the target took.
	service  string
	target   string
	openedAt time.Time
	// acceptedAt is when the client got the answer to it.
	acceptedAt time.Time
}

// attempt sends one request on a new flow through one balancer.
func (c *client) attempt(id string, route, balancer netip.AddrPort, deadline time.Duration) result {
	port := uint16(c.nextPort.Add(1))
	inbox := make(chan received, 16)
	c.mutex.Lock()
	c.inboxes[port] = inbox
	c.mutex.Unlock()
	defer func() {
		c.mutex.Lock()
		delete(c.inboxes, port)
		c.mutex.Unlock()
	}()
	start := time.Now()
	got := c.run(id, header{source: netip.AddrPortFrom(c.address, port), destination: route, sequence: rand.Uint32()}, inbox, balancer, start.Add(deadline))
	c.record.line("client's request %s to %s through %s: %s %s after %s", id, route, balancer, got.outcome, got.service, time.Since(start).Round(time.Millisecond))
	return got
}

func (c *client) run(id string, h header, inbox chan received, balancer netip.AddrPort, deadline time.Time) result {
	start := time.Now()
	var opened *received
	var acceptedAt time.Time
	var sentAt []time.Time
	for number := range copyTimes {
		syn := h
		syn.flags, syn.ack = flagSYN, uint32(number)
		sentAt = append(sentAt, time.Now())
		c.send(syn, nil, balancer)
		until := start.Add(handshakeTimeout)
		if number+1 < len(copyTimes) {
			until = start.Add(copyTimes[number+1])
		}
		got, ok := await(inbox, until)
		if ok && got.header.flags&flagRST != 0 {
			return result{outcome: resetOutcome(got.header)}
		}
		if ok && got.header.flags&flagSYN != 0 {
			opened, acceptedAt = &got, time.Now()
			break
		}
	}
	if opened == nil {
		return result{outcome: noAnswer}
	}
	h.sequence++
	h.flags, h.ack, h.echo = flagACK, opened.header.sequence+1, opened.header.echo
	request := fmt.Appendf(nil, "POST /orders HTTP/1.1\r\nHost: lab\r\nX-Wigeonmoor-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	c.send(h, nil, balancer)
	interval := retransmitInterval
	for time.Now().Before(deadline) {
		c.send(h, request, balancer)
		got, ok := await(inbox, time.Now().Add(interval))
		interval = min(2*interval, maxRetransmitInterval)
		switch {
		case !ok:
		case got.header.flags&flagRST != 0:
			return result{outcome: resetOutcome(got.header)}
		case len(got.data) > 0:
			h.sequence += uint32(len(request))
			h.ack += uint32(len(got.data))
			h.echo = got.header.echo
			h.flags = flagACK | flagFIN
			c.send(h, nil, balancer)
			answer := readAnswer(id, got.data, sentAt)
			answer.acceptedAt = acceptedAt
			return answer
		}
	}
	return result{outcome: noAnswer}
}

// readAnswer checks an answer and reads the service and the number of the first packet from it.
func readAnswer(id string, answer []byte, sentAt []time.Time) result {
	_, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	words := strings.Fields(string(body))
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) || len(words) != 4 || words[3] != id {
		return result{outcome: answeredWrongly}
	}
	number, err := strconv.Atoi(words[2])
	if err != nil || number < 0 || number >= len(sentAt) {
		return result{outcome: answeredWrongly}
	}
	return result{outcome: served, service: words[0], target: words[1], openedAt: sentAt[number]}
}

// resetOutcome tells a balancer's reset, which has no checksum, from a target's.
func resetOutcome(h header) outcome {
	if h.sum == 0 {
		return resetByBalancer
	}
	return resetByTarget
}

func await(inbox chan received, until time.Time) (received, bool) {
	select {
	case got := <-inbox:
		return got, true
	case <-time.After(time.Until(until)):
		return received{}, false
	}
}

func (c *client) send(h header, data []byte, balancer netip.AddrPort) {
	// A packet that cannot be sent is lost, and sent again.
	_, _ = c.conn.WriteToUDPAddrPort(h.encode(data), balancer)
}
