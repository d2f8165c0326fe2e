package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform/stand"
	"wigeonmoor.example/wigeonlab/internal/router"
)

// The demo of the binding Tagged: the numbers of balancers and servers, and the loopback addresses.
const (
	taggedBalancers       = 4
	taggedServers         = 6
	taggedCallerIP        = "127.20.2.1"
	taggedTrafficPort     = 7700
	taggedReadyPort       = 7703
	taggedStoreAddress    = "127.20.9.1:9000"
	taggedRequestInterval = 100 * time.Millisecond
)

// taggedRouteAddress is 198.18.0.1:443.
var taggedRouteAddress = state.NewEndpoint(0xC6120001, 443)

func taggedBalancerIP(number int) string { return fmt.Sprintf("127.20.1.%d", number) }

// prepareTagged writes the settings files of the balancers to the directory.
func prepareTagged(_ context.Context, options options) error {
	for number := 1; number <= taggedBalancers; number++ {
		ip := taggedBalancerIP(number)
		text := fmt.Sprintf("[Instance]\nName = entry-%d\nDomain = domain-%d\nBinding = Tagged\n\n[Listen]\nTraffic = %s:%d\nPeer = %s:7701\nAdmin = %s:7702\nReady = %s:%d\n\n[Peers]\nSeeds = %s,%s\n\n[Platform]\nURL = http://%s\n\n[Leave]\nLinger = 3s\n",
			number, number%2+1, ip, taggedTrafficPort, ip, ip, ip, taggedReadyPort, taggedBalancerIP(1), taggedBalancerIP(2), taggedStoreAddress)
		path := filepath.Join(options.directory, fmt.Sprintf("entry-%d.ini", number))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return fmt.Errorf("tagged: write settings: %w", err)
		}
	}
	return nil
}

// runTagged simulates the store, backend servers, router and callers for the configured duration.
// After a quarter of the run it publishes that a server is draining, and 1 s later takes the store
// down for another quarter. It returns an error if a flow broke, a packet was misrouted, or nothing
// was answered.
func runTagged(ctx context.Context, options options) error {
	callerContext, cancel := context.WithTimeout(ctx, options.duration)
	defer cancel()
	store := stand.NewStore()
	listener, err := net.Listen("tcp4", taggedStoreAddress)
	if err != nil {
		return fmt.Errorf("tagged: listen for the store: %w", err)
	}
	// The store is served until the process exits.
	go func() { _ = http.Serve(listener, store) }()
	store.Put("op/config", `{"version":3,"routes":[{"name":"planning","hostname":"198.18.0.1","prefix":"/443/","type":"safe","timeout_ms":4000,"slo_latency_ms":250,"priority":1,"service":"planning"}],"services":[{"name":"planning"}],"limits":{"idle_timeout_ms":15000}}`)
	servers, err := startTaggedServers(store)
	if err != nil {
		return err
	}
	simulatedRouter, err := router.New(ctx, router.Config{
		Caller: taggedCallerIP, Port: taggedTrafficPort, ReadyPort: taggedReadyPort,
		Balancers: taggedBalancerIPs(),
	})
	if err != nil {
		return err
	}
	for simulatedRouter.InRotation() < taggedBalancers && callerContext.Err() == nil {
		time.Sleep(taggedRequestInterval)
	}
	fmt.Printf("tagged: %d balancers are in rotation\n", simulatedRouter.InRotation())
	time.AfterFunc(options.duration/4, func() {
		fmt.Println("tagged: a backend server starts draining; the store goes down for a while")
		store.Put(servers[0].StoreKey(), servers[0].Entry("planning", "domain-1", "draining"))
		time.Sleep(time.Second)
		store.SetDown(true)
		time.AfterFunc(options.duration/4, func() { store.SetDown(false) })
	})
	return runTaggedFlows(callerContext, simulatedRouter, servers, options.flows)
}

func taggedBalancerIPs() []string {
	var ips []string
	for number := 1; number <= taggedBalancers; number++ {
		ips = append(ips, taggedBalancerIP(number))
	}
	return ips
}

// startTaggedServers starts the backend servers and publishes their entries.
func startTaggedServers(store *stand.Store) ([]*stand.Server, error) {
	var servers []*stand.Server
	for number := 1; number <= taggedServers; number++ {
		s, err := stand.NewServer(stand.ServerConfig{
			ID: fmt.Sprintf("i-%04x", number), BackendID: state.BackendID(number), CallerPort: taggedTrafficPort,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20, 3, byte(number)}), 0),
		})
		if err != nil {
			return nil, err
		}
		store.Put(s.StoreKey(), s.Entry("planning", fmt.Sprintf("domain-%d", number%2+1), "ready"))
		servers = append(servers, s)
	}
	return servers, nil
}

// runTaggedFlows opens flows, sends requests on them until the context is canceled, and checks
// the result.
func runTaggedFlows(ctx context.Context, simulatedRouter *router.Router, servers []*stand.Server, flows int) error {
	var callers sync.WaitGroup
	var answers, broken atomic.Int64
	for number := range flows {
		callers.Go(func() {
			count, err := simulatedRouter.RunFlow(ctx, uint16(2000+number), taggedRouteAddress, taggedRequestInterval)
			answers.Add(int64(count))
			if err != nil {
				broken.Add(1)
				fmt.Printf("tagged: flow %d broke: %v\n", number, err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	misrouted := int64(0)
	for _, s := range servers {
		misrouted += s.MisroutedPackets.Load()
	}
	fmt.Printf("tagged: %d flows, %d answers, %d broken flows, %d misrouted packets\n", flows, answers.Load(), broken.Load(), misrouted)
	if broken.Load() > 0 || misrouted > 0 || answers.Load() == 0 {
		return fmt.Errorf("tagged: check failed: flows were broken, packets were misrouted, or nothing was answered")
	}
	return nil
}
