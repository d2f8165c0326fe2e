package tagged

// Whether this balancer may judge others by what it sees.
//
// Servers of several failure domains that fall silent at once speak of the balancer's own
// link, and checks that end while the processor is late say nothing. A server that does
// not answer then is unreachable, not dead, until another balancer has found it silent,
// too. Other balancers are asked as soon as one check has failed, so that truly dead
// servers are found no later; one that reaches the server has it kept, whatever is seen
// here: an indirect check, as SWIM makes of members. A single server that nobody speaks of
// is dead after some more checks. Asking a majority was rejected: those on the same side of
// a cut are what counts, and each answer may cost a connection.

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
)

const (
	// lateTick is the gap between two ticks at which the processor counts as late. A
	// quota that is used up takes a tenth of a second.
	lateTick = 4 * TickPeriod
	// lateSpan is how long silent checks are doubted after that: packets may have waited
	// meanwhile. It is two checks.
	lateSpan = 300 * time.Millisecond
	// doubtServers servers of doubtDomains failure domains that were found silent within
	// doubtSpan make a balancer doubt itself. Within that time two checks fail.
	doubtServers = 4
	doubtDomains = 2
	doubtSpan    = 500 * time.Millisecond
	// aloneFailures is how many checks must have failed for a server to be taken for dead
	// though nobody has answered. Others have been asked three times by then.
	aloneFailures = 3
	// opinionLife is how long another balancer's word counts: a few checks.
	opinionLife = time.Second
	// freshSign and freshSilence are the ages at which this balancer answers others
	// without a check: a cut shows within two checks.
	freshSign    = 100 * time.Millisecond
	freshSilence = 500 * time.Millisecond
	// opinionChecks bounds the checks made for others in a second, as each costs a
	// connection, and inquiriesMost what is asked of others at once.
	opinionChecks = 20
	inquiriesMost = 64
)

// Inquiry asks other balancers whether they reach a backend server.
type Inquiry struct {
	Tag    state.Tag
	Domain string
}

// Opinion is what a balancer tells others of backend servers.
type Opinion struct {
	Alive, Silent []state.Tag
}

// judge is what the balancer knows of itself.
type judge struct {
	lastTick  time.Time
	lateUntil time.Time
	// doubtful is set while servers of several failure domains are silent.
	doubtful bool
	// nearby is set when there are servers in the balancer's own failure domain.
	nearby    bool
	inquiries []Inquiry
	// checksLeft is what may still be checked for others until checksUntil.
	checksLeft  int
	checksUntil time.Time
}

// watchSelf notes whether the processor is late and how many servers are silent.
func (c *Core) watchSelf(now time.Time) {
	j := &c.judge
	if !j.lastTick.IsZero() && now.Sub(j.lastTick) > lateTick {
		j.lateUntil = now.Add(lateSpan)
		c.settings.Log.Info("tagged: processor was late, silent checks are doubted", "Gap", now.Sub(j.lastTick).String())
	}
	j.lastTick = now
	servers, domains := 0, make(map[string]bool)
	for _, t := range c.suspects {
		if now.Sub(t.silentAt) < doubtSpan && t.entry.Published() {
			servers++
			domains[t.entry.Domain] = true
		}
	}
	doubtful := servers >= doubtServers && len(domains) >= doubtDomains && (domains[c.settings.Domain] || !j.nearby)
	if doubtful != j.doubtful {
		j.doubtful = doubtful
		c.settings.Log.Info("tagged: this balancer may be the trouble", "Doubt", doubtful, "Silent", servers, "Domains", len(domains))
	}
}

// doubts reports whether a silent check of a server is not to be believed.
func (c *Core) doubts(t *target, now time.Time) bool {
	j := &c.judge
	switch {
	case now.Before(j.lateUntil), now.Sub(t.vouchedAt) < opinionLife:
		return true
	case c.peers == 0, now.Sub(t.confirmedAt) < opinionLife:
		// Nobody can be asked, or somebody has answered.
		return false
	}
	return j.doubtful || t.health.Failures() < aloneFailures
}

// inquire notes that others are to be asked about a server that was silent.
func (c *Core) inquire(t *target, now time.Time) {
	t.silentAt = now
	undecided := t.health.State() == health.Suspected || t.health.State() == health.Unreachable
	if undecided && len(c.judge.inquiries) < inquiriesMost {
		c.judge.inquiries = append(c.judge.inquiries, Inquiry{Tag: t.entry.Tag, Domain: t.entry.Domain})
	}
}

// TakeInquiries returns what others are to be asked, once.
func (c *Core) TakeInquiries() []Inquiry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	inquiries := c.judge.inquiries
	c.judge.inquiries = nil
	return inquiries
}

// TakeOpinion takes in what another balancer tells of servers.
func (c *Core) TakeOpinion(peer string, opinion Opinion, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, tag := range opinion.Alive {
		if t := c.byTag[tag]; t != nil {
			t.vouchedAt = now
			c.reachStale = true
			if t.health.Vouch() {
				c.Counters.Vouched.Add(1)
			}
			c.settings.Log.Info("tagged: backend server is reached elsewhere", "Backend", t.entry.Name, "Peer", peer, "SinceSign", sinceSign(t, now))
		}
	}
	for _, tag := range opinion.Silent {
		if t := c.byTag[tag]; t != nil {
			t.confirmedAt = now
		}
	}
}

// Opine answers another balancer from what is known, and returns the servers that have to
// be checked for it.
func (c *Core) Opine(tags []state.Tag, now time.Time) (Opinion, []Check) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var opinion Opinion
	var checks []Check
	j := &c.judge
	if !now.Before(j.checksUntil) {
		j.checksLeft, j.checksUntil = opinionChecks, now.Add(time.Second)
	}
	for _, tag := range tags {
		t := c.byTag[tag]
		switch {
		case t == nil:
		case now.Sub(t.health.LastSign()) < freshSign:
			opinion.Alive = append(opinion.Alive, tag)
		case t.dead() || now.Sub(t.silentAt) < freshSilence:
			opinion.Silent = append(opinion.Silent, tag)
		case j.checksLeft > 0:
			j.checksLeft--
			checks = append(checks, Check{Backend: t.entry.Name, Address: t.entry.Address, Tag: tag})
		}
	}
	return opinion, checks
}

// Observed takes in the outcome of a check that was made for another balancer, and returns
// what to tell it. While this balancer doubts itself it does not call a server silent.
func (c *Core) Observed(check Check, result health.Result, now time.Time) Opinion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result == health.Answered {
		return Opinion{Alive: []state.Tag{check.Tag}}
	}
	if result == health.Silent && now.Before(c.judge.lateUntil) {
		return Opinion{}
	}
	if t := c.targets[check.Backend]; t != nil && result == health.Silent {
		t.silentAt = now
	}
	return Opinion{Silent: []state.Tag{check.Tag}}
}
