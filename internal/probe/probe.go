// Package probe fetches the load reports of backend servers.
//
// A report is the response to GET /load: a JSON object with Open, Healthy and Shedding. Two
// balancers fetch the reports of each backend server and forward them to the others with
// their membership probes, so that a backend server does not get requests from the whole
// fleet. Failed requests count as an unhealthy report only after several in a row, because a
// single lost request is weak evidence and the endpoint can fail while the service works.
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/place"
)

const (
	// probeInterval is the time between two requests to the same backend server.
	probeInterval  = 2 * time.Second
	requestTimeout = time.Second

	// unhealthyThreshold is the number of consecutive failed requests after which a backend
	// server is reported as unhealthy.
	unhealthyThreshold = 3

	maxReportBytes        = 4096
	maxConcurrentRequests = 8
)

// Load is the load report of a backend server.
type Load struct {
	// Open is the number of open flows.
	Open    uint32
	Healthy bool
	// Shedding is set while the server rejects work because of overload.
	Shedding bool
}

// Config configures a Prober. The callbacks are called from its goroutine.
type Config struct {
	// Compiled returns the current configuration, or nil if there is none.
	Compiled func() *config.Compiled
	// Assigned reports whether this balancer fetches the reports of a backend server.
	Assigned func(flow.BackendKey) bool
	// OnReport receives each report, including unhealthy ones after failed requests.
	OnReport func(flow.BackendKey, place.Report)
}

// target is a backend server to fetch a report from.
type target struct {
	key     flow.BackendKey
	address netip.AddrPort
}

// result is the outcome of one request.
type result struct {
	target target
	load   Load
	err    error
}

// Prober fetches load reports until its context is done.
type Prober struct {
	settings Config
	client   *http.Client
	failures map[flow.BackendKey]int
}

// New starts a Prober.
func New(ctx context.Context, settings Config) *Prober {
	p := &Prober{
		settings: settings,
		client:   &http.Client{Timeout: requestTimeout},
		failures: make(map[flow.BackendKey]int),
	}
	go func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.probeTargets(ctx)
			}
		}
	}()
	return p
}

// probeTargets fetches one report from every assigned backend server.
func (p *Prober) probeTargets(ctx context.Context) {
	targets := p.assignedTargets()
	work := make(chan target)
	results := make(chan result, len(targets))
	for range min(maxConcurrentRequests, len(targets)) {
		go func() {
			for next := range work {
				load, err := p.fetchLoad(ctx, next.address)
				results <- result{next, load, err}
			}
		}()
	}
	for _, next := range targets {
		work <- next
	}
	close(work)
	for range targets {
		p.handleResult(<-results)
	}
}

// assignedTargets returns the assigned backend servers that have a load report endpoint.
func (p *Prober) assignedTargets() []target {
	compiled := p.settings.Compiled()
	if compiled == nil {
		return nil
	}
	var targets []target
	for _, service := range compiled.Services {
		for _, backend := range service.Backends {
			if backend.Load.IsValid() && p.settings.Assigned(backend.Key) {
				targets = append(targets, target{backend.Key, backend.Load})
			}
		}
	}
	return targets
}

// handleResult passes the result of a request to OnReport, unless it is a failure below
// unhealthyThreshold.
func (p *Prober) handleResult(r result) {
	key := r.target.key
	report := place.Report{At: time.Now(), Open: r.load.Open, Healthy: r.load.Healthy, Shedding: r.load.Shedding}
	if r.err != nil {
		p.failures[key]++
		if p.failures[key] < unhealthyThreshold {
			return
		}
		p.settings.OnReport(key, place.Report{At: report.At})
		return
	}
	p.failures[key] = 0
	p.settings.OnReport(key, report)
}

func (p *Prober) fetchLoad(ctx context.Context, address netip.AddrPort) (Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/load", nil)
	if err != nil {
		return Load{}, fmt.Errorf("probe: fetch load of %s: %w", address, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Load{}, fmt.Errorf("probe: fetch load of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Load{}, fmt.Errorf("probe: fetch load of %s: status %s", address, response.Status)
	}
	return ReadLoad(io.LimitReader(response.Body, maxReportBytes))
}

// ReadLoad decodes a report. It ignores unknown fields, because backend servers may report
// more than balancers use.
func ReadLoad(from io.Reader) (Load, error) {
	var load Load
	if err := json.NewDecoder(from).Decode(&load); err != nil {
		return Load{}, fmt.Errorf("probe: decode load report: %w", err)
	}
	return load, nil
}
