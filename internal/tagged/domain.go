package tagged

// Failure domains that fall silent as a whole. When a link between domains is cut, each
// backend server behind it would be found out by a caller's request of its own, which
// is late by then. So two servers that do not answer, and no sign of life from the
// whole domain since, put all its servers to the check. They are dead only if their own
// checks fail.

import "time"

// silentServers is how many servers of a domain must have been struck, without a sign
// of life from the domain since the first.
const silentServers = 2

// domain is what is seen of a failure domain's backend servers.
type domain struct {
	lastSign time.Time
	struck   int
}

func (c *Core) domainOf(t *target) *domain {
	d := c.domains[t.entry.Domain]
	if d == nil {
		d = &domain{}
		c.domains[t.entry.Domain] = d
	}
	return d
}

// sign takes a sign of life of a server in.
func (c *Core) sign(t *target, now time.Time) {
	c.reachStale = c.reachStale || t.dead()
	t.health.Sign(now)
	d := c.domainOf(t)
	d.lastSign, d.struck = now, 0
}

// strikeDomain counts a struck server against its failure domain.
func (c *Core) strikeDomain(t *target, sent, now time.Time) {
	d := c.domainOf(t)
	if d.lastSign.After(sent) {
		return
	}
	d.struck++
	if d.struck != silentServers {
		return
	}
	c.settings.Log.Info("tagged: failure domain is silent", "Domain", t.entry.Domain, "SinceSign", now.Sub(d.lastSign).String())
	for _, other := range c.list {
		if other.entry.Domain == t.entry.Domain && other.entry.Published() {
			c.suspect(other, sent, now)
		}
	}
}
