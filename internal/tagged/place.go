package tagged

// First packets: the only ones for which a choice is made.
//
// A copy of a first packet goes to the same server unless that is suspected by then:
// if both had answered, the caller would open the flow with one and repeat the tag of
// the other. The second copy goes elsewhere in any case, as a server that was sent two
// and answered none does not answer.

import (
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/policy"
	"wigeonmoor.example/internal/state"
)

// remoteBytes is the size of what a caller sends at which crossing failure domains
// costs as much as one request in progress.
const remoteBytes = 10_000

// remoteLeast is what crossing failure domains costs at least, in requests in
// progress: a few milliseconds against tens.
const remoteLeast = 0.6

// offeredMost bounds the servers that are looked at for a flow. The load of so many, drawn
// by chance, says how full a larger service is.
const offeredMost = 256

// first decides for a first packet.
func (c *Core) first(p *Packet, now time.Time) Verdict {
	if now.Before(c.holdUntil) {
		c.Counters.DroppedHeld.Add(1)
		return Verdict{Action: Drop}
	}
	route := c.table.Route(p.Key.Listen)
	if route == nil {
		return c.refuseRoute(p, now)
	}
	r := c.flows.get(p.Key)
	if r != nil && (r.opened || r.closed) && p.Copy == 0 {
		// The caller uses the port again.
		c.forget(r)
		r = nil
	}
	if r != nil {
		return c.repeated(p, r, route, now)
	}
	t := c.choose(route, nil, now)
	if t == nil {
		return c.refuseServers(p, route)
	}
	pressure := c.pressure()
	if admission := policy.Admit(pressure, route.Timeout, p.Copy, c.settings.Rand.Float64()); admission != policy.Place {
		return c.putOff(p, route, pressure, admission)
	}
	c.Counters.Placed.Add(1)
	c.logFlow("tagged: flow placed", p.Key, t, "first packet")
	c.record(p, route, t, now)
	return c.forward(t)
}

// putOff does not place a flow now, as the servers are full.
func (c *Core) putOff(p *Packet, route *state.Route, pressure policy.Load, admission policy.Admission) Verdict {
	if log := c.settings.Decisions; log.Enabled() {
		log.Info("tagged: flow put off", "Flow", p.Key.String(), "Route", route.Name, "Admission", admission, "Reason", "servers are full",
			"Busy", pressure.InFlight, "Slots", pressure.Slots, "Copy", p.Copy, "Revision", c.table.Revision)
	}
	if admission == policy.Refuse {
		c.Counters.RefusedBusy.Add(1)
		return Verdict{Action: Refuse}
	}
	c.Counters.DroppedBusy.Add(1)
	return Verdict{Action: Drop}
}

// repeated decides for a copy of a first packet.
func (c *Core) repeated(p *Packet, r *record, route *state.Route, now time.Time) Verdict {
	unanswered := !r.opened && (p.Copy >= 2 || r.target.dead() || r.target.health.State() != health.Alive)
	if !unanswered || r.moved {
		return c.forward(r.target)
	}
	t := c.choose(route, r.target, now)
	if t == nil || t == r.target {
		return c.forward(r.target)
	}
	c.Counters.PlacedAgain.Add(1)
	c.logFlow("tagged: flow placed again", p.Key, t, "first packet was not answered by "+r.target.entry.Name)
	c.move(r, t, now)
	return c.forward(t)
}

func (c *Core) refuseRoute(p *Packet, now time.Time) Verdict {
	if now.Sub(c.confirmed) > freshSpan {
		c.Counters.DroppedStaleRoute.Add(1)
		return Verdict{Action: Drop}
	}
	c.Counters.RefusedRoute.Add(1)
	c.logFlow("tagged: flow refused", p.Key, nil, "no such route")
	return Verdict{Action: Refuse}
}

func (c *Core) refuseServers(p *Packet, route *state.Route) Verdict {
	c.Counters.RefusedServers.Add(1)
	c.logFlow("tagged: flow refused", p.Key, nil, "no backend server for route "+route.Name)
	return Verdict{Action: Refuse}
}

// choose returns the server for a new flow of a route, or nil.
func (c *Core) choose(route *state.Route, except *target, now time.Time) *target {
	service := c.pickService(route)
	c.options, c.choices = c.options[:0], c.choices[:0]
	placeable := c.candidates(service)
	first, count := 0, len(placeable)
	if count > offeredMost {
		first, count = c.settings.Rand.IntN(count), offeredMost
	}
	for index := range count {
		if t := placeable[(first+index)%len(placeable)]; t != except && !t.dead() {
			c.offer(t, now)
		}
	}
	if len(c.options) == 0 {
		c.offerReturning(c.table.Service(service), except, now)
	}
	flow := policy.Flow{InFlightPerOpenFlow: c.openShare, RemoteCost: c.remoteCost(route)}
	if class := c.classes[route.Listen]; class != nil {
		flow.MeanRequestTime = class.answer
	}
	index, ok := 0, false
	if c.settings.Policy != nil {
		index, ok = policy.Choose(c.settings.Policy, c.choices, flow, c.settings.Rand)
	} else {
		index, ok = c.filler.Choose(c.choices, flow, c.settings.Rand)
	}
	if !ok {
		return nil
	}
	return c.options[index]
}

// pressure sums up the candidates of the last choice.
func (c *Core) pressure() policy.Load {
	var sum policy.Load
	for index := range c.choices {
		sum.Slots += c.choices[index].Slots
		sum.InFlight += c.choices[index].InFlight
	}
	return sum
}

// offerReturning offers servers whose entries have just lapsed. It is the last
// resort when a service has no published server.
func (c *Core) offerReturning(entries []*state.Entry, except *target, now time.Time) {
	for _, entry := range entries {
		t := c.targets[entry.Name]
		lapsed := !entry.Published() && now.Sub(entry.RemovedAt) < returnSpan
		if lapsed && t != except && entry.Standing == state.Serving && !entry.Shadowed && !t.dead() {
			c.offer(t, now)
		}
	}
}

// offer makes a server a candidate.
func (c *Core) offer(t *target, now time.Time) {
	slots := float64(max(t.entry.Slots, 1))
	if now.Before(t.entry.ColdUntil) {
		slots /= coldFactor
	}
	c.options = append(c.options, t)
	c.choices = append(c.choices, policy.Candidate{
		Slots:          slots,
		InFlight:       float64(t.busy + t.peerBusy),
		OthersInFlight: float64(t.peerBusy),
		OthersAge:      t.group.age(now),
		OpenFlows:      float64(t.open + t.peerOpen),
		Remote:         t.entry.Domain != c.settings.Domain,
		Suspected:      t.health.State() != health.Alive,
	})
}

// pickService draws one of a route's services by weight.
func (c *Core) pickService(route *state.Route) string {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := c.settings.Rand.IntN(total)
	for _, share := range route.Shares {
		if drawn -= share.Weight; drawn < 0 {
			return share.Service
		}
	}
	return ""
}

// remoteCost returns what crossing failure domains costs a route's flows.
func (c *Core) remoteCost(route *state.Route) float64 {
	known := c.classes[route.Listen]
	if known == nil {
		return remoteLeast
	}
	return max(remoteLeast, known.bytes/remoteBytes)
}
