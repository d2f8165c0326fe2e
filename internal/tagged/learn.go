package tagged

// What this balancer learns from the answers to requests, if Config.LearnServers is set: how long
// the requests of each route take (package cost), how fast each server is, and whether it serves
// (package eject).
//
// Callers acknowledge every answer, so the time from a request to the first acknowledgment of new
// data is that of the answer. A request that is not acknowledged long after nearly all others of
// its route would have been is a bad outcome: the server has lost it or hangs, although it may accept
// connections. So is an answer that is far shorter than usual, which is an error. Outcomes are not counted while this balancer may be at fault itself.
//
// The load of a server is the work that it still has to do, in mean requests of its service: each
// request in progress counts with the time that it is expected to take from now on. Slots of a slow
// server count less, in proportion to its speed. Ejected servers get no new flows while others are
// left; open flows on them go on.
//
// State is per server and fades within seconds, so that a restart loses little. The load reports to
// collectors carry the sums, and their answers those of all other balancers. Without an answer a
// balancer decides by its own evidence.

import (
	"math"
	"time"

	"wigeonmoor.example/internal/cost"
	"wigeonmoor.example/internal/eject"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tally"
)

const (
	// A request counts as lost after lostQuantileMultiple times the time in which lostQuantile of
	// its route's requests are answered, and between minLostTime and maxLostTime. A fresh server is
	// 1.6 times as slow, and requests wait in queues at times.
	lostQuantile         = 0.98
	lostQuantileMultiple = 3
	minLostTime          = 300 * time.Millisecond
	maxLostTime          = 2 * time.Second
	// minObservations is the number of answers from which on a route's distribution is used.
	minObservations = 30
	// fadeInterval is the interval at which old outcomes and times lose weight, by the factors
	// evidenceFade and speedFade. Half of their weight is lost after 1.0 and 4.8 s.
	fadeInterval = 500 * time.Millisecond
	evidenceFade = 0.7
	speedFade    = 0.93
	// decideInterval is the time between two decisions on ejections.
	decideInterval = 200 * time.Millisecond
	// smallAnswerBytes is the size up to which an answer fits one packet. Callers acknowledge
	// such an answer after a delay, others at once.
	smallAnswerBytes = 1200
	// maxRequestWeight limits the work of one request, in mean requests of its service.
	maxRequestWeight = 10
)

// answerClass is a set of answers whose times are comparable.
type answerClass struct {
	listen state.Endpoint
	small  bool
}

// learned is what is known of how a server serves.
type learned struct {
	evidence, peerEvidence eject.Evidence
	speed, peerSpeed       cost.Sums
	// work is the expected work of this balancer's requests in progress, in mean requests of the
	// service, and peerWork that of all other balancers.
	work, peerWork float64
	ejection       eject.State
}

// learning is the state of what this balancer learns.
type learning struct {
	// answers has the times of answers, without those that are far shorter than usual.
	answers map[answerClass]*cost.Route
	// services has the work of the requests of each service.
	services map[string]*cost.Route
	// sizes has the sizes of each route's answers.
	sizes      map[state.Endpoint]*cost.Size
	nextFade   time.Time
	nextDecide time.Time
	servers    []eject.Server
}

func newLearning() learning {
	return learning{
		answers:  make(map[answerClass]*cost.Route),
		services: make(map[string]*cost.Route),
		sizes:    make(map[state.Endpoint]*cost.Size),
	}
}

// find returns the element of a map, which it adds if necessary.
func find[K comparable](routes map[K]*cost.Route, key K) *cost.Route {
	r := routes[key]
	if r == nil {
		r = &cost.Route{}
		routes[key] = r
	}
	return r
}

// learnAnswer records that the caller has acknowledged the first data of an answer.
func (c *Core) learnAnswer(r *record, acknowledgedBytes uint32, now time.Time) {
	if !r.awaited {
		return
	}
	r.awaited = false
	t := r.target
	sizes := c.learning.sizes[r.key.Listen]
	if sizes == nil {
		sizes = &cost.Size{}
		c.learning.sizes[r.key.Listen] = sizes
	}
	if sizes.Observe(acknowledgedBytes) {
		t.learned.evidence.Bad++
		return
	}
	answerTime := now.Sub(r.sentAt)
	answers := find(c.learning.answers, answerClass{r.key.Listen, acknowledgedBytes <= smallAnswerBytes})
	answers.Observe(answerTime)
	t.learned.evidence.Good++
	if answers.Count() < minObservations {
		return
	}
	took, expected := answers.Work(answerTime)
	t.learned.speed = t.learned.speed.Add(cost.Sums{Took: took, Expected: expected})
	find(c.learning.services, t.entry.Service).Observe(expected)
}

// learnLost records that a request was not answered in time.
func (c *Core) learnLost(r *record, now time.Time) {
	r.awaited = false
	if c.selfCheck.localFaultSuspected || now.Before(c.selfCheck.lateUntil) || now.Before(c.holdUntil) {
		return
	}
	r.target.learned.evidence.Bad++
}

// lostTime returns the time after which an unanswered request of a route counts as lost.
func (c *Core) lostTime(listen state.Endpoint) time.Duration {
	longest := time.Duration(0)
	for _, small := range []bool{false, true} {
		if answers := c.learning.answers[answerClass{listen, small}]; answers != nil && answers.Count() >= minObservations {
			longest = max(longest, lostQuantileMultiple*answers.Quantile(lostQuantile))
		}
	}
	if longest == 0 {
		return maxLostTime
	}
	return min(max(longest, minLostTime), maxLostTime)
}

// requestWeight returns the work that a request still is for its server after an age, in mean
// requests of the service.
func (c *Core) requestWeight(r *record, age time.Duration) float64 {
	service := c.learning.services[r.target.entry.Service]
	answers := c.learning.answers[answerClass{r.key.Listen, true}]
	if large := c.learning.answers[answerClass{r.key.Listen, false}]; answers == nil || large != nil && large.Count() > answers.Count() {
		answers = large
	}
	if service == nil || answers == nil || service.Count() < minObservations || answers.Count() < minObservations {
		return 1
	}
	// The floor is no work: callers acknowledge that much later than the server is done.
	floor := answers.Floor()
	remaining := answers.Remaining(age + floor)
	if age == 0 {
		remaining = answers.Mean() - floor
	}
	return min(max(float64(remaining)/float64(service.Mean()), 0), maxRequestWeight)
}

// startWork counts the work of a new request in progress.
func (c *Core) startWork(r *record) {
	if c.config.LearnServers {
		c.setWork(r, c.requestWeight(r, 0))
	}
}

// setWork sets the work that a flow's request in progress counts with.
func (c *Core) setWork(r *record, work float64) {
	r.target.learned.work += work - float64(r.work)
	r.work = float32(work)
}

// slowness returns how many times as long as usual a server takes.
func (t *target) slowness() float64 { return t.learned.speed.Add(t.learned.peerSpeed).Slowness() }

// ejected reports whether the server gets no new flows because it does not serve.
func (t *target) ejected(now time.Time) bool { return t.learned.ejection.Ejected(now) }

// learnOnTick lets old observations fade and decides on ejections.
func (c *Core) learnOnTick(now time.Time) {
	if !now.Before(c.learning.nextFade) {
		c.learning.nextFade = now.Add(fadeInterval)
		for _, t := range c.allTargets {
			t.learned.evidence = t.learned.evidence.Decay(evidenceFade)
			t.learned.speed = t.learned.speed.Decay(speedFade)
		}
	}
	if now.Before(c.learning.nextDecide) {
		return
	}
	c.learning.nextDecide = now.Add(decideInterval)
	for service, targets := range c.eligible {
		c.learning.servers = c.learning.servers[:0]
		for _, t := range targets {
			c.learning.servers = append(c.learning.servers, eject.Server{
				State: &t.learned.ejection, Evidence: t.learned.evidence.Add(t.learned.peerEvidence),
			})
		}
		for _, index := range eject.Decide(c.learning.servers, now) {
			evidence := c.learning.servers[index].Evidence
			c.Counters.Ejected.Add(1)
			c.config.Log.Info("tagged: backend server is ejected: too many of its requests fail", "Backend", targets[index].entry.Name, "Service", service,
				"Good", math.Round(evidence.Good), "Bad", math.Round(evidence.Bad), "Span", targets[index].learned.ejection.Span().String())
		}
	}
}

// addTo adds what is learned of a server to its load report.
func (l *learned) addTo(load *tally.Load) {
	load.Good, load.Bad = l.evidence.Good, l.evidence.Bad
	load.Took, load.Expected = l.speed.Took, l.speed.Expected
	load.Work = max(l.work, 0)
}

// setPeers sets what the other balancers have learned.
func (l *learned) setPeers(load tally.Load) {
	l.peerEvidence = eject.Evidence{Good: load.Good, Bad: load.Bad}
	l.peerSpeed = cost.Sums{Took: load.Took, Expected: load.Expected}
	l.peerWork = load.Work
}
