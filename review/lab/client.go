package main

// The platform's routers, and clients that open a flow for each request, as PROTOCOL.md describes
// them.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// synTimeout is when an attempt ends that got no answer to its first packet.
	synTimeout = 1400 * time.Millisecond
	// deadline is the deadline of a request.
	deadline = 2 * time.Second
	// minRepeat and maxRepeat are the shortest and the longest time until data is sent again.
	minRepeat = 200 * time.Millisecond
	maxRepeat = 1600 * time.Millisecond
	// probeInterval is the time between two readiness probes of a balancer, maxMisses the
	// number of failed probes after which it is out of rotation.
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// synCopies are the times at which the first packet is sent.
var synCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// router selects the balancer of each packet. It hashes steadily: only the flows of a balancer that
// joins or leaves the rotation move.
type router struct {
	mutex sync.Mutex
	// inRotation holds the balancers in rotation by zone, all holds all of them.
	inRotation, all map[string][]*balancer
}

// probe probes the readiness of all balancers until the context is done.
func (r *router) probe(ctx context.Context, balancers []*balancer) {
	r.all = make(map[string][]*balancer)
	for _, b := range balancers {
		r.all[b.zone] = append(r.all[b.zone], b)
	}
	misses := make(map[*balancer]int)
	for _, b := range balancers {
		misses[b] = maxMisses
	}
	var mutex sync.Mutex
	client := &http.Client{Timeout: probeInterval - 100*time.Millisecond}
	for ctx.Err() == nil {
		next := time.Now().Add(probeInterval)
		var probes sync.WaitGroup
		for _, b := range balancers {
			probes.Go(func() {
				missed := true
				if answer, err := client.Get("http://" + netip.AddrPortFrom(b.ip, readinessPort).String() + "/api/readiness"); err == nil {
					missed = answer.StatusCode != http.StatusOK
					_ = answer.Body.Close()
				}
				mutex.Lock()
				defer mutex.Unlock()
				if missed {
					misses[b]++
				} else {
					misses[b] = 0
				}
			})
		}
		probes.Wait()
		ready := make(map[string][]*balancer)
		for _, b := range balancers {
			if misses[b] < maxMisses {
				ready[b.zone] = append(ready[b.zone], b)
			}
		}
		r.mutex.Lock()
		r.inRotation = ready
		r.mutex.Unlock()
		time.Sleep(time.Until(next))
	}
}

// count returns the number of balancers in rotation.
func (r *router) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	total := 0
	for _, list := range r.inRotation {
		total += len(list)
	}
	return total
}

// choose returns the balancer that gets a packet of a client in a zone, nil if there is none.
func (r *router) choose(zone string, p *packet) *balancer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := r.inRotation[zone]
	switch {
	case len(candidates) == 0:
		// None is in rotation: those of the other zones, which are all equally near.
		for _, list := range r.inRotation {
			candidates = append(candidates, list...)
		}
	case 2*len(candidates) < len(r.all[zone]):
		candidates = r.all[zone]
	}
	var best *balancer
	var bestWeight uint64
	for _, b := range candidates {
		hash := fnv.New64a()
		_, _ = fmt.Fprint(hash, p.src, p.dst, b.name)
		if weight := hash.Sum64() * 0x9e3779b97f4a7c15; best == nil || weight > bestWeight {
			best, bestWeight = b, weight
		}
	}
	return best
}

// client is an address in a zone from which requests are sent.
type client struct {
	world *world
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn

	mutex    sync.Mutex
	nextPort uint16
	inboxes  map[uint16]chan packet
}

func newClient(w *world, zone string, ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	c := &client{world: w, zone: zone, ip: ip, conn: conn, nextPort: 1024, inboxes: make(map[uint16]chan packet)}
	go func() { c.receive() }()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := decode(buffer[:count])
		if err != nil || p.sum != p.expectedSum() && !isBalancerReset(&p) {
			c.world.recordf("FORGED packet at client %s from %s", c.ip, from)
			c.world.count(func(n *counts) { n.forged++ })
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[p.dst.Port()]
		c.mutex.Unlock()
		if inbox != nil {
			select {
			case inbox <- p:
			default: // lost
			}
		}
	}
}

// isBalancerReset reports whether a packet has the form of a balancer's reset.
func isBalancerReset(p *packet) bool { return p.flags == flagRST && p.sum == 0 && len(p.data) == 0 }

// open registers a new port.
func (c *client) open() (uint16, chan packet) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.nextPort++; c.inboxes[c.nextPort] != nil || c.nextPort < 1024; c.nextPort++ {
	}
	inbox := make(chan packet, 64)
	c.inboxes[c.nextPort] = inbox
	return c.nextPort, inbox
}

func (c *client) release(port uint16) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.inboxes, port)
}

// send sends a packet through the balancer that the router chooses.
func (c *client) send(p *packet) {
	if b := c.world.router.choose(c.zone, p); b != nil {
		// A datagram that cannot be sent is lost.
		_, _ = c.conn.WriteToUDPAddrPort(p.signed(), netip.AddrPortFrom(b.ip, datagramPort))
	}
}

// The outcomes of an attempt that has no status of a target.
const (
	outcomeReset      = "reset before the flow was open"
	outcomeCut        = "reset on an open flow"
	outcomeUnanswered = "flow did not open"
	outcomeDeadline   = "no answer until the deadline"
)

// attempt sends one request on a flow of its own and returns the outcome: the status of the
// answer, or one of the outcomes above. It keeps the flow open for the time hold after the answer,
// in which a reset is the outcome.
func (c *client) attempt(route netip.AddrPort, id string, hold time.Duration) string {
	port, inbox := c.open()
	defer c.release(port)
	started := time.Now()
	base := packet{src: netip.AddrPortFrom(c.ip, port), dst: route, seq: rand.Uint32()}
	// echo is the last one received on the flow.
	echo, answer, outcome := uint32(0), packet{}, ""
	for number, at := range synCopies {
		if outcome = waitUntil(inbox, started.Add(at), &answer, nil); outcome != "" {
			break
		}
		syn := base
		syn.flags, syn.ack = flagSYN, uint32(number)
		c.send(&syn)
	}
	if outcome == "" {
		outcome = waitUntil(inbox, started.Add(synTimeout), &answer, nil)
	}
	switch outcome {
	case "":
		return outcomeUnanswered
	case outcomeReset:
		return outcome
	}
	echo = answer.echo
	body := strings.Repeat("x", 400)
	connection := "close"
	if hold > 0 {
		connection = "keep-alive"
	}
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\nX-Wigeonmoor-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, route, connection, id, len(body), body)
	request := base
	request.flags, request.seq, request.ack, request.data = flagACK, base.seq+1, answer.seq+1, []byte(text)
	isn := answer.seq
	repeat := minRepeat
	for end := started.Add(deadline); time.Now().Before(end); repeat = min(2*repeat, maxRepeat) {
		request.echo = echo
		c.send(&request)
		next := time.Now().Add(repeat)
		if next.After(end) {
			next = end
		}
		for {
			outcome := waitUntil(inbox, next, &answer, &request)
			if outcome == "" {
				break
			}
			if outcome == outcomeReset {
				c.world.flowCut(request.src, answer.sum == 0)
				return outcomeCut
			}
			echo = answer.echo
			if len(answer.data) == 0 || answer.seq != isn+1 {
				continue
			}
			status := c.status(id, answer.data)
			last := request
			last.flags, last.seq, last.ack, last.echo, last.data = flagACK, request.seq+uint32(len(text)), answer.seq+uint32(len(answer.data)), echo, nil
			c.send(&last)
			for held := time.Now().Add(hold); hold > 0; {
				if outcome := waitUntil(inbox, held, &answer, &last); outcome == outcomeReset {
					c.world.flowCut(last.src, answer.sum == 0)
					return outcomeCut
				} else if outcome == "" {
					break
				}
			}
			last.flags |= flagFIN
			c.send(&last)
			return status
		}
	}
	return outcomeDeadline
}

// status checks an answer and returns its status.
func (c *client) status(id string, data []byte) string {
	parsed, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil {
		return "answer that is not HTTP"
	}
	body, err := io.ReadAll(parsed.Body)
	_ = parsed.Body.Close()
	if parsed.StatusCode == http.StatusOK && (err != nil || !strings.HasPrefix(string(body), id+" ")) {
		return "answer of another request"
	}
	return parsed.Status
}

// waitUntil waits for the next packet of a flow. It returns "" at the given time, outcomeReset for
// a reset, and "packet" for any other packet. Until the flow is open, only a SYN+ACK is a packet;
// request is the packet that opened the flow, nil before.
func waitUntil(inbox chan packet, at time.Time, into, request *packet) string {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return ""
		case p := <-inbox:
			switch {
			case p.has(flagRST):
				distance := int32(0)
				if request != nil {
					distance = int32(p.seq - request.ack)
				}
				if distance > -resetWindow && distance < resetWindow {
					*into = p
					return outcomeReset
				}
			case request == nil && !(p.has(flagSYN) && p.has(flagACK)):
			default:
				*into = p
				return "packet"
			}
		}
	}
}
