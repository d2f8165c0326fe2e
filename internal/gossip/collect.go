package gossip

// Telling loads to the collectors of groups of backend servers, and collecting them.

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
	"wigeonmoor.example/internal/wire"
)

const (
	// unansweredMost is how many reports in a row may find no answer until another
	// collector is taken, and excusedSpan how long the first one is not asked again.
	unansweredMost = 3
	excusedSpan    = 3 * time.Second
	// forgetPeriod lies between two looks for groups that nobody reports on.
	forgetPeriod = time.Second
)

// collecting is what a balancer does as one that reports and as a collector.
type collecting struct {
	book *tally.Collector
	// chosen are the collectors of groups, nil for this balancer itself. They are chosen
	// anew when the live members change.
	chosen map[tally.GroupID]*member
	// unanswered counts reports on a group since the last answer, excused are members that
	// did not answer, until when.
	unanswered map[tally.GroupID]int
	excused    map[*member]time.Time
	nextForget time.Time
}

func newCollecting() collecting {
	return collecting{
		book:       tally.NewCollector(),
		chosen:     make(map[tally.GroupID]*member),
		unanswered: make(map[tally.GroupID]int),
		excused:    make(map[*member]time.Time),
	}
}

// report tells this balancer's load to the collectors, and itself where it collects.
func (n *Node) report(now time.Time) {
	c := &n.collecting
	if !now.Before(c.nextForget) {
		c.nextForget = now.Add(forgetPeriod)
		c.book.Expire(now)
		n.forgetExcused(now)
	}
	for _, report := range n.settings.Reports(now) {
		collector := n.collector(report, now)
		if collector == nil {
			c.book.SetReport(report.Group, n.self.Name, report.Loads, now)
			if report.Asks {
				n.settings.TakeTotals(report.Group, c.book.SumOthers(report.Group, n.self.Name, now), now)
			}
			continue
		}
		if report.Asks {
			c.unanswered[report.Group]++
		}
		body := &wire.Tally{Group: uint32(report.Group), Loads: encodeLoads(report.Loads), Asks: report.Asks}
		n.out = append(n.out, Message{To: collector.address, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Tally{Tally: body}})})
	}
}

// collector returns the collector of a group, nil for this balancer itself.
func (n *Node) collector(report tagged.Report, now time.Time) *member {
	c := &n.collecting
	if n.roster.moved {
		n.roster.moved = false
		clear(c.chosen)
	}
	known, found := c.chosen[report.Group]
	if found && known != nil && c.unanswered[report.Group] >= unansweredMost {
		n.settings.Log.Info("gossip: collector does not answer", "Member", known.told.Name, "Group", report.Group)
		c.excused[known] = now.Add(excusedSpan)
		found = false
	}
	if !found {
		c.unanswered[report.Group] = 0
		known = n.chooseCollector(report)
		c.chosen[report.Group] = known
	}
	return known
}

// chooseCollector returns the member of greatest weight in the failure domain of the
// group's servers, or of all members where none lives there.
func (n *Node) chooseCollector(report tagged.Report) *member {
	best, found := n.heaviestIn(report, report.Domain)
	if !found {
		best, _ = n.heaviestIn(report, "")
	}
	return best
}

func (n *Node) heaviestIn(report tagged.Report, domain string) (best *member, found bool) {
	var bestWeight uint64
	if domain == "" || domain == n.self.Domain {
		found, bestWeight = true, tally.CollectorWeight(report.Group, rank(n.self.Name))
	}
	for _, m := range n.roster.live {
		if domain != "" && m.told.Domain != domain {
			continue
		}
		if _, excused := n.collecting.excused[m]; excused {
			continue
		}
		if weight := tally.CollectorWeight(report.Group, m.rank); !found || weight > bestWeight {
			best, bestWeight, found = m, weight, true
		}
	}
	return best, found
}

// forgetExcused has members collect again that did not answer a while ago.
func (n *Node) forgetExcused(now time.Time) {
	for m, until := range n.collecting.excused {
		if !now.Before(until) {
			delete(n.collecting.excused, m)
			n.roster.moved = true
		}
	}
}

func (n *Node) takeTally(message *wire.Tally, from netip.AddrPort, now time.Time) {
	book := n.collecting.book
	group := tally.GroupID(message.Group)
	book.SetReport(group, from.String(), decodeLoads(message.Loads), now)
	if !message.Asks {
		return
	}
	totals := &wire.Totals{Group: message.Group, Loads: encodeLoads(book.SumOthers(group, from.String(), now))}
	n.out = append(n.out, Message{To: from, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Totals{Totals: totals}})})
}

func (n *Node) takeTotals(message *wire.Totals, from netip.AddrPort, now time.Time) {
	c := &n.collecting
	group := tally.GroupID(message.Group)
	if known := c.chosen[group]; known == nil || known.address != from {
		// A former collector does not know the whole any longer.
		return
	}
	c.unanswered[group] = 0
	n.settings.TakeTotals(group, decodeLoads(message.Loads), now)
}

func encodeLoads(loads []tally.Load) *wire.Loads {
	message := &wire.Loads{}
	for _, load := range loads {
		message.Tags = append(message.Tags, uint32(load.Tag))
		message.Busy = append(message.Busy, uint32(load.InFlight))
		message.Open = append(message.Open, uint32(load.OpenFlows))
	}
	return message
}

func decodeLoads(message *wire.Loads) []tally.Load {
	count := min(len(message.GetTags()), len(message.GetBusy()), len(message.GetOpen()))
	list := make([]tally.Load, count)
	for index := range list {
		list[index] = tally.Load{Tag: state.Tag(message.Tags[index]), InFlight: int(message.Busy[index]), OpenFlows: int(message.Open[index])}
	}
	return list
}
