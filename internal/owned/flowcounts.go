package owned

// Exchange of open-flow counts between balancers, which placement uses as the load of
// backend servers. The interval follows from the control budget: it is 250 ms with 8
// balancers. With 145 balancers and 1,000 backend servers it would be 30 seconds, and
// counts are not sent at all.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Limits of the exchange of counts.
const (
	minCountsInterval = 250 * time.Millisecond
	// maxCountsInterval is the interval above which counts would be too old to be of use
	// and are not sent.
	maxCountsInterval = 2 * time.Second
	// countsBudgetShare is the share of the control budget that counts may use.
	countsBudgetShare = 0.4
	// countsOverheadBytes is the size of a counts message without the counts.
	countsOverheadBytes = wire.IPUDPHeaderBytes + 10
	// minCountsMean is the mean open-flow count per backend server from which
	// changes of a service's counts are sent.
	minCountsMean = 8
)

// reportedCounts holds the open-flow counts that a peer has sent.
type reportedCounts struct {
	version config.Version
	// open holds the open-flow counts of each service by backend index.
	open map[flow.ServiceKey][]int64
}

// countsInterval returns the interval at which the budget allows counts to be sent, or
// zero if it is too long for the counts to be of use.
func (c *Core) countsInterval() time.Duration {
	compiled := c.Compiled()
	others := len(c.view.Load().readyMembers) - 1
	if compiled == nil || others < 1 {
		return 0
	}
	size := countsOverheadBytes
	for _, service := range compiled.Services {
		size += len(service.Backends) + 2
	}
	allowed := countsBudgetShare * float64(c.settings.ControlBytesPerSecond)
	interval := time.Duration(float64(others*size) / allowed * float64(time.Second))
	if interval > maxCountsInterval {
		return 0
	}
	return max(interval, minCountsInterval)
}

// maxPeerCountsAge returns the largest age that the peers' counts can reach, or zero if there
// are none.
func (c *Core) maxPeerCountsAge() time.Duration {
	if len(c.peerCounts) == 0 {
		return 0
	}
	return c.countsInterval()
}

// sendCounts sends this balancer's open-flow counts to the ready peers.
func (c *Core) sendCounts(now time.Time) {
	interval := c.countsInterval()
	if interval == 0 || now.Before(c.nextCountsAt) || c.settings.HashOnly {
		return
	}
	c.nextCountsAt = now.Add(interval)
	counts, worthSending := c.encodeCounts()
	if !worthSending {
		return
	}
	c.members.SendCounts(counts)
}

// encodeCounts encodes this balancer's open-flow counts as differences from each service's
// mean, most of which fit into one byte. The counts are not worth sending while they
// are small or unchanged.
func (c *Core) encodeCounts() (counts []int32, worthSending bool) {
	sent := make(map[flow.ServiceKey][]int64)
	for _, service := range c.Compiled().Services {
		open := c.placer.Open(service)
		var total int64
		for _, count := range open {
			total += count
		}
		mean := total / int64(max(1, len(open)))
		counts = append(counts, int32(mean))
		for index, count := range open {
			counts = append(counts, int32(count-mean))
			before := c.sentCounts[service.Key]
			if mean >= minCountsMean && (len(before) != len(open) || before[index] != count) {
				worthSending = true
			}
		}
		sent[service.Key] = open
	}
	if worthSending {
		c.sentCounts = sent
		c.sumPeerCounts()
	}
	return counts, worthSending
}

// handleCounts stores the open-flow counts of a peer. Counts for another configuration
// version are ignored, as their order follows from the configuration.
func (c *Core) handleCounts(probe *wire.Probe) {
	compiled := c.Compiled()
	if compiled == nil || uint64(compiled.Version) != probe.ConfigVersion {
		return
	}
	open := make(map[flow.ServiceKey][]int64, len(compiled.Services))
	rest := probe.Counts
	for _, service := range compiled.Services {
		if len(rest) < 1+len(service.Backends) {
			c.Counters.DroppedMalform.Add(1)
			return
		}
		mean := int64(rest[0])
		row := make([]int64, len(service.Backends))
		for index := range row {
			row[index] = max(0, mean+int64(rest[1+index]))
		}
		open[service.Key] = row
		rest = rest[1+len(service.Backends):]
	}
	c.peerCounts[flow.MemberKey(probe.From)] = reportedCounts{compiled.Version, open}
	c.sumPeerCounts()
}

// sumPeerCounts passes the sum of the peers' counts to the placer. A peer without changes
// sends nothing, so its last counts are used until it becomes unreachable.
func (c *Core) sumPeerCounts() {
	compiled := c.Compiled()
	peers := c.view.Load().peers
	sum := make(map[flow.ServiceKey][]int64, len(compiled.Services))
	for _, from := range sortedKeys(c.peerCounts) {
		reported := c.peerCounts[from]
		if !peers[from].reachable || reported.version != compiled.Version {
			delete(c.peerCounts, from)
			continue
		}
		for _, service := range compiled.Services {
			if sum[service.Key] == nil {
				sum[service.Key] = make([]int64, len(service.Backends))
			}
			for index, count := range reported.open[service.Key] {
				sum[service.Key][index] += count
			}
		}
	}
	if len(c.peerCounts) > 0 {
		c.placer.SetOtherCounts(len(c.peerCounts), sum, c.sentCounts)
	}
}
