package tagged

// This file decides whether a check without an answer proves that the server is dead.
//
// If servers of several failure domains stop answering at once, the likely cause is this
// balancer's own link, and checks that end while the process is scheduled late prove
// nothing. A server without an answer is then unreachable, not dead, until a peer reports
// that it gets no answer either. Peers are queried after the first failed check, so that
// the detection of dead servers is not delayed. If a peer reaches the server, the server
// is not declared dead, whatever this balancer observes: these are indirect probes, as
// in SWIM's failure detection. If no peer reports on a single server, it is dead after some
// more failed checks. Querying a majority was rejected: what counts are the peers on the
// same side of a network partition, and each answer may cost a connection.

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

const (
	// lateTickGap is the time between two ticks above which the process counts as
	// scheduled late. An exhausted CPU quota stops the process for 100 ms.
	lateTickGap = 4 * TickInterval
	// lateTickWindow is how long checks without an answer are inconclusive after
	// a late tick, as packets may have been queued in the meantime. It covers two
	// checks.
	lateTickWindow = 300 * time.Millisecond
	// A local fault is suspected if at least localFaultServers servers in
	// localFaultDomains failure domains were silent within localFaultWindow. Two
	// checks fail within that time.
	localFaultServers = 4
	localFaultDomains = 2
	localFaultWindow  = 500 * time.Millisecond
	// failuresWithoutPeers is the number of failed checks after which a server is
	// dead although no peer has reported on it. Peers have been queried three times
	// by then.
	failuresWithoutPeers = 3
	// peerReportTTL is how long a peer's report is valid, a few checks.
	peerReportTTL = time.Second
	// maxSuccessAge and maxSilenceAge are the maximum ages of this balancer's own
	// observations at which it answers a peer without a check. A network partition
	// shows within two checks.
	maxSuccessAge = 100 * time.Millisecond
	maxSilenceAge = 500 * time.Millisecond
	// maxPeerChecksPerSecond limits the checks on behalf of peers, as each costs a
	// connection. maxPendingQueries limits the queued queries to peers.
	maxPeerChecksPerSecond = 20
	maxPendingQueries      = 64
)

// ReachabilityQuery asks peers whether they reach a backend server.
type ReachabilityQuery struct {
	Tag    state.Tag
	Domain string
}

// ReachabilityReport answers a ReachabilityQuery. It lists the backend servers that a balancer
// reaches and those that do not answer it.
type ReachabilityReport struct {
	Alive, Silent []state.Tag
}

// selfCheck tracks whether this balancer's own link or processor may be at fault.
type selfCheck struct {
	lastTick  time.Time
	lateUntil time.Time
	// localFaultSuspected is set while servers of several failure domains are silent.
	localFaultSuspected bool
	// hasLocalServers is set if there are published servers in the balancer's own
	// failure domain.
	hasLocalServers bool
	queries         []ReachabilityQuery
	// peerChecksLeft is the number of checks on behalf of peers that may still start
	// before peerChecksResetAt.
	peerChecksLeft    int
	peerChecksResetAt time.Time
}

// detectLocalFault detects late ticks and updates the suspicion of a local fault from
// the number of silent servers. Silent servers in other failure domains only are no
// sign of a local fault, unless the balancer's own domain has no servers.
func (c *Core) detectLocalFault(now time.Time) {
	self := &c.selfCheck
	if !self.lastTick.IsZero() && now.Sub(self.lastTick) > lateTickGap {
		self.lateUntil = now.Add(lateTickWindow)
		c.config.Log.Info("tagged: process was scheduled late; checks without an answer are inconclusive", "Gap", now.Sub(self.lastTick).String())
	}
	self.lastTick = now
	servers, domains := 0, make(map[string]bool)
	for _, t := range c.suspects {
		if now.Sub(t.silentAt) < localFaultWindow && t.entry.Published() {
			servers++
			domains[t.entry.Domain] = true
		}
	}
	suspected := servers >= localFaultServers && len(domains) >= localFaultDomains && (domains[c.config.Domain] || !self.hasLocalServers)
	if suspected != self.localFaultSuspected {
		self.localFaultSuspected = suspected
		c.config.Log.Info("tagged: suspicion of a local fault has changed", "Doubt", suspected, "Silent", servers, "Domains", len(domains))
	}
}

// checkInconclusive reports whether a check of the server without an answer does not
// prove that the server is dead.
func (c *Core) checkInconclusive(t *target, now time.Time) bool {
	self := &c.selfCheck
	switch {
	case now.Before(self.lateUntil), now.Sub(t.peerReachedAt) < peerReportTTL:
		return true
	case c.peerCount == 0, now.Sub(t.peerSilentAt) < peerReportTTL, c.domainOf(t).confirmedByPeer(now):
		// No peer can be queried, or a peer has confirmed that the server, or its whole
		// failure domain, does not answer.
		return false
	}
	return self.localFaultSuspected || t.health.FailedChecks() < failuresWithoutPeers
}

// queueReachabilityQuery records a check without an answer and queues a query to
// peers about the server.
func (c *Core) queueReachabilityQuery(t *target, now time.Time) {
	t.silentAt = now
	undecided := t.health.State() == health.Suspected || t.health.State() == health.Unreachable
	if undecided && len(c.selfCheck.queries) < maxPendingQueries {
		c.selfCheck.queries = append(c.selfCheck.queries, ReachabilityQuery{Tag: t.entry.Tag, Domain: t.entry.Domain})
	}
}

// PopReachabilityQueries returns the queued queries to peers and clears the queue.
func (c *Core) PopReachabilityQueries() []ReachabilityQuery {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queries := c.selfCheck.queries
	c.selfCheck.queries = nil
	return queries
}

// HandleReachabilityReport applies a peer's report on backend servers and returns the flows to
// reset. Servers whose checks have failed, and which the report confirms to be silent, are dead at
// once.
func (c *Core) HandleReachabilityReport(peer string, report ReachabilityReport, now time.Time) []Reset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = now
	for _, tag := range report.Alive {
		if t := c.byTag[tag]; t != nil {
			t.peerReachedAt = now
			c.domainOf(t).peerReachedAt = now
			c.reachabilityStale = true
			if t.health.RecordPeerSuccess() {
				c.Counters.Vouched.Add(1)
			}
			c.config.Log.Info("tagged: backend server is reached by a peer", "Backend", t.entry.Name, "Peer", peer, "SinceSign", sinceSuccess(t, now))
		}
	}
	for _, tag := range report.Silent {
		if t := c.byTag[tag]; t != nil {
			t.peerSilentAt = now
			c.domainOf(t).peerSilentAt = now
		}
	}
	if len(report.Silent) == 0 {
		return nil
	}
	for _, t := range c.suspects {
		if t.health.State() == health.Unreachable && !c.checkInconclusive(t, now) && t.health.ConfirmDead(now) {
			c.reachabilityStale = true
			c.declareDead(t, health.Silent, now)
		}
	}
	return c.drainResets()
}

// AnswerReachabilityQuery answers a peer's query from recent observations. It also
// returns the servers to check before the rest of the query can be answered;
// HandlePeerCheckResult turns each result into a report.
func (c *Core) AnswerReachabilityQuery(tags []state.Tag, now time.Time) (ReachabilityReport, []Check) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var report ReachabilityReport
	var checks []Check
	self := &c.selfCheck
	if !now.Before(self.peerChecksResetAt) {
		self.peerChecksLeft, self.peerChecksResetAt = maxPeerChecksPerSecond, now.Add(time.Second)
	}
	for _, tag := range tags {
		t := c.byTag[tag]
		switch {
		case t == nil:
		case now.Sub(t.health.LastSuccess()) < maxSuccessAge:
			report.Alive = append(report.Alive, tag)
		case t.dead() || now.Sub(t.silentAt) < maxSilenceAge:
			report.Silent = append(report.Silent, tag)
		case self.peerChecksLeft > 0:
			self.peerChecksLeft--
			checks = append(checks, Check{Backend: t.entry.Name, Address: t.entry.Address, Tag: tag})
		}
	}
	return report, checks
}

// HandlePeerCheckResult records the result of a check on behalf of a peer and returns
// the report to send. A refused check is reported as silent. The report is empty if
// the check had no answer while the process was scheduled late.
func (c *Core) HandlePeerCheckResult(check Check, result health.Result, now time.Time) ReachabilityReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result == health.Answered {
		return ReachabilityReport{Alive: []state.Tag{check.Tag}}
	}
	if result == health.Silent && now.Before(c.selfCheck.lateUntil) {
		return ReachabilityReport{}
	}
	if t := c.byName[check.Backend]; t != nil && result == health.Silent {
		t.silentAt = now
	}
	return ReachabilityReport{Silent: []state.Tag{check.Tag}}
}
