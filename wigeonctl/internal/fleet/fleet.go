// Package fleet reads what balancers see, from their interfaces for operators.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"wigeonmoor.example/internal/admin"
	"wigeonmoor.example/internal/owned"
)

const (
	callTimeout   = 3 * time.Second
	maxReplyBytes = 64 << 20
)

// Balancer is one balancer's answer, or why there was none.
type Balancer struct {
	Address string
	Status  *admin.Status
	Problem string `json:",omitempty"`
}

// Get reads one page of a balancer's interface into value.
func Get(ctx context.Context, address, path string, query url.Values, value any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	where := "http://" + address + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, where, nil)
	if err != nil {
		return fmt.Errorf("read %s of %s: %w", path, address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("read %s of %s: %w", path, address, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return fmt.Errorf("read %s of %s: %w", path, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read %s of %s: %s: %s", path, address, response.Status, data)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("read %s of %s: %w", path, address, err)
	}
	return nil
}

// Statuses asks all balancers at once.
func Statuses(ctx context.Context, addresses []string) []Balancer {
	balancers := make([]Balancer, len(addresses))
	var group sync.WaitGroup
	for index, address := range addresses {
		group.Go(func() {
			balancers[index].Address = address
			status := &admin.Status{}
			if err := Get(ctx, address, "/status", nil, status); err != nil {
				balancers[index].Problem = err.Error()
				return
			}
			balancers[index].Status = status
		})
	}
	group.Wait()
	return balancers
}

// Remaining is what all balancers together own on a backend server.
type Remaining struct {
	Backend string
	State   string
	Flows   int64
	// Reported is the backend server's own count, which may lag.
	Reported uint32
	// HasReport: a balancer holds a report of the backend server.
	HasReport bool
	Asked     int
	Answered  int
}

// Ended reports whether nothing is left. Where a balancer did not answer, the
// backend server's own count has to say so too.
func (r Remaining) Ended() bool {
	return r.Flows == 0 && r.Reported == 0 && (r.Answered == r.Asked || r.HasReport)
}

// Drain adds up what is left on a backend server.
func Drain(ctx context.Context, addresses []string, backend string) (Remaining, error) {
	remaining := Remaining{Backend: backend, Asked: len(addresses)}
	known := false
	for _, address := range addresses {
		var backends []owned.BackendStatus
		if err := Get(ctx, address, "/backends", nil, &backends); err != nil {
			continue
		}
		remaining.Answered++
		for _, status := range backends {
			if status.Name != backend {
				continue
			}
			known = true
			remaining.State = string(status.State)
			remaining.Flows += status.OwnedFlows
			remaining.Reported = max(remaining.Reported, status.ReportOpen)
			remaining.HasReport = remaining.HasReport || status.ReportAge != "none"
		}
	}
	if remaining.Answered == 0 {
		return remaining, fmt.Errorf("drain-watch: none of %d balancers answered", len(addresses))
	}
	if !known {
		return remaining, fmt.Errorf("drain-watch: no balancer knows a backend server %q", backend)
	}
	return remaining, nil
}

// AdminAddresses returns the addresses of the interfaces of listed instances, on
// the port that the settings give unless they say otherwise.
func AdminAddresses(instances []netip.AddrPort, port uint16) []string {
	addresses := make([]string, len(instances))
	for index, instance := range instances {
		addresses[index] = netip.AddrPortFrom(instance.Addr(), port).String()
	}
	return addresses
}
