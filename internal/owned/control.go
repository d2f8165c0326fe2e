package owned

// The control goroutine's entry points. Each gathers what is to be sent in an
// Output, which finish returns.

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/member"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// TickPeriod is how often Tick is to be called.
const TickPeriod = 50 * time.Millisecond

// adaptPeriod is how often the placement threshold follows the budget.
const adaptPeriod = time.Second

// Tick advances everything that depends on time.
func (c *Core) Tick() Output {
	now := time.Now()
	c.members.Tick()
	c.offer()
	c.applyEvents()
	if c.viewChanged {
		c.publishView()
	}
	c.refreshLease()
	c.releaseKept(now)
	c.refill(now)
	c.tellCounts(now)
	c.adaptGain(now)
	c.askForConfig(now)
	c.driveClaim(now)
	c.review(now)
	c.driveSyncs(now)
	c.driveRebases(now)
	c.sweep(now)
	c.flushRemovals(now)
	return c.finish()
}

// Probe takes a probe of another balancer.
func (c *Core) Probe(probe *wire.Probe) Output {
	if !c.members.HandleProbe(probe) {
		c.Counters.DroppedStranger.Add(1)
		return c.finish()
	}
	if probe.Kind == wire.ProbeKind_PROBE_KIND_COUNTS {
		c.takeCounts(probe)
	}
	for _, load := range probe.Loads {
		c.heardLoad(load)
	}
	c.applyEvents()
	c.refreshLease()
	return c.finish()
}

// SetInstances takes the platform's list of balancers.
func (c *Core) SetInstances(list config.Instances) Output {
	c.members.SetInstances(list)
	c.publishView()
	return c.finish()
}

// Envelope takes a message from another balancer's link.
func (c *Core) Envelope(from flow.MemberKey, envelope *wire.Envelope) Output {
	if c.members.Peer(from) == nil {
		c.Counters.DroppedStranger.Add(1)
		return c.finish()
	}
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Claim:
		c.answerClaim(from, body.Claim)
	case *wire.Envelope_ClaimReply:
		c.takeReply(from, body.ClaimReply)
	case *wire.Envelope_Sync:
		c.takeSync(from, body.Sync)
	case *wire.Envelope_SyncAck:
		c.takeSyncAck(from, body.SyncAck)
	case *wire.Envelope_Rebase:
		c.takeRebase(from, body.Rebase)
	case *wire.Envelope_RebaseAck:
		c.takeRebaseAck(from, body.RebaseAck)
	case *wire.Envelope_Removal:
		c.takeRemoval(body.Removal)
	case *wire.Envelope_ConfigRequest:
		c.answerConfig(from, body.ConfigRequest)
	case *wire.Envelope_ConfigReply:
		c.takeConfig(from, body.ConfigReply)
	default:
		c.Counters.DroppedMalform.Add(1)
	}
	return c.finish()
}

// finish returns the output gathered so far.
func (c *Core) finish() Output {
	c.replay()
	c.applyEvents()
	probes, _ := c.members.TakeOutput()
	c.output.Probes = append(c.output.Probes, probes...)
	for _, message := range c.output.Probes {
		c.spend(proto.Size(message.Probe) + 1 + wire.IPUDPHeaderBytes)
	}
	output := c.output
	c.output = Output{}
	return output
}

// post queues a message for another balancer's link.
func (c *Core) post(to flow.MemberKey, body *wire.Envelope) {
	known := c.members.Peer(to)
	if known == nil {
		return
	}
	c.spend(proto.Size(body))
	c.output.Envelopes = append(c.output.Envelopes, Envelope{To: to, Address: known.Instance.Address, Body: body})
}

// nextID returns an id for a claim, sync or rebase that no earlier incarnation of
// this process has used.
func (c *Core) nextID() uint64 {
	c.lastID = max(c.lastID+1, uint64(time.Now().UnixNano()))
	return c.lastID
}

// applyEvents acts on what the membership found out.
func (c *Core) applyEvents() {
	probes, events := c.members.TakeOutput()
	c.output.Probes = append(c.output.Probes, probes...)
	for _, event := range events {
		c.handleEvent(event)
	}
}

func (c *Core) handleEvent(event member.Event) {
	switch event {
	case member.Resumed:
		c.Counters.Wakes.Add(1)
		c.log.Info("member: process was paused, its view is not believed")
		c.demote(false)
	case member.DeclaredDead:
		c.log.Info("member: others declared this balancer dead, its slots are claimed again")
		c.demote(true)
	case member.ViewChanged:
		// Several changes come together, and the next tick is soon.
		c.viewChanged = true
	}
}

// adaptGain lets the placement's gain follow the control traffic. An exception is
// charged with its removal, which it causes but which comes later.
func (c *Core) adaptGain(now time.Time) {
	if now.Sub(c.lastAdapt) < adaptPeriod {
		return
	}
	total := c.Counters.ControlBytes.Load() - c.removalBytes
	exceptions := c.Counters.Exceptions.Load()
	spent := float64(total-c.spentAtAdapt) + float64(exceptions-c.exceptionsAtAdapt)*removalFlowBytes*ring.ReplicaCount
	seconds := now.Sub(c.lastAdapt).Seconds()
	c.placer.AdjustGain(spent/seconds, float64(c.settings.ControlBytesPerSecond), c.countsAge())
	c.spentAtAdapt = total
	c.exceptionsAtAdapt = exceptions
	c.lastAdapt = now
}

// sortedKeys returns a map's balancers in an order that does not vary.
func sortedKeys[Value any](values map[flow.MemberKey]Value) []flow.MemberKey {
	keys := make([]flow.MemberKey, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
