// Package fleet queries the status of balancers through their admin interfaces (package admin).
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
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// Balancer is the status of a balancer. If it could not be read, Status is nil and Problem
// describes the error.
type Balancer struct {
	Address string
	Status  *admin.Status
	Problem string `json:",omitempty"`
}

// Get sends a GET request to a balancer's admin interface and decodes its JSON response into
// value. It returns an error if the request fails, if its status is not 200, or if the response
// cannot be decoded.
func Get(ctx context.Context, address, path string, query url.Values, value any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := "http://" + address + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("read %s of %s: %w", path, address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("read %s of %s: %w", path, address, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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

// ReadStatuses queries the status of all balancers concurrently.
func ReadStatuses(ctx context.Context, addresses []string) []Balancer {
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

// DrainStatus is the sum of what the balancers report about a backend server that is drained.
type DrainStatus struct {
	Backend    string
	State      string
	OwnedFlows int64
	// ReportedFlows is the number of open flows in the backend server's load report, which
	// may be some seconds old.
	ReportedFlows uint32
	// HasReport is true if a balancer has a load report of the backend server.
	HasReport bool
	// Queried and Answered are numbers of balancers.
	Queried  int
	Answered int
}

// Drained reports whether the backend server has no open flows. If a balancer did not answer,
// this also requires a load report of the backend server.
func (d DrainStatus) Drained() bool {
	return d.OwnedFlows == 0 && d.ReportedFlows == 0 && (d.Answered == d.Queried || d.HasReport)
}

// ReadDrainStatus queries the balancers and sums up their open flows on a backend server. It
// returns an error if no balancer answers or none knows the backend server.
func ReadDrainStatus(ctx context.Context, addresses []string, backend string) (DrainStatus, error) {
	drain := DrainStatus{Backend: backend, Queried: len(addresses)}
	known := false
	for _, address := range addresses {
		var backends []owned.BackendStatus
		if err := Get(ctx, address, "/backends", nil, &backends); err != nil {
			continue
		}
		drain.Answered++
		for _, status := range backends {
			if status.Name != backend {
				continue
			}
			known = true
			drain.State = string(status.State)
			drain.OwnedFlows += status.OwnedFlows
			drain.ReportedFlows = max(drain.ReportedFlows, status.ReportOpen)
			drain.HasReport = drain.HasReport || status.ReportAge != "none"
		}
	}
	if drain.Answered == 0 {
		return drain, fmt.Errorf("drain-watch: none of %d balancers answered", len(addresses))
	}
	if !known {
		return drain, fmt.Errorf("drain-watch: no balancer knows a backend server %q", backend)
	}
	return drain, nil
}

// AdminAddresses returns the addresses of the admin interfaces of instances, with the given
// port.
func AdminAddresses(instances []netip.AddrPort, port uint16) []string {
	addresses := make([]string, len(instances))
	for index, instance := range instances {
		addresses[index] = netip.AddrPortFrom(instance.Addr(), port).String()
	}
	return addresses
}
