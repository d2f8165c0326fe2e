package tagged

// This file places flows. A backend server is chosen only for first packets.
//
// The first retransmission of a first packet goes to the same server unless the server
// is suspected by then: if two servers answered, the caller would open the flow with
// one and repeat the tag of the other. The second retransmission goes to another server
// in any case, because the first server has answered neither of two packets.

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/policy"
	"wigeonmoor.example/internal/state"
)

// bytesPerRemoteRequest is the number of bytes sent by a caller for which crossing
// failure domains costs as much as one in-flight request.
const bytesPerRemoteRequest = 10_000

// minRemoteCost is the minimum cost of crossing failure domains, in in-flight requests:
// crossing adds a few milliseconds of latency, an in-flight request tens of milliseconds.
const minRemoteCost = 0.6

// maxCandidates is the maximum number of servers that the policy chooses from for one
// flow. In a larger service, the candidates are this many servers from a random position
// on; their load shows how full the service is.
const maxCandidates = 256

// handleFirstPacket decides on a first packet.
func (c *Core) handleFirstPacket(p *Packet, now time.Time) Verdict {
	if now.Before(c.holdUntil) {
		c.Counters.DroppedHeld.Add(1)
		return Verdict{Action: Drop}
	}
	route := c.table.Route(p.Key.Listen)
	if route == nil {
		return c.refuseRoute(p, now)
	}
	r := c.flows.get(p.Key)
	if r != nil && (r.opened || r.closed) && p.Retransmits == 0 {
		// The caller has reused the port for a new flow.
		c.removeFlow(r)
		r = nil
	}
	if r != nil {
		return c.handleRetransmit(p, r, route, now)
	}
	t := c.chooseTarget(route, nil, now)
	if t == nil && c.limitReached {
		return c.rejectLimited(p, route)
	}
	if t == nil {
		return c.refuseServers(p, route)
	}
	pressure := c.pressure()
	if admission := policy.Admit(pressure, route.Timeout, p.Retransmits, c.config.Rand.Float64()); admission != policy.Place {
		return c.rejectOverload(p, route, pressure, admission)
	}
	c.Counters.Placed.Add(1)
	c.logFlow("tagged: flow placed", p.Key, t, "first packet")
	c.countPlacement(t, now)
	c.addRecord(p, route, t, now)
	return c.forward(t)
}

// rejectOverload handles a flow that is not placed because the servers are full. It
// drops the packet, so that the caller retransmits it, or refuses the flow.
func (c *Core) rejectOverload(p *Packet, route *state.Route, pressure policy.Load, admission policy.Admission) Verdict {
	if log := c.config.DecisionLog; log.Enabled() {
		log.Info("tagged: flow put off", "Flow", p.Key.String(), "Route", route.Name, "Admission", admission, "Reason", "servers are full",
			"Busy", pressure.InFlight, "Slots", pressure.Slots, "Copy", p.Retransmits, "Revision", c.table.Revision.Counter())
	}
	if admission == policy.Refuse {
		c.Counters.RefusedBusy.Add(1)
		return Verdict{Action: Refuse}
	}
	c.Counters.DroppedBusy.Add(1)
	return Verdict{Action: Drop}
}

// rejectLimited handles a flow for which no server is left within its rate limit. The caller's
// retransmission may find one; after the last one the flow is refused.
func (c *Core) rejectLimited(p *Packet, route *state.Route) Verdict {
	if p.Retransmits < maxFirstRetransmits {
		c.Counters.DroppedLimited.Add(1)
		return Verdict{Action: Drop}
	}
	c.Counters.RefusedLimited.Add(1)
	c.logFlow("tagged: flow refused", p.Key, nil, "rate limits of all cold servers are reached for route "+route.Name)
	return Verdict{Action: Refuse}
}

// maxFirstRetransmits is the number of times that a caller retransmits a first packet.
const maxFirstRetransmits = 2

// handleRetransmit decides on a retransmitted first packet.
func (c *Core) handleRetransmit(p *Packet, r *record, route *state.Route, now time.Time) Verdict {
	if !r.opened && r.target.evacuated {
		return c.leaveEvacuated(p, r, route, now)
	}
	unanswered := !r.opened && (p.Retransmits >= maxFirstRetransmits || r.target.dead() || r.target.health.State() != health.Alive)
	if !unanswered || r.reassigned {
		return c.forward(r.target)
	}
	t := c.chooseTarget(route, r.target, now)
	if t == nil || t == r.target {
		return c.forward(r.target)
	}
	c.Counters.PlacedAgain.Add(1)
	c.logFlow("tagged: flow placed again", p.Key, t, "first packet was not answered by "+r.target.entry.Name)
	c.reassign(r, t, now)
	return c.forward(t)
}

// leaveEvacuated places a flow that has not opened on a server outside of the evacuated domain. If
// there is none, the packet is dropped rather than refused, because the flow may just have opened.
func (c *Core) leaveEvacuated(p *Packet, r *record, route *state.Route, now time.Time) Verdict {
	t := c.chooseTarget(route, r.target, now)
	if t == nil {
		return Verdict{Action: Drop}
	}
	c.Counters.PlacedAgain.Add(1)
	c.logFlow("tagged: flow placed again", p.Key, t, "failure domain of "+r.target.entry.Name+" is evacuated")
	c.reassign(r, t, now)
	return c.forward(t)
}

// refuseRoute refuses a flow that no route matches. It drops the packet instead if
// the table may be out of date.
func (c *Core) refuseRoute(p *Packet, now time.Time) Verdict {
	if now.Sub(c.tableConfirmedAt) > maxRefusalTableAge {
		c.Counters.DroppedStaleRoute.Add(1)
		return Verdict{Action: Drop}
	}
	c.Counters.RefusedRoute.Add(1)
	c.logFlow("tagged: flow refused", p.Key, nil, "no such route")
	return Verdict{Action: Refuse}
}

// refuseServers refuses a flow whose route has no backend server.
func (c *Core) refuseServers(p *Packet, route *state.Route) Verdict {
	c.Counters.RefusedServers.Add(1)
	c.logFlow("tagged: flow refused", p.Key, nil, "no backend server for route "+route.Name)
	return Verdict{Action: Refuse}
}

// chooseTarget returns the server for a new flow of a route, or nil if there is none.
// It never returns excluded.
func (c *Core) chooseTarget(route *state.Route, excluded *target, now time.Time) *target {
	service := c.drawService(route)
	c.candidateTargets, c.policyCandidates = c.candidateTargets[:0], c.policyCandidates[:0]
	eligible := c.targetsForService(service, now)
	c.limitReached = false
	first, count := 0, len(eligible)
	if count > maxCandidates {
		first, count = c.config.Rand.IntN(count), maxCandidates
	}
	for index := range count {
		t := eligible[(first+index)%len(eligible)]
		switch {
		case t == excluded || t.dead():
		case !c.mayPlace(t, now):
			c.limitReached = true
		default:
			c.addCandidate(t, now)
		}
	}
	c.addEvacuatedCandidates(service, excluded, now)
	if len(c.candidateTargets) == 0 && !c.limitReached {
		c.addLapsedCandidates(c.table.Service(service), excluded, now)
	}
	flow := policy.Flow{InFlightPerOpenFlow: c.inFlightPerOpenFlow, RemoteCost: c.remoteCost(route)}
	if stats := c.routeStats[route.Listen]; stats != nil {
		flow.MeanRequestTime = stats.meanAnswerTime
	}
	index, ok := 0, false
	if c.config.Policy != nil {
		index, ok = policy.Choose(c.config.Policy, c.policyCandidates, flow, c.config.Rand)
	} else {
		index, ok = c.defaultPolicy.Choose(c.policyCandidates, flow, c.config.Rand)
	}
	if !ok {
		return nil
	}
	return c.candidateTargets[index]
}

// pressure returns the total load of the candidates of the last chooseTarget call.
func (c *Core) pressure() policy.Load {
	var sum policy.Load
	for index := range c.policyCandidates {
		sum.Slots += c.policyCandidates[index].Slots
		sum.InFlight += c.policyCandidates[index].InFlight
	}
	return sum
}

// addLapsedCandidates adds servers whose entries have expired within lapsedServerTTL.
// They are used only if the service has no other server.
func (c *Core) addLapsedCandidates(entries []*state.Entry, excluded *target, now time.Time) {
	for _, entry := range entries {
		t := c.byName[entry.Name]
		lapsed := !entry.Published() && now.Sub(entry.RemovedAt) < lapsedServerTTL
		if lapsed && t != excluded && !t.evacuated && entry.State == state.Serving && !entry.Shadowed && !t.dead() {
			c.addCandidate(t, now)
		}
	}
}

// addCandidate adds a server to the candidates for a new flow.
func (c *Core) addCandidate(t *target, now time.Time) {
	slots := float64(max(t.entry.Slots, 1))
	if now.Before(t.entry.ColdUntil) {
		slots /= coldStartSlowdown
	}
	inFlight, othersInFlight := float64(t.inFlight), float64(t.peerInFlight)
	if c.config.LearnServers {
		slots /= t.slowness()
		inFlight, othersInFlight = t.learned.work, t.learned.peerWork
	}
	c.candidateTargets = append(c.candidateTargets, t)
	c.policyCandidates = append(c.policyCandidates, policy.Candidate{
		Slots:          slots,
		InFlight:       inFlight + othersInFlight,
		OthersInFlight: othersInFlight,
		OthersAge:      t.group.peerLoadAge(now),
		OpenFlows:      float64(t.openFlows + t.peerOpenFlows),
		Remote:         t.entry.Domain != c.config.Domain,
		Suspected:      t.health.State() != health.Alive || t.ejected(now),
	})
}

// drawService returns one of the route's services, drawn at random by weight, or ""
// if the route has none.
func (c *Core) drawService(route *state.Route) string {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := c.config.Rand.IntN(total)
	for _, share := range route.Shares {
		if drawn -= share.Weight; drawn < 0 {
			return share.Service
		}
	}
	return ""
}

// remoteCost returns the cost of crossing failure domains for a flow of the route, in
// in-flight requests.
func (c *Core) remoteCost(route *state.Route) float64 {
	stats := c.routeStats[route.Listen]
	if stats == nil {
		return minRemoteCost
	}
	return max(minRemoteCost, stats.meanBytes/bytesPerRemoteRequest)
}
