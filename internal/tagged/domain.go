package tagged

// This file detects failure domains that stop responding as a whole. When the link to
// a domain is cut, each backend server behind it would otherwise be detected only
// after a caller's request to it has failed, which is too late for that request.
// Therefore, when two servers of a domain do not answer and no server of the domain
// has responded since then, all its published servers are suspected and get an active
// check. They are dead only if their own checks fail.

import "time"

// domainFailureThreshold is the number of times that servers of a failure domain become
// suspected, without a success in the domain in between, until all its servers are
// suspected.
const domainFailureThreshold = 2

// domainHealth has the passive health observations of one failure domain: the last
// success, and the number of failures since then.
type domainHealth struct {
	lastSuccess time.Time
	failures    int
	// peerSilentAt and peerReachedAt are the times at which a peer last reported that it gets no
	// answer from a server of the domain, or that it reaches one.
	peerSilentAt, peerReachedAt time.Time
}

// confirmedByPeer reports whether the domain does not respond to this balancer, a peer gets no
// answer from it either, and none reaches any of its servers. The domain is then one event: its
// servers need no report each, which peers could not give for all of them at once.
func (d *domainHealth) confirmedByPeer(now time.Time) bool {
	return d.failures >= domainFailureThreshold && now.Sub(d.peerSilentAt) < peerReportTTL && now.Sub(d.peerReachedAt) >= peerReportTTL
}

func (c *Core) domainOf(t *target) *domainHealth {
	d := c.domains[t.entry.Domain]
	if d == nil {
		d = &domainHealth{}
		c.domains[t.entry.Domain] = d
	}
	return d
}

// recordSuccess records proof that a server responds, for the server and for its
// failure domain.
func (c *Core) recordSuccess(t *target, now time.Time) {
	c.reachabilityStale = c.reachabilityStale || t.dead()
	t.health.RecordSuccess(now)
	d := c.domainOf(t)
	d.lastSuccess, d.failures = now, 0
}

// recordDomainFailure counts a packet without an answer, sent at the given time,
// against the server's failure domain.
func (c *Core) recordDomainFailure(t *target, sentAt, now time.Time) {
	d := c.domainOf(t)
	if d.lastSuccess.After(sentAt) {
		return
	}
	d.failures++
	if d.failures != domainFailureThreshold {
		return
	}
	c.config.Log.Info("tagged: failure domain does not respond; checking all its servers", "Domain", t.entry.Domain, "SinceSign", now.Sub(d.lastSuccess).String())
	for _, other := range c.allTargets {
		if other.entry.Domain == t.entry.Domain && other.entry.Published() {
			c.suspect(other, sentAt, now)
		}
	}
}
