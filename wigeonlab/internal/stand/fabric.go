package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/watch"
)

// instanceListDelay is how long after the platform the fabric applies a new list of balancers.
const instanceListDelay = time.Second

// maxDatagramBytes exceeds the size of the largest UDP datagram.
const maxDatagramBytes = 65536

// FabricConfig configures a Fabric.
type FabricConfig struct {
	// Name is the fabric's name, which selects its list of balancers.
	Name     string
	Platform netip.AddrPort
	// Listen receives packets from callers, Return receives packets from balancers, which
	// are forwarded to Caller.
	Listen netip.AddrPort
	Return netip.AddrPort
	Caller netip.AddrPort
}

// Fabric simulates the network: it forwards each packet of a caller to a random live balancer,
// and each packet that a balancer returns to the callers.
type Fabric struct {
	settings FabricConfig
	// targets holds the traffic addresses of the live balancers.
	targets atomic.Pointer[[]netip.AddrPort]
}

// NewFabric returns a fabric without balancers. Serve reads their list from the platform.
func NewFabric(settings FabricConfig) *Fabric {
	f := &Fabric{settings: settings}
	f.targets.Store(&[]netip.AddrPort{})
	return f
}

// Serve forwards packets until the context is canceled. It returns an error if it cannot
// listen.
func (f *Fabric) Serve(ctx context.Context) error {
	incoming, err := listenUDP(ctx, f.settings.Listen)
	if err != nil {
		return err
	}
	outgoing, err := listenUDP(ctx, f.settings.Return)
	if err != nil {
		return err
	}
	watch.New(ctx, watch.Config{
		URL:           "http://" + f.settings.Platform.String(),
		Fabric:        f.settings.Name,
		IsReader:      func() bool { return true },
		CurrentBundle: func() (config.Bundle, bool) { return config.Bundle{}, false },
		OnBundle:      func(config.Bundle) {},
		OnInstances:   f.handleInstances,
		OnError:       func(err error) { fmt.Println("fabric:", err) },
	})
	go func() { relay(outgoing, func() (netip.AddrPort, bool) { return f.settings.Caller, true }) }()
	relay(incoming, f.pickBalancer)
	return nil
}

// handleInstances applies a new list of balancers after instanceListDelay.
func (f *Fabric) handleInstances(list config.Instances) {
	targets := make([]netip.AddrPort, 0, len(list.Instances))
	for _, instance := range list.Instances {
		if instance.State == config.InstanceLive {
			targets = append(targets, instance.Traffic)
		}
	}
	time.AfterFunc(instanceListDelay, func() { f.targets.Store(&targets) })
}

// pickBalancer returns the traffic address of a random live balancer, or false if there is none.
func (f *Fabric) pickBalancer() (netip.AddrPort, bool) {
	targets := *f.targets.Load()
	if len(targets) == 0 {
		return netip.AddrPort{}, false
	}
	return targets[rand.IntN(len(targets))], true
}

// relay forwards each datagram to the address that nextHop returns until the socket is closed.
func relay(conn *net.UDPConn, nextHop func() (netip.AddrPort, bool)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if to, ok := nextHop(); ok {
			// A datagram that cannot be sent counts as packet loss.
			_, _ = conn.WriteToUDPAddrPort(buffer[:length], to)
		}
	}
}

// receiveBufferBytes is the size of the sockets' receive buffers.
const receiveBufferBytes = 4 << 20

// listenUDP returns a socket that is closed when the context is canceled.
func listenUDP(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("stand: listen on %s: %w", address, err)
	}
	_ = conn.SetReadBuffer(receiveBufferBytes)
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
	return conn, nil
}
