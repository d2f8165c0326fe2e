package owned

// Distribution of load reports. Each balancer fetches the reports of some backend
// servers and piggybacks them on its probes, so that all balancers receive them.

import (
	"slices"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/place"
	"wigeonmoor.example/internal/wire"
)

// Limits of the load reports that are piggybacked.
const (
	// maxFetchedReports bounds the backend servers whose reports are piggybacked.
	maxFetchedReports = 64
	// maxLoadAge is the age above which reports are no longer sent.
	maxLoadAge = 5 * time.Second
)

// fetchedReport is a load report to be piggybacked on probes.
type fetchedReport struct {
	backend flow.BackendKey
	report  place.Report
}

// maxLoadsPerProbe bounds the load reports on one probe.
const maxLoadsPerProbe = 8

// HandleReport stores a load report that this balancer has fetched itself, and
// piggybacks it on the next probes.
func (c *Core) HandleReport(backend flow.BackendKey, report place.Report) Output {
	c.setReport(backend, report)
	c.fetchedReports = slices.DeleteFunc(c.fetchedReports, func(before fetchedReport) bool { return before.backend == backend })
	if len(c.fetchedReports) < maxFetchedReports {
		c.fetchedReports = append(c.fetchedReports, fetchedReport{backend, report})
	}
	return c.takeOutput()
}

// nextLoads returns the load reports for the next probe. It goes through the fetched
// reports in turn and skips old ones.
func (c *Core) nextLoads() []*wire.Load {
	var loads []*wire.Load
	for range min(maxLoadsPerProbe, len(c.fetchedReports)) {
		next := c.fetchedReports[0]
		c.fetchedReports = append(c.fetchedReports[1:], next)
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

// setReport makes a report available to placement. Reports for backend servers that
// were never configured are ignored.
func (c *Core) setReport(backend flow.BackendKey, report place.Report) {
	if gauge := c.placer.Gauge(backend); gauge != nil {
		gauge.SetReport(report)
	}
}

func (c *Core) handleLoad(load *wire.Load) {
	c.setReport(flow.BackendKey(load.Backend), place.Report{
		Open:     load.Open,
		Healthy:  load.Healthy,
		Shedding: load.Shedding,
		At:       time.Now().Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond),
	})
}
