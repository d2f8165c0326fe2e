package tagged

// The rate limit of cold servers. The configuration says for each service how many requests per
// second a server can process while it is cold, and the settings by how much that may be exceeded.
// The limit holds for the sum of all balancers (package quota), so only balancers of the server's
// failure domain place flows on it, each within its share.
//
// Servers of a domain whose evacuation was taken back count as cold for the service's cold start:
// their entries may say so only later.

import (
	"slices"
	"time"

	"wigeonmoor.example/internal/quota"
)

// Members are the balancers that share the rate limits.
type Members struct {
	// Names are the sorted names of the balancers of this balancer's failure domain, itself and
	// those included that are dead or out of reach.
	Names []string
	// Settled is set once the balancer has run long enough for the others to know it.
	Settled bool
}

// SetMembers sets the balancers that share the rate limits.
func (c *Core) SetMembers(members Members) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if members.Settled != c.members.Settled || !slices.Equal(members.Names, c.members.Names) {
		c.members = members
		c.membersChanged++
	}
}

// LimitsRates reports whether the table limits the rate of cold servers, which requires SetMembers.
func (c *Core) LimitsRates() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.table != nil && c.table.HasLimitedServices()
}

// coldLimit is the share of a cold server's rate limit that this balancer may use.
type coldLimit struct {
	// until is when the server ceases to be cold after the evacuation of its domain was taken
	// back.
	until time.Time
	// share was computed when Core.membersChanged had the value of membersChanged.
	share          int
	membersChanged int
	placed         quota.Window
}

// isCold reports whether the rate of a server is limited now.
func (c *Core) isCold(t *target, now time.Time) bool {
	return (now.Before(t.entry.ColdUntil) || now.Before(t.cold.until)) && c.table.LimitedService(t.entry.Service) != nil
}

// mayPlace reports whether a new flow on the server stays within the rate limit.
func (c *Core) mayPlace(t *target, now time.Time) bool {
	if !c.isCold(t, now) {
		return true
	}
	if t.entry.Domain != c.config.Domain || !c.members.Settled {
		return false
	}
	if t.cold.membersChanged != c.membersChanged {
		service := c.table.LimitedService(t.entry.Service)
		limit := quota.Limit(service.ColdRate*max(c.config.ColdOverage, 1) + c.config.ColdSlack)
		t.cold.share = quota.Share(limit, t.entry.Name, c.config.Name, c.members.Names)
		t.cold.membersChanged = c.membersChanged
	}
	return t.cold.placed.Allows(t.cold.share, now)
}

// countPlacement counts a new flow on a server.
func (c *Core) countPlacement(t *target, now time.Time) {
	if c.isCold(t, now) {
		t.cold.placed.Add(now)
	}
}
