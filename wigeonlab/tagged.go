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

// The demo of tagged flows: addresses on loopback, and what takes part.
const (
	taggedBalancers = 4
	taggedServers   = 6
	taggedCallerIP  = "127.20.2.1"
	taggedTraffic   = 7700
	taggedReady     = 7703
	taggedStore     = "127.20.9.1:9000"
	taggedPause     = 100 * time.Millisecond
)

// taggedListen is the route's address, 198.18.0.1:443.
var taggedListen = state.NewEndpoint(0xC6120001, 443)

func taggedBalancerIP(number int) string { return fmt.Sprintf("127.20.1.%d", number) }

// prepareTagged writes the settings of the balancers.
func prepareTagged(_ context.Context, options options) error {
	for number := 1; number <= taggedBalancers; number++ {
		ip := taggedBalancerIP(number)
		text := fmt.Sprintf("[Instance]\nName = entry-%d\nDomain = domain-%d\nBinding = Tagged\n\n[Listen]\nTraffic = %s:%d\nPeer = %s:7701\nAdmin = %s:7702\nReady = %s:%d\n\n[Peers]\nSeeds = %s,%s\n\n[Platform]\nURL = http://%s\n\n[Leave]\nLinger = 3s\n",
			number, number%2+1, ip, taggedTraffic, ip, ip, ip, taggedReady, taggedBalancerIP(1), taggedBalancerIP(2), taggedStore)
		path := filepath.Join(options.directory, fmt.Sprintf("entry-%d.ini", number))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return fmt.Errorf("prepare tagged: %w", err)
		}
	}
	return nil
}

// runTagged runs store, backend servers, router and callers for the span, drains a
// server meanwhile, and fails if a flow has broken.
func runTagged(ctx context.Context, options options) error {
	calling, cancel := context.WithTimeout(ctx, options.span)
	defer cancel()
	store := stand.NewStore()
	listener, err := net.Listen("tcp4", taggedStore)
	if err != nil {
		return fmt.Errorf("tagged: store: %w", err)
	}
	// It ends with the process.
	go func() { _ = http.Serve(listener, store) }()
	store.Put("op/config", `{"version":3,"routes":[{"name":"planning","hostname":"198.18.0.1","prefix":"/443/","type":"safe","timeout_ms":4000,"service":"planning"}],"limits":{"idle_timeout_ms":15000}}`)
	servers, err := startServers(store)
	if err != nil {
		return err
	}
	fabric, err := router.New(ctx, router.Config{
		Caller: taggedCallerIP, Port: taggedTraffic, ReadyPort: taggedReady,
		Balancers: balancerIPs(),
	})
	if err != nil {
		return err
	}
	for fabric.InUse() < taggedBalancers && calling.Err() == nil {
		time.Sleep(taggedPause)
	}
	fmt.Printf("tagged: %d balancers are in rotation\n", fabric.InUse())
	time.AfterFunc(options.span/4, func() {
		fmt.Println("tagged: a backend server is draining, the store is down for a while")
		store.Put(servers[0].StoreKey(), servers[0].Entry("planning", "domain-1", "draining"))
		time.Sleep(time.Second)
		store.SetDown(true)
		time.AfterFunc(options.span/4, func() { store.SetDown(false) })
	})
	return callTagged(calling, fabric, servers, options.flows)
}

func balancerIPs() []string {
	var list []string
	for number := 1; number <= taggedBalancers; number++ {
		list = append(list, taggedBalancerIP(number))
	}
	return list
}

func startServers(store *stand.Store) ([]*stand.Server, error) {
	var servers []*stand.Server
	for number := 1; number <= taggedServers; number++ {
		s, err := stand.NewServer(stand.ServerConfig{
			ID: fmt.Sprintf("i-%04x", number), BackendID: state.BackendID(number), CallerPort: taggedTraffic,
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

// callTagged keeps flows open until the context ends.
func callTagged(ctx context.Context, fabric *router.Router, servers []*stand.Server, flows int) error {
	var group sync.WaitGroup
	var answers, broken atomic.Int64
	for number := range flows {
		group.Go(func() {
			got, err := fabric.Call(ctx, uint16(2000+number), taggedListen, taggedPause)
			answers.Add(int64(got))
			if err != nil {
				broken.Add(1)
				fmt.Printf("tagged: flow %d broke: %v\n", number, err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	strangers := int64(0)
	for _, s := range servers {
		strangers += s.MisroutedPackets.Load()
	}
	fmt.Printf("tagged: %d flows, %d answers, %d broken flows, %d packets at the wrong server\n", flows, answers.Load(), broken.Load(), strangers)
	if broken.Load() > 0 || strangers > 0 || answers.Load() == 0 {
		return fmt.Errorf("tagged: a promise was broken")
	}
	return nil
}
