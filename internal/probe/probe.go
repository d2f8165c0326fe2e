// Package probe fetches the load reports of backend servers.
//
// A report is the answer to GET /load: a JSON object with Open, Healthy and
// Shedding. Two balancers fetch each report and pass it on with their probes, so
// that a backend server is not asked by the whole fleet. A report is unhealthy
// only after failures in a row: one lost call says little, and the endpoint can
// fail while the service works.
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

// Times and sizes of probing.
const (
	period         = 2 * time.Second
	callTimeout    = time.Second
	failuresInRow  = 3
	maxReportBytes = 4096
	workers        = 8
)

// Load is the report of a backend server.
type Load struct {
	Open     uint32
	Healthy  bool
	Shedding bool
}

// Config sets the probing up. The callbacks are called from its goroutines.
type Config struct {
	Compiled func() *config.Compiled
	Assigned func(flow.BackendKey) bool
	Report   func(flow.BackendKey, place.Report)
}

// target is a backend server to be probed.
type target struct {
	key     flow.BackendKey
	address netip.AddrPort
}

// result is the outcome of one call.
type result struct {
	target target
	load   Load
	err    error
}

// Prober probes until its context ends.
type Prober struct {
	settings Config
	client   *http.Client
	failures map[flow.BackendKey]int
}

// New starts probing.
func New(ctx context.Context, settings Config) *Prober {
	p := &Prober{
		settings: settings,
		client:   &http.Client{Timeout: callTimeout},
		failures: make(map[flow.BackendKey]int),
	}
	go func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.round(ctx)
			}
		}
	}()
	return p
}

// round probes every assigned backend server once.
func (p *Prober) round(ctx context.Context) {
	targets := p.targets()
	work := make(chan target)
	results := make(chan result, len(targets))
	for range min(workers, len(targets)) {
		go func() {
			for next := range work {
				load, err := p.fetch(ctx, next.address)
				results <- result{next, load, err}
			}
		}()
	}
	for _, next := range targets {
		work <- next
	}
	close(work)
	for range targets {
		p.take(<-results)
	}
}

func (p *Prober) targets() []target {
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

// take turns the outcome of a call into a report.
func (p *Prober) take(outcome result) {
	key := outcome.target.key
	report := place.Report{At: time.Now(), Open: outcome.load.Open, Healthy: outcome.load.Healthy, Shedding: outcome.load.Shedding}
	if outcome.err != nil {
		p.failures[key]++
		if p.failures[key] < failuresInRow {
			return
		}
		p.settings.Report(key, place.Report{At: report.At})
		return
	}
	p.failures[key] = 0
	p.settings.Report(key, report)
}

func (p *Prober) fetch(ctx context.Context, address netip.AddrPort) (Load, error) {
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

// ReadLoad reads a report. Fields that are not known are ignored, since backend
// servers may report more than a balancer uses.
func ReadLoad(from io.Reader) (Load, error) {
	var load Load
	if err := json.NewDecoder(from).Decode(&load); err != nil {
		return Load{}, fmt.Errorf("probe: read load: %w", err)
	}
	return load, nil
}
