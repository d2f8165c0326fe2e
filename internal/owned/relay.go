package owned

// Configuration: it is put in force here and relayed between balancers as
// differences from a version that both remember.

import (
	"fmt"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// SetBundle takes a configuration from the platform or another balancer. An older
// version than the one in force is ignored; one with problems is refused.
func (c *Core) SetBundle(bundle config.Bundle, source string) (Output, error) {
	before := c.Compiled()
	if before != nil && bundle.Index.Version <= before.Version {
		return c.finish(), nil
	}
	compiled, err := config.Compile(bundle, c.settings.Self.Fabric, before)
	if err != nil {
		c.Counters.ConfigRejected.Add(1)
		c.log.Info("config: configuration rejected", "ConfigVersion", bundle.Index.Version, "Source", source, "Problems", err.Error())
		return c.finish(), fmt.Errorf("owned: take configuration %d from %s: %w", bundle.Index.Version, source, err)
	}
	c.putInForce(before, compiled)
	c.log.Info("config: configuration in force", "ConfigVersion", compiled.Version, "Source", source)
	return c.finish(), nil
}

// putInForce keeps the defaults of unrecorded flows where they were, and only
// then lets the traffic goroutines see the new configuration.
func (c *Core) putInForce(before, after *config.Compiled) {
	if before != nil {
		c.keepBases(before, after)
	}
	c.placer.SetConfig(after, before == nil)
	c.history = append(c.history, after)
	if len(c.history) > historyLength {
		c.history = c.history[1:]
	}
	v := *c.view.Load()
	v.config = after
	c.view.Store(&v)
	c.members.SetVersion(after.Version)
	c.members.ProbeOutdated()
}

func (c *Core) keepBases(before, after *config.Compiled) {
	for _, service := range after.Services {
		old := before.ByKey(service.Key)
		if old == nil || old.Defaults == service.Defaults {
			continue
		}
		for index := range c.slots {
			s := &c.slots[index]
			s.mutex.Lock()
			if s.coverage() != wire.Coverage_COVERAGE_NONE || s.claiming {
				s.setBase(service, flow.Slot(index), s.base(old, flow.Slot(index)))
			}
			s.mutex.Unlock()
		}
	}
}

// compiledAt returns a configuration of the recent past, nil if it is not held.
func (c *Core) compiledAt(version config.Version) *config.Compiled {
	for _, compiled := range c.history {
		if compiled.Version == version {
			return compiled
		}
	}
	return nil
}

// newestPeer returns the reachable balancer with the newest configuration.
func (c *Core) newestPeer() (flow.MemberKey, config.Version) {
	var newest flow.MemberKey
	var version config.Version
	for _, known := range c.members.Peers() {
		if known.Reachable() && known.Version > version {
			newest, version = known.Key, known.Version
		}
	}
	return newest, version
}

// askForConfig fetches a newer configuration from a balancer that has it.
func (c *Core) askForConfig(now time.Time) {
	compiled := c.Compiled()
	peer, version := c.newestPeer()
	if compiled != nil && version <= compiled.Version || version == 0 || now.Before(c.nextConfigAsk) {
		return
	}
	c.nextConfigAsk = now.Add(configRetry)
	request := &wire.ConfigRequest{}
	if compiled != nil {
		request.Version = uint64(compiled.Version)
	}
	c.post(peer, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: request}})
}

// answerConfig sends what has changed since the other's configuration, or all of
// it to a balancer whose configuration is not remembered here.
func (c *Core) answerConfig(from flow.MemberKey, request *wire.ConfigRequest) {
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
	c.post(from, &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: reply}})
}

func valueToWire(value config.Value) *wire.Value {
	return &wire.Value{Name: string(value.Name), Version: uint64(value.Version), Data: value.Data}
}

func valueFromWire(value *wire.Value) config.Value {
	return config.Value{Name: config.ValueName(value.Name), Version: config.Version(value.Version), Data: value.Data}
}

// takeConfig applies another balancer's changes to the configuration in force.
func (c *Core) takeConfig(from flow.MemberKey, reply *wire.ConfigReply) {
	var earlier config.Bundle
	compiled := c.Compiled()
	if reply.Base != 0 {
		if compiled == nil || uint64(compiled.Version) != reply.Base {
			// Another change has come first; the next request names its version.
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
		c.log.Info("config: relay failed", "Peer", name, "Problems", err.Error())
		return
	}
	// A refusal is logged and counted where it is found.
	output, _ := c.SetBundle(bundle, "peer "+name)
	c.output.merge(output)
}
