package owned

// Open flows told between balancers, for placement. The period follows from the
// budget: at eight balancers a quarter of a second, at 145 with a thousand backend
// servers it would be half a minute, and counts are not told at all.

import (
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// Bounds of telling counts.
const (
	minCountsPeriod = 250 * time.Millisecond
	// maxCountsPeriod is the age beyond which counts are not worth telling.
	maxCountsPeriod = 2 * time.Second
	// countsPortion is the part of the control budget that counts may take.
	countsPortion = 0.4
	// countsFixedBytes is what a message takes beside the counts.
	countsFixedBytes = wire.IPUDPHeaderBytes + 10
	worthTellingMean = 8
)

// toldCounts is what one balancer has told of its open flows.
type toldCounts struct {
	version config.Version
	open    map[flow.ServiceKey][]int64
}

// countsPeriod returns how often counts can be told out of the budget, zero if
// that is too seldom to be of use.
func (c *Core) countsPeriod() time.Duration {
	compiled := c.Compiled()
	others := len(c.view.Load().ready) - 1
	if compiled == nil || others < 1 {
		return 0
	}
	size := countsFixedBytes
	for _, service := range compiled.Services {
		size += len(service.Backends) + 2
	}
	allowed := countsPortion * float64(c.settings.ControlBytesPerSecond)
	period := time.Duration(float64(others*size) / allowed * float64(time.Second))
	if period > maxCountsPeriod {
		return 0
	}
	return max(period, minCountsPeriod)
}

// countsAge returns how old the others' counts get, zero if there are none.
func (c *Core) countsAge() time.Duration {
	if len(c.counts) == 0 {
		return 0
	}
	return c.countsPeriod()
}

// tellCounts tells the others how many flows this balancer has open.
func (c *Core) tellCounts(now time.Time) {
	period := c.countsPeriod()
	if period == 0 || now.Before(c.nextCounts) || c.settings.HashOnly {
		return
	}
	c.nextCounts = now.Add(period)
	counts, worthwhile := c.encodeCounts()
	if !worthwhile {
		return
	}
	c.members.SendCounts(counts)
}

// encodeCounts writes the own open flows as differences from the mean, of which
// most fit a byte. They are not worth telling while there are few, or while none
// has changed.
func (c *Core) encodeCounts() (counts []int32, worthwhile bool) {
	told := make(map[flow.ServiceKey][]int64)
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
			before := c.told[service.Key]
			if mean >= worthTellingMean && (len(before) != len(open) || before[index] != count) {
				worthwhile = true
			}
		}
		told[service.Key] = open
	}
	if worthwhile {
		c.told = told
		c.gatherCounts()
	}
	return counts, worthwhile
}

// takeCounts keeps what another balancer has told.
func (c *Core) takeCounts(probe *wire.Probe) {
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
	c.counts[flow.MemberKey(probe.From)] = toldCounts{compiled.Version, open}
	c.gatherCounts()
}

// gatherCounts adds up what the others have told lately. Balancers that have
// nothing new to tell stay in with what they told last.
func (c *Core) gatherCounts() {
	compiled := c.Compiled()
	peers := c.view.Load().peers
	sum := make(map[flow.ServiceKey][]int64, len(compiled.Services))
	for _, from := range sortedKeys(c.counts) {
		told := c.counts[from]
		if !peers[from].reachable || told.version != compiled.Version {
			delete(c.counts, from)
			continue
		}
		for _, service := range compiled.Services {
			if sum[service.Key] == nil {
				sum[service.Key] = make([]int64, len(service.Backends))
			}
			for index, count := range told.open[service.Key] {
				sum[service.Key][index] += count
			}
		}
	}
	if len(c.counts) > 0 {
		c.placer.SetOtherCounts(len(c.counts), sum, c.told)
	}
}
