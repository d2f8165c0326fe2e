// Package router simulates the platform's routers, and callers behind them, on loopback
// sockets.
//
// A router probes the readiness of all balancers and sends each packet to a balancer in
// rotation, which it selects by the caller's port. All callers share one UDP socket; packets
// to them are demultiplexed by the caller's port in the packet header.
package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform"
)

// Router simulates the platform's routers and the callers behind them. Its methods may be
// called concurrently.
type Router struct {
	conn *net.UDPConn
	// caller is the address of the callers' socket.
	caller    state.Endpoint
	balancers []balancer
	// mutex guards the fields below.
	mutex sync.Mutex
	// inRotation holds the traffic addresses of the balancers in rotation.
	inRotation []netip.AddrPort
	// inboxes holds the channel of each open flow, by the caller's port.
	inboxes map[uint16]chan receivedPacket
}

// balancer holds a balancer's address for traffic and the URL of its readiness probe.
type balancer struct {
	traffic  netip.AddrPort
	readyURL string
}

// receivedPacket is a packet to a caller.
type receivedPacket struct {
	header platform.Header
	data   string
}

// Config configures a Router.
type Config struct {
	// Caller is the callers' IP address. Port is the port of the callers' socket and
	// of the traffic of all balancers.
	Caller string
	Port   uint16
	// Balancers are the IP addresses of the balancers. ReadyPort is the port of their
	// readiness endpoints.
	Balancers []string
	ReadyPort uint16
}

const (
	// readinessProbeInterval is the time between two readiness probes of a balancer.
	readinessProbeInterval = 500 * time.Millisecond
	// maxDatagramBytes exceeds the size of the largest packet.
	maxDatagramBytes = 2048
)

// New starts a router, which runs until the context is canceled. It panics if an IP address
// is invalid. The error wraps the one of the failed listen.
func New(ctx context.Context, config Config) (*Router, error) {
	address := netip.AddrPortFrom(netip.MustParseAddr(config.Caller), config.Port)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("router: listen for callers on %s: %w", address, err)
	}
	caller, _ := state.EndpointOf(address)
	r := &Router{conn: conn, caller: caller, inboxes: make(map[uint16]chan receivedPacket)}
	for _, ip := range config.Balancers {
		r.balancers = append(r.balancers, balancer{
			traffic:  netip.AddrPortFrom(netip.MustParseAddr(ip), config.Port),
			readyURL: fmt.Sprintf("http://%s:%d%s", ip, config.ReadyPort, platform.ReadyPath),
		})
	}
	go func() { r.probeBalancers(ctx) }()
	go func() { r.receive() }()
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
	return r, nil
}

// probeBalancers probes the readiness of all balancers periodically and updates the
// rotation. A balancer is removed after two failed probes in a row and returns after one
// that succeeds.
func (r *Router) probeBalancers(ctx context.Context) {
	failedProbes := make([]int, len(r.balancers))
	client := &http.Client{Timeout: readinessProbeInterval / 2}
	for ctx.Err() == nil {
		var inRotation []netip.AddrPort
		for index, b := range r.balancers {
			failedProbes[index]++
			if response, err := client.Get(b.readyURL); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					failedProbes[index] = 0
				}
			}
			if failedProbes[index] < 2 {
				inRotation = append(inRotation, b.traffic)
			}
		}
		r.mutex.Lock()
		r.inRotation = inRotation
		r.mutex.Unlock()
		time.Sleep(readinessProbeInterval)
	}
}

// InRotation returns the number of balancers in rotation.
func (r *Router) InRotation() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.inRotation)
}

// receive passes each packet to the flow of the caller's port until the socket is closed.
func (r *Router) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		header, data, ok := platform.ParseHeader(buffer[:count])
		r.mutex.Lock()
		inbox := r.inboxes[header.Destination.Port()]
		r.mutex.Unlock()
		if !ok || inbox == nil {
			continue
		}
		select {
		case inbox <- receivedPacket{header, string(data)}:
		default:
			// The caller's inbox is full. The packet is dropped and the caller
			// retransmits.
		}
	}
}

// send sends a packet to the balancer in rotation that the caller's port selects, modulo the
// number of balancers. Any change of the rotation moves most flows to another balancer, as
// with the platform's selection method "mod".
func (r *Router) send(port uint16, header platform.Header, data string) {
	r.mutex.Lock()
	inRotation := r.inRotation
	r.mutex.Unlock()
	if len(inRotation) == 0 {
		return
	}
	header.Source = state.NewEndpoint(r.caller.Address(), port)
	// A packet that cannot be sent is lost and the caller retransmits.
	_, _ = r.conn.WriteToUDPAddrPort(header.Append(nil, []byte(data)), inRotation[int(port)%len(inRotation)])
}
