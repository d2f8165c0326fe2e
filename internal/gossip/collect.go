package gossip

// Load reports: sends this balancer's load on each group of backend servers to the group's
// collector, and acts as the collector for some groups.

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
	"wigeonmoor.example/internal/wire"
)

const (
	// maxUnansweredReports is the number of consecutive reports without an answer after
	// which another collector is chosen. The unresponsive collector is excluded for
	// exclusionDuration.
	maxUnansweredReports = 3
	exclusionDuration    = 3 * time.Second
	// cleanupInterval is the time between two removals of expired reports and exclusions.
	cleanupInterval = time.Second
)

// loadExchange is the state of a balancer both as a reporter and as a collector of loads.
type loadExchange struct {
	// ownCollector stores the reports on the groups whose collector is this balancer.
	ownCollector *tally.Collector
	// collectors holds the chosen collector of each group, nil for this balancer itself. It
	// is cleared when the set of live members changes.
	collectors map[tally.GroupID]*member
	// unansweredReports counts the reports on a group since the last answer. excludedUntil
	// holds the members that did not answer and the end of their exclusion.
	unansweredReports map[tally.GroupID]int
	excludedUntil     map[*member]time.Time
	nextCleanup       time.Time
}

func newLoadExchange() loadExchange {
	return loadExchange{
		ownCollector:      tally.NewCollector(),
		collectors:        make(map[tally.GroupID]*member),
		unansweredReports: make(map[tally.GroupID]int),
		excludedUntil:     make(map[*member]time.Time),
	}
}

// sendReports sends this balancer's due load reports to the collectors, and records those
// for which this balancer is the collector.
func (n *Node) sendReports(now time.Time) {
	loads := &n.loads
	if !now.Before(loads.nextCleanup) {
		loads.nextCleanup = now.Add(cleanupInterval)
		loads.ownCollector.Expire(now)
		n.expireExclusions(now)
	}
	for _, report := range n.config.DueLoadReports(now) {
		collector := n.collectorFor(report, now)
		if collector == nil {
			loads.ownCollector.SetReport(report.Group, n.self.Name, report.Loads, now)
			if report.WantsPeerLoads {
				n.config.HandlePeerLoads(report.Group, loads.ownCollector.SumOthers(report.Group, n.self.Name, now), now)
			}
			continue
		}
		if report.WantsPeerLoads {
			loads.unansweredReports[report.Group]++
		}
		body := &wire.Tally{Group: uint32(report.Group), Loads: encodeLoads(report.Loads), Asks: report.WantsPeerLoads}
		n.outbox = append(n.outbox, Message{To: collector.address, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Tally{Tally: body}})})
	}
}

// collectorFor returns the collector of the reported group, nil for this balancer itself.
// It replaces a collector that has left too many reports unanswered.
func (n *Node) collectorFor(report tagged.LoadReport, now time.Time) *member {
	loads := &n.loads
	if n.members.liveChanged {
		n.members.liveChanged = false
		clear(loads.collectors)
	}
	current, found := loads.collectors[report.Group]
	if found && current != nil && loads.unansweredReports[report.Group] >= maxUnansweredReports {
		n.config.Log.Info("gossip: collector did not answer; choosing another", "Member", current.record.Name, "Group", report.Group)
		loads.excludedUntil[current] = now.Add(exclusionDuration)
		found = false
	}
	if !found {
		loads.unansweredReports[report.Group] = 0
		current = n.chooseCollector(report)
		loads.collectors[report.Group] = current
	}
	return current
}

// chooseCollector returns the member with the highest rendezvous weight in the failure
// domain of the group's servers, or among all members if that domain has none. Nil means
// this balancer itself.
func (n *Node) chooseCollector(report tagged.LoadReport) *member {
	best, found := n.highestWeightIn(report, report.Domain)
	if !found {
		best, _ = n.highestWeightIn(report, "")
	}
	return best
}

// highestWeightIn returns the member with the highest weight in a failure domain, or in the
// whole fleet if the domain is empty. It returns nil, true for this balancer itself.
func (n *Node) highestWeightIn(report tagged.LoadReport, domain string) (best *member, found bool) {
	var bestWeight uint64
	if domain == "" || domain == n.self.Domain {
		found, bestWeight = true, tally.CollectorWeight(report.Group, hashName(n.self.Name))
	}
	for _, m := range n.members.live {
		if domain != "" && m.record.Domain != domain {
			continue
		}
		if _, excluded := n.loads.excludedUntil[m]; excluded {
			continue
		}
		if weight := tally.CollectorWeight(report.Group, m.nameHash); !found || weight > bestWeight {
			best, bestWeight, found = m, weight, true
		}
	}
	return best, found
}

// expireExclusions makes members eligible as collectors again when their exclusion has
// ended.
func (n *Node) expireExclusions(now time.Time) {
	for m, until := range n.loads.excludedUntil {
		if !now.Before(until) {
			delete(n.loads.excludedUntil, m)
			n.members.liveChanged = true
		}
	}
}

func (n *Node) handleTally(message *wire.Tally, from netip.AddrPort, now time.Time) {
	collector := n.loads.ownCollector
	group := tally.GroupID(message.Group)
	collector.SetReport(group, from.String(), decodeLoads(message.Loads), now)
	if !message.Asks {
		return
	}
	totals := &wire.Totals{Group: message.Group, Loads: encodeLoads(collector.SumOthers(group, from.String(), now))}
	n.outbox = append(n.outbox, Message{To: from, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Totals{Totals: totals}})})
}

func (n *Node) handleTotals(message *wire.Totals, from netip.AddrPort, now time.Time) {
	loads := &n.loads
	group := tally.GroupID(message.Group)
	if collector := loads.collectors[group]; collector == nil || collector.address != from {
		// A former collector no longer has the complete totals.
		return
	}
	loads.unansweredReports[group] = 0
	n.config.HandlePeerLoads(group, decodeLoads(message.Loads), now)
}

// eighths is the number of units per request in which learned loads are sent.
const eighths = 8

func encodeLoads(loads []tally.Load) *wire.Loads {
	message := &wire.Loads{}
	learned := false
	for _, load := range loads {
		message.Tags = append(message.Tags, uint32(load.Tag))
		message.Busy = append(message.Busy, uint32(load.InFlight))
		message.Open = append(message.Open, uint32(load.OpenFlows))
		learned = learned || load.Work > 0 || load.Good > 0 || load.Bad > 0
	}
	if !learned {
		return message
	}
	for _, load := range loads {
		message.Work = append(message.Work, uint32(load.Work*eighths))
		message.Good = append(message.Good, uint32(load.Good*eighths))
		message.Bad = append(message.Bad, uint32(load.Bad*eighths))
		message.TookMilliseconds = append(message.TookMilliseconds, uint32(load.Took.Milliseconds()))
		message.ExpectedMilliseconds = append(message.ExpectedMilliseconds, uint32(load.Expected.Milliseconds()))
	}
	return message
}

func decodeLoads(message *wire.Loads) []tally.Load {
	count := min(len(message.GetTags()), len(message.GetBusy()), len(message.GetOpen()))
	learned := min(len(message.GetWork()), len(message.GetGood()), len(message.GetBad()), len(message.GetTookMilliseconds()), len(message.GetExpectedMilliseconds()))
	list := make([]tally.Load, count)
	for index := range list {
		load := tally.Load{Tag: state.Tag(message.Tags[index]), InFlight: int(message.Busy[index]), OpenFlows: int(message.Open[index])}
		if index < learned {
			load.Work = float64(message.Work[index]) / eighths
			load.Good, load.Bad = float64(message.Good[index])/eighths, float64(message.Bad[index])/eighths
			load.Took = time.Duration(message.TookMilliseconds[index]) * time.Millisecond
			load.Expected = time.Duration(message.ExpectedMilliseconds[index]) * time.Millisecond
		}
		list[index] = load
	}
	return list
}
