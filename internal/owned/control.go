package owned

// Entry points of the control goroutine. Each collects what is to be sent in c.output,
// which takeOutput returns and clears.

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

// TickInterval is the interval at which Tick must be called.
const TickInterval = 50 * time.Millisecond

// gainUpdateInterval is how often the placement gain is adjusted to the control budget.
const gainUpdateInterval = time.Second

// Tick does all work that depends on time: failure detection, retries, replication,
// expiry and the control budget.
func (c *Core) Tick() Output {
	now := time.Now()
	c.members.Tick()
	c.updateReadiness()
	c.applyEvents()
	if c.viewChanged {
		c.publishView()
	}
	c.refreshLease()
	c.releaseLeaseQueue(now)
	c.refillBudget(now)
	c.sendCounts(now)
	c.updateGain(now)
	c.requestConfig(now)
	c.advanceClaim(now)
	c.reconcile(now)
	c.advanceSyncs(now)
	c.advanceRebases(now)
	c.sweep(now)
	c.flushRemovals(now)
	return c.takeOutput()
}

// HandleProbe processes a probe of another balancer. Probes of balancers that are not
// on the platform's list are counted as DroppedStranger.
func (c *Core) HandleProbe(probe *wire.Probe) Output {
	if !c.members.HandleProbe(probe) {
		c.Counters.DroppedStranger.Add(1)
		return c.takeOutput()
	}
	if probe.Kind == wire.ProbeKind_PROBE_KIND_COUNTS {
		c.handleCounts(probe)
	}
	for _, load := range probe.Loads {
		c.handleLoad(load)
	}
	c.applyEvents()
	c.refreshLease()
	return c.takeOutput()
}

// SetInstances replaces the list of balancers by a new one from the platform.
func (c *Core) SetInstances(list config.Instances) Output {
	c.members.SetInstances(list)
	c.publishView()
	return c.takeOutput()
}

// HandleEnvelope processes a message from the link to another balancer. Messages of
// unknown balancers are counted as DroppedStranger.
func (c *Core) HandleEnvelope(from flow.MemberKey, envelope *wire.Envelope) Output {
	if c.members.Peer(from) == nil {
		c.Counters.DroppedStranger.Add(1)
		return c.takeOutput()
	}
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Claim:
		c.handleClaim(from, body.Claim)
	case *wire.Envelope_ClaimReply:
		c.handleClaimReply(from, body.ClaimReply)
	case *wire.Envelope_Sync:
		c.handleSync(from, body.Sync)
	case *wire.Envelope_SyncAck:
		c.handleSyncAck(from, body.SyncAck)
	case *wire.Envelope_Rebase:
		c.handleRebase(from, body.Rebase)
	case *wire.Envelope_RebaseAck:
		c.handleRebaseAck(from, body.RebaseAck)
	case *wire.Envelope_Removal:
		c.handleRemoval(body.Removal)
	case *wire.Envelope_ConfigRequest:
		c.handleConfigRequest(from, body.ConfigRequest)
	case *wire.Envelope_ConfigReply:
		c.handleConfigReply(from, body.ConfigReply)
	default:
		c.Counters.DroppedMalform.Add(1)
	}
	return c.takeOutput()
}

// takeOutput decides for the released packets and returns the collected output, which
// it clears. It charges the probes to the control budget.
func (c *Core) takeOutput() Output {
	c.replayPackets()
	c.applyEvents()
	probes, _ := c.members.TakeOutput()
	c.output.Probes = append(c.output.Probes, probes...)
	for _, probe := range c.output.Probes {
		c.chargeBudget(proto.Size(probe.Probe) + 1 + wire.IPUDPHeaderBytes)
	}
	output := c.output
	c.output = Output{}
	return output
}

// sendEnvelope adds a message for another balancer to the output and charges it to the
// control budget.
func (c *Core) sendEnvelope(to flow.MemberKey, body *wire.Envelope) {
	peer := c.members.Peer(to)
	if peer == nil {
		return
	}
	c.chargeBudget(proto.Size(body))
	c.output.Envelopes = append(c.output.Envelopes, Envelope{To: to, Address: peer.Instance.Address, Body: body})
}

// nextID returns a new ID for a claim, sync or rebase. IDs start at the current time, so
// that no earlier incarnation of this process has used them.
func (c *Core) nextID() uint64 {
	c.lastID = max(c.lastID+1, uint64(time.Now().UnixNano()))
	return c.lastID
}

// applyEvents handles the pending events of the membership.
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
		c.log.Info("member: process was paused; all slots are released because the view may be outdated")
		c.releaseAllSlots(false)
	case member.DeclaredDead:
		c.log.Info("member: other balancers declared this one dead; all slots are released and claimed again")
		c.releaseAllSlots(true)
	case member.ViewChanged:
		// Changes come in groups. The next tick publishes one view for all of them.
		c.viewChanged = true
	}
}

// updateGain adjusts the placement gain to the control traffic since the last update.
// The removal of an exception is charged when the exception is placed, not when the
// removal is sent.
func (c *Core) updateGain(now time.Time) {
	if now.Sub(c.lastGainUpdateAt) < gainUpdateInterval {
		return
	}
	total := c.Counters.ControlBytes.Load() - c.removalBytes
	exceptions := c.Counters.Exceptions.Load()
	spent := float64(total-c.controlBytesAtGainUpdate) + float64(exceptions-c.exceptionsAtGainUpdate)*removalBytesPerFlow*ring.ReplicaCount
	seconds := now.Sub(c.lastGainUpdateAt).Seconds()
	c.placer.AdjustGain(spent/seconds, float64(c.settings.ControlBytesPerSecond), c.maxPeerCountsAge())
	c.controlBytesAtGainUpdate = total
	c.exceptionsAtGainUpdate = exceptions
	c.lastGainUpdateAt = now
}

// sortedKeys returns the keys of a map in ascending order, so that runs with the same
// seed do the same.
func sortedKeys[Value any](values map[flow.MemberKey]Value) []flow.MemberKey {
	keys := make([]flow.MemberKey, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
