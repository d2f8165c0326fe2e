package owned

// Activation of configurations, and their relay between balancers. A relayed
// configuration is sent as the changes from a version that both balancers have.

import (
	"fmt"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// SetBundle activates a configuration from the platform or another balancer. A version
// that is not newer than the one in force is ignored. If the configuration is invalid,
// SetBundle keeps the one in force and returns an error that lists the problems.
func (c *Core) SetBundle(bundle config.Bundle, source string) (Output, error) {
	before := c.Compiled()
	if before != nil && bundle.Index.Version <= before.Version {
		return c.takeOutput(), nil
	}
	compiled, err := config.Compile(bundle, c.settings.Self.Fabric, before)
	if err != nil {
		c.Counters.ConfigRejected.Add(1)
		c.log.Info("config: invalid configuration rejected", "ConfigVersion", bundle.Index.Version, "Source", source, "Problems", err.Error())
		return c.takeOutput(), fmt.Errorf("owned: activate configuration %d from %s: %w", bundle.Index.Version, source, err)
	}
	c.activateConfig(before, compiled)
	c.log.Info("config: configuration in force", "ConfigVersion", compiled.Version, "Source", source)
	return c.takeOutput(), nil
}

// activateConfig puts a configuration in force. The bases are preserved before the traffic
// goroutines see the new configuration, so that flows without a record stay where they
// are.
func (c *Core) activateConfig(before, after *config.Compiled) {
	if before != nil {
		c.preserveBases(before, after)
	}
	c.placer.SetConfig(after, before == nil)
	c.configHistory = append(c.configHistory, after)
	if len(c.configHistory) > maxConfigHistory {
		c.configHistory = c.configHistory[1:]
	}
	v := *c.view.Load()
	v.config = after
	c.view.Store(&v)
	c.members.SetVersion(after.Version)
	c.members.ProbeOutdated()
}

// preserveBases keeps the base of each slot and service at the backend server that the
// previous configuration gives, in the slots that this balancer has records of.
func (c *Core) preserveBases(before, after *config.Compiled) {
	for _, service := range after.Services {
		old := before.ByKey(service.Key)
		if old == nil || old.Defaults == service.Defaults {
			continue
		}
		for index := range c.slots {
			s := &c.slots[index]
			s.mutex.Lock()
			if s.coverage() != wire.Coverage_COVERAGE_NONE || s.claiming {
				s.setBaseBackend(service, flow.Slot(index), s.baseBackend(old, flow.Slot(index)))
			}
			s.mutex.Unlock()
		}
	}
}

// compiledAt returns a recent configuration by its version, or nil if it is not in the
// history.
func (c *Core) compiledAt(version config.Version) *config.Compiled {
	for _, compiled := range c.configHistory {
		if compiled.Version == version {
			return compiled
		}
	}
	return nil
}

// peerWithNewestConfig returns the reachable balancer with the newest configuration
// and that configuration's version, or zeros if there is none.
func (c *Core) peerWithNewestConfig() (flow.MemberKey, config.Version) {
	var newest flow.MemberKey
	var version config.Version
	for _, peer := range c.members.Peers() {
		if peer.Reachable() && peer.Version > version {
			newest, version = peer.Key, peer.Version
		}
	}
	return newest, version
}

// requestConfig requests a newer configuration from a balancer that has one.
func (c *Core) requestConfig(now time.Time) {
	compiled := c.Compiled()
	peer, version := c.peerWithNewestConfig()
	if compiled != nil && version <= compiled.Version || version == 0 || now.Before(c.nextConfigRequestAt) {
		return
	}
	c.nextConfigRequestAt = now.Add(configRetryInterval)
	request := &wire.ConfigRequest{}
	if compiled != nil {
		request.Version = uint64(compiled.Version)
	}
	c.sendEnvelope(peer, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: request}})
}

// handleConfigRequest sends the changes since the requester's configuration, or the whole
// configuration if the requester's version is not in the history.
func (c *Core) handleConfigRequest(from flow.MemberKey, request *wire.ConfigRequest) {
	compiled := c.Compiled()
	if compiled == nil || uint64(compiled.Version) <= request.Version {
		return
	}
	reply := &wire.ConfigReply{Version: uint64(compiled.Version), HashSeed: uint64(compiled.HashSeed)}
	var earlier config.Bundle
	if base := c.compiledAt(config.Version(request.Version)); base != nil {
		earlier = base.Bundle
		reply.Base = request.Version
	}
	changes := compiled.Bundle.ChangesSince(earlier)
	for _, value := range changes.Changed {
		reply.Changed = append(reply.Changed, valueToWire(value))
	}
	for _, name := range changes.Removed {
		reply.Removed = append(reply.Removed, string(name))
	}
	c.sendEnvelope(from, &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: reply}})
}

func valueToWire(value config.Value) *wire.Value {
	return &wire.Value{Name: string(value.Name), Version: uint64(value.Version), Data: value.Data}
}

func valueFromWire(value *wire.Value) config.Value {
	return config.Value{Name: config.ValueName(value.Name), Version: config.Version(value.Version), Data: value.Data}
}

// handleConfigReply applies another balancer's changes to the configuration in force.
func (c *Core) handleConfigReply(from flow.MemberKey, reply *wire.ConfigReply) {
	var earlier config.Bundle
	compiled := c.Compiled()
	if reply.Base != 0 {
		if compiled == nil || uint64(compiled.Version) != reply.Base {
			// Another configuration was activated meanwhile. The next request names
			// its version.
			return
		}
		earlier = compiled.Bundle
	}
	var changes config.Changes
	for _, value := range reply.Changed {
		changes.Changed = append(changes.Changed, valueFromWire(value))
	}
	for _, name := range reply.Removed {
		changes.Removed = append(changes.Removed, config.ValueName(name))
	}
	name := c.members.Peer(from).Instance.Name
	bundle, err := earlier.WithChanges(changes, config.Version(reply.Version), flow.Seed(reply.HashSeed))
	if err != nil {
		c.log.Info("config: could not apply configuration changes from peer", "Peer", name, "Problems", err.Error())
		return
	}
	// SetBundle logs and counts an invalid configuration itself.
	output, _ := c.SetBundle(bundle, "peer "+name)
	c.output.merge(output)
}
