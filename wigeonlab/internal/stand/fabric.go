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

// listPeriod is how far the fabric's list may lag behind the platform's.
const listPeriod = time.Second

const datagramBytes = 65536

// FabricConfig sets a fabric up.
type FabricConfig struct {
	Name     string
	Platform netip.AddrPort
	Listen   netip.AddrPort
	Return   netip.AddrPort
	Caller   netip.AddrPort
}

// Fabric is a stand-in for the network: each packet of a caller goes to a random
// balancer, and what balancers send back goes to the callers.
type Fabric struct {
	settings FabricConfig
	targets  atomic.Pointer[[]netip.AddrPort]
}

// NewFabric returns a fabric that knows no balancers yet.
func NewFabric(settings FabricConfig) *Fabric {
	f := &Fabric{settings: settings}
	f.targets.Store(&[]netip.AddrPort{})
	return f
}

// Serve carries packets until the context ends.
func (f *Fabric) Serve(ctx context.Context) error {
	in, err := listenUDP(ctx, f.settings.Listen)
	if err != nil {
		return err
	}
	back, err := listenUDP(ctx, f.settings.Return)
	if err != nil {
		return err
	}
	watch.New(ctx, watch.Config{
		URL:           "http://" + f.settings.Platform.String(),
		Fabric:        f.settings.Name,
		IsReader:      func() bool { return true },
		CurrentBundle: func() (config.Bundle, bool) { return config.Bundle{}, false },
		OnBundle:      func(config.Bundle) {},
		OnInstances:   f.take,
		OnError:       func(err error) { fmt.Println("fabric:", err) },
	})
	go func() { relay(back, func() (netip.AddrPort, bool) { return f.settings.Caller, true }) }()
	relay(in, f.pick)
	return nil
}

func (f *Fabric) take(list config.Instances) {
	targets := make([]netip.AddrPort, 0, len(list.Instances))
	for _, instance := range list.Instances {
		if instance.State == config.InstanceLive {
			targets = append(targets, instance.Traffic)
		}
	}
	time.AfterFunc(listPeriod, func() { f.targets.Store(&targets) })
}

func (f *Fabric) pick() (netip.AddrPort, bool) {
	targets := *f.targets.Load()
	if len(targets) == 0 {
		return netip.AddrPort{}, false
	}
	return targets[rand.IntN(len(targets))], true
}

// relay sends each datagram on to where pick says.
func relay(conn *net.UDPConn, pick func() (netip.AddrPort, bool)) {
	buffer := make([]byte, datagramBytes)
	for {
		length, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if to, ok := pick(); ok {
			// A datagram that cannot be sent is lost, as in a network.
			_, _ = conn.WriteToUDPAddrPort(buffer[:length], to)
		}
	}
}

const standBufferBytes = 4 << 20

func listenUDP(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("stand: listen on %s: %w", address, err)
	}
	_ = conn.SetReadBuffer(standBufferBytes)
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
	return conn, nil
}
