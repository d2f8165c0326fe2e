package owned

// Load reports: those that this balancer fetched ride on its probes, and those that
// ride on others' are believed while they are fresh.

import (
	"slices"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/place"
	"wigeonmoor.example/internal/wire"
)

// Bounds of the load reports that are passed on.
const (
	maxFetched = 64
	maxLoadAge = 5 * time.Second
)

// fetchedReport is a load report to be passed on.
type fetchedReport struct {
	backend flow.BackendKey
	report  place.Report
}

// maxLoadsPerProbe bounds the load reports that ride on one probe.
const maxLoadsPerProbe = 8

// TakeReport takes a load report that this balancer has fetched itself and lets
// it ride on the next probes.
func (c *Core) TakeReport(backend flow.BackendKey, report place.Report) Output {
	c.setReport(backend, report)
	c.fetched = slices.DeleteFunc(c.fetched, func(before fetchedReport) bool { return before.backend == backend })
	if len(c.fetched) < maxFetched {
		c.fetched = append(c.fetched, fetchedReport{backend, report})
	}
	return c.finish()
}

// nextLoads returns some of the fetched reports in turn.
func (c *Core) nextLoads() []*wire.Load {
	var loads []*wire.Load
	for range min(maxLoadsPerProbe, len(c.fetched)) {
		next := c.fetched[0]
		c.fetched = append(c.fetched[1:], next)
		age := time.Since(next.report.At)
		if age > maxLoadAge {
			continue
		}
		loads = append(loads, &wire.Load{
			Backend:         uint32(next.backend),
			Open:            next.report.Open,
			AgeMilliseconds: uint32(age.Milliseconds()),
			Healthy:         next.report.Healthy,
			Shedding:        next.report.Shedding,
		})
	}
	return loads
}

// setReport stores a report for placement.
func (c *Core) setReport(backend flow.BackendKey, report place.Report) {
	if gauge := c.placer.Gauge(backend); gauge != nil {
		gauge.SetReport(report)
	}
}

func (c *Core) heardLoad(load *wire.Load) {
	c.setReport(flow.BackendKey(load.Backend), place.Report{
		Open:     load.Open,
		Healthy:  load.Healthy,
		Shedding: load.Shedding,
		At:       time.Now().Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond),
	})
}
