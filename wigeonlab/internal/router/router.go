// Package router is a stand-in for the platform's routers and for callers behind them, on
// loopback sockets.
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

// Router is a stand-in for the platform's routers and for callers behind them.
type Router struct {
	conn      *net.UDPConn
	caller    state.Endpoint
	balancers []balancer
	mutex     sync.Mutex
	inUse     []netip.AddrPort
	waiting   map[uint16]chan received
}

// balancer is where a balancer takes packets and says whether it is ready.
type balancer struct {
	traffic netip.AddrPort
	ready   string
}

type received struct {
	head platform.Header
	data string
}

// Config sets a Router up.
type Config struct {
	// Caller is the callers' IP number, Port that of all balancers' traffic.
	Caller string
	Port   uint16
	// Balancers are their IP numbers, ReadyPort is where they say whether they are
	// ready.
	Balancers []string
	ReadyPort uint16
}

// How callers and routers behave.
const (
	rotationPeriod = 500 * time.Millisecond
	// maxDatagramBytes is the size of the largest packet, with room to spare.
	maxDatagramBytes = 2048
)

// New starts a router. It ends with the context.
func New(ctx context.Context, settings Config) (*Router, error) {
	address := netip.AddrPortFrom(netip.MustParseAddr(settings.Caller), settings.Port)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("router: callers at %s: %w", address, err)
	}
	caller, _ := state.EndpointOf(address)
	r := &Router{conn: conn, caller: caller, waiting: make(map[uint16]chan received)}
	for _, ip := range settings.Balancers {
		r.balancers = append(r.balancers, balancer{
			traffic: netip.AddrPortFrom(netip.MustParseAddr(ip), settings.Port),
			ready:   fmt.Sprintf("http://%s:%d%s", ip, settings.ReadyPort, platform.ReadyPath),
		})
	}
	go func() { r.rotate(ctx) }()
	go func() { r.receive() }()
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
	return r, nil
}

// rotate asks all balancers whether they are ready; two misses take one out.
func (r *Router) rotate(ctx context.Context) {
	misses := make([]int, len(r.balancers))
	client := &http.Client{Timeout: rotationPeriod / 2}
	for ctx.Err() == nil {
		var inUse []netip.AddrPort
		for index, b := range r.balancers {
			misses[index]++
			if response, err := client.Get(b.ready); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					misses[index] = 0
				}
			}
			if misses[index] < 2 {
				inUse = append(inUse, b.traffic)
			}
		}
		r.mutex.Lock()
		r.inUse = inUse
		r.mutex.Unlock()
		time.Sleep(rotationPeriod)
	}
}

// InUse returns how many balancers are in rotation.
func (r *Router) InUse() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.inUse)
}

func (r *Router) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		head, data, ok := platform.ParseHeader(buffer[:count])
		r.mutex.Lock()
		waiting := r.waiting[head.Destination.Port()]
		r.mutex.Unlock()
		if !ok || waiting == nil {
			continue
		}
		select {
		case waiting <- received{head, string(data)}:
		default:
			// The caller has enough to read; it asks again.
		}
	}
}

// send hands a packet to the balancer that a flow's hash selects, of those in rotation.
// Any change of the rotation moves most flows, as with the platform's "mod".
func (r *Router) send(port uint16, head platform.Header, data string) {
	r.mutex.Lock()
	inUse := r.inUse
	r.mutex.Unlock()
	if len(inUse) == 0 {
		return
	}
	head.Source = state.NewEndpoint(r.caller.Address(), port)
	// What cannot be sent is lost, and the caller asks again.
	_, _ = r.conn.WriteToUDPAddrPort(head.Append(nil, []byte(data)), inUse[int(port)%len(inUse)])
}
