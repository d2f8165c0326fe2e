package probe

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/place"
)

// countingConn counts the bytes that a prober sends and receives.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(int64(count))
	return count, err
}

func (c countingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.received.Add(int64(count))
	return count, err
}

// BenchmarkCapacityProbe measures the cost of fetching the load reports of different numbers
// of backend servers. The time includes the work of the servers.
func BenchmarkCapacityProbe(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Open": 2000, "Healthy": true, "Shedding": false}`)
	}))
	defer server.Close()
	for _, count := range []int{4, 14, 56} {
		b.Run(fmt.Sprint("Backends=", count), func(b *testing.B) {
			fleet := model.FleetConfig{Balancers: 1, Domains: 1, Services: []model.ServiceConfig{{Name: "service", Backends: count}}}
			documents := fleet.Documents()
			for index := range documents.Services[0].Backends {
				documents.Services[0].Backends[index].Load = netip.MustParseAddrPort(server.Listener.Addr().String())
			}
			bundle, err := config.Render(documents, config.Bundle{}, 1)
			if err != nil {
				b.Fatal(err)
			}
			compiled, err := config.Compile(bundle, "fabric", nil)
			if err != nil {
				b.Fatal(err)
			}
			var sent, received atomic.Int64
			dialer := &net.Dialer{}
			p := &Prober{
				settings: Config{
					Compiled: func() *config.Compiled { return compiled },
					Assigned: func(flow.BackendKey) bool { return true },
					OnReport: func(flow.BackendKey, place.Report) {},
				},
				client: &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					return countingConn{conn, &sent, &received}, err
				}}},
				failures: make(map[flow.BackendKey]int),
			}
			rounds := 0
			for b.Loop() {
				p.probeTargets(b.Context())
				rounds++
			}
			calls := float64(rounds * count)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/calls, "ns/call")
			b.ReportMetric(float64(sent.Load())/calls, "B-sent/call")
			b.ReportMetric(float64(received.Load())/calls, "B-received/call")
		})
	}
}
