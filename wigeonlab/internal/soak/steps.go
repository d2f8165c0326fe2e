package soak

// Performs the steps of a plan, from outside the balancer processes.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"wigeonmoor.example/platform/stand"
	"wigeonmoor.example/wigeonlab/internal/proxy"
)

const (
	// drainDuration is how long a draining server keeps running: drainPropagationLimit and a
	// margin.
	drainDuration = 5 * time.Second
	// entryExpiryDelay is the time from a server's last heartbeat to the removal of its
	// entry: three heartbeat intervals.
	entryExpiryDelay = 2 * time.Second
	// linkDelay is added in each direction of a link with the style Delayed.
	// linkLossRate is the probability that a link with the style Lossy drops a datagram.
	linkDelay    = 200 * time.Millisecond
	linkLossRate = 0.2
	// slowLinkRate is the rate of a slow link in bytes per second. Gossip uses a third
	// of it.
	slowLinkRate = 40_000
	// slowStoreDelay is added in each direction between balancers and a slow store.
	slowStoreDelay = 250 * time.Millisecond
	// minCopyAge and maxCopyAge limit the age of the copy that a restored store continues
	// from. maxRewriteDelay is the time within which its writers write again what is lost.
	minCopyAge, maxCopyAge = 200 * time.Millisecond, 9 * time.Second
	maxRewriteDelay        = 2 * time.Second
	// killManyFraction is the fraction of the balancers that a KillMany step kills.
	killManyFraction = 0.6
	// grownRouteCount is the number of routes that a RouteGrowth step adds at once.
	grownRouteCount = 600
	// A RouteStorm step adds stormRouteCount routes, one every stormInterval.
	stormRouteCount = 8
	stormInterval   = 150 * time.Millisecond
)

// linkFault returns the fault that the step's style stands for.
func (s Step) linkFault() proxy.Fault {
	switch s.Style {
	case Silent:
		return proxy.Fault{BlockForward: true, BlockBack: true}
	case OneWay:
		return proxy.Fault{BlockForward: true}
	case AnswerLost:
		return proxy.Fault{BlockBack: true}
	case Lossy:
		return proxy.Fault{Loss: linkLossRate}
	case Reset:
		return proxy.Fault{Reset: true, BlockForward: true}
	}
	return proxy.Fault{Delay: linkDelay}
}

// runStep adds a step to the history, performs it, and returns when it is over. A step that
// needs a backend server is skipped if pickServer finds none.
func (e *environment) runStep(ctx context.Context, step Step) error {
	record := StepRecord{From: time.Now(), Description: step.String(), Planned: step.Kind.Planned()}
	var server *proxiedServer
	switch step.Kind {
	case ServerLink, ServerCrash, AddressReuse, ServerDrain, EntryLapse, ServerHang, ForeignEntry:
		if server = e.pickServer(step.Selector); server == nil {
			return nil
		}
		record.Server = server.name
	}
	var index int
	e.record(func(h *History) {
		h.Steps = append(h.Steps, record)
		index = len(h.Steps) - 1
	})
	defer e.record(func(h *History) { h.Steps[index].To = time.Now() })
	if server != nil {
		return e.runServerStep(ctx, step, server)
	}
	return e.runOtherStep(ctx, step)
}

// runServerStep performs a step that affects one backend server.
func (e *environment) runServerStep(ctx context.Context, step Step, server *proxiedServer) error {
	switch step.Kind {
	case ServerLink:
		fault := step.linkFault()
		// Balancers would treat a reset connection as proof that the server has ended,
		// but it is running.
		fault.Reset = false
		injectFault(ctx, step.Duration, fault, server.link.SetFault)
	case ServerCrash:
		e.crashAndUnpublish(ctx, server)
	case AddressReuse:
		e.crashAndUnpublish(ctx, server)
		pause(ctx, entryExpiryDelay)
		// By now the sockets of the old server's proxy are closed.
		_, err := e.addServer(e.context, serviceNames[(server.number+1)%len(serviceNames)], server.publishedAddress)
		return err
	case ServerDrain:
		if _, err := e.addServer(e.context, server.service, netip.AddrPort{}); err != nil {
			return err
		}
		e.publishServer(server, "draining")
		e.updateServer(server, func(r *ServerRecord) { r.DrainStarted = time.Now() })
		server.Drain()
		pause(ctx, drainDuration)
		e.store.Remove(server.StoreKey())
		e.crashServer(server)
	case EntryLapse:
		e.store.Remove(server.StoreKey())
		pause(ctx, step.Duration)
		e.publishServer(server, "ready")
	case ServerHang:
		server.SetHanging(true)
		pause(ctx, step.Duration)
		server.SetHanging(false)
	case ForeignEntry:
		e.store.Put(server.StoreKey(), server.ForeignEntry(server.service, serviceNames[(server.number+1)%len(serviceNames)], server.domain, step.Selector))
		pause(ctx, step.Duration) // until the server's next heartbeat
		e.publishServer(server, "ready")
	}
	return nil
}

// injectFault sets a fault and removes it after the duration.
func injectFault(ctx context.Context, duration time.Duration, fault proxy.Fault, set func(proxy.Fault)) {
	set(fault)
	pause(ctx, duration)
	set(proxy.Fault{})
}

// crashAndUnpublish stops a server abruptly and removes its entry from the store after
// entryExpiryDelay.
func (e *environment) crashAndUnpublish(ctx context.Context, s *proxiedServer) {
	e.crashServer(s)
	pause(ctx, entryExpiryDelay)
	e.store.Remove(s.StoreKey())
}

// crashServer stops a server and its proxy abruptly.
func (e *environment) crashServer(s *proxiedServer) {
	e.updateServer(s, func(r *ServerRecord) {
		r.Ended = time.Now()
		r.MisroutedPackets = s.MisroutedPackets.Load()
	})
	s.Close()
	s.streams.Close()
	s.stop()
}

// runOtherStep performs a step that affects balancers, their links, or the store.
func (e *environment) runOtherStep(ctx context.Context, step Step) error {
	b := e.balancers[int(step.Selector)%len(e.balancers)]
	switch step.Kind {
	case Kill, KillMany, KillAll:
		return e.killBalancers(ctx, step)
	case Freeze:
		b.freeze(ctx, step.Duration)
	case StoreLink:
		injectFault(ctx, step.Duration, step.linkFault(), b.storeLink.SetFault)
	case StoreDown:
		e.store.SetDown(true)
		pause(ctx, step.Duration)
		e.store.SetDown(false)
	case StoreRestore:
		e.restoreStore(ctx, step)
	case StoreSlow:
		injectFault(ctx, step.Duration, proxy.Fault{Delay: slowStoreDelay}, e.setStoreFault)
	case PeerLink:
		injectFault(ctx, step.Duration, step.linkFault(), b.peerLink.SetFault)
	case LinkRate:
		injectFault(ctx, step.Duration, proxy.Fault{Rate: slowLinkRate}, b.peerLink.SetFault)
	case DomainCut:
		partition := proxy.Fault{BlockForward: true, BlockBack: true}
		injectFault(ctx, step.Duration, partition, func(fault proxy.Fault) { e.setDomainFault(int(step.Selector)%domainCount, fault) })
	case Terminate:
		b.signalAndWait(syscall.SIGTERM)
		return b.start()
	case Roll:
		for offset := range 2 {
			next := e.balancers[(int(step.Selector)+offset)%len(e.balancers)]
			next.signalAndWait(syscall.SIGTERM)
			if err := next.start(); err != nil {
				return err
			}
			e.awaitReady(ctx)
		}
	case Reload:
		if err := b.writeSettings(1, 1+int(step.Selector)%len(e.balancers)); err != nil {
			return err
		}
		b.signal(syscall.SIGHUP)
	default:
		return e.runPlannedChange(ctx, step)
	}
	return nil
}

// runPlannedChange performs a step that adds a server or changes the routes.
func (e *environment) runPlannedChange(ctx context.Context, step Step) error {
	switch step.Kind {
	case Evacuate:
		e.evacuate(ctx, step)
	case ServerAdd:
		_, err := e.addServer(e.context, serviceNames[int(step.Selector)%len(serviceNames)], netip.AddrPort{})
		return err
	case RouteAdd:
		e.addRoute()
	case RouteDrop:
		// The first route of each service is kept.
		if published := e.publishedRoutes(); len(published) > len(serviceNames) {
			e.dropRoute(published[len(published)-1])
		}
	case RouteGrowth:
		e.addRoutes(grownRouteCount)
	case RouteStorm:
		for range stormRouteCount {
			e.addRoute()
			pause(ctx, stormInterval)
		}
	default:
		return fmt.Errorf("soak: unknown kind of step %q", step.Kind)
	}
	return nil
}

// evacuate evacuates a failure domain for the step's duration, unless another one is evacuated or
// the other domains have too few undisturbed servers.
func (e *environment) evacuate(ctx context.Context, step Step) {
	domain := domainName(int(step.Selector) % domainCount)
	if !e.beginEvacuation(domain) {
		return
	}
	key := stand.EvacuationKey(domain)
	e.store.Put(key, "{}")
	var index int
	e.record(func(h *History) {
		index = len(h.Evacuations)
		h.Evacuations = append(h.Evacuations, Evacuation{Domain: domain, From: time.Now()})
	})
	pause(ctx, step.Duration)
	e.record(func(h *History) { h.Evacuations[index].To = time.Now() })
	e.store.Remove(key)
	e.mutex.Lock()
	e.evacuated = ""
	e.mutex.Unlock()
}

// beginEvacuation marks a failure domain as evacuated if that is possible.
func (e *environment) beginEvacuation(domain string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	left := make(map[string]int)
	for _, s := range e.servers {
		if !s.disturbed && s.domain != domain {
			left[s.service]++
		}
	}
	for _, service := range serviceNames {
		if left[service] < 2 {
			return false
		}
	}
	if e.evacuated != "" {
		return false
	}
	e.evacuated = domain
	return true
}

// restoreStore makes the store unavailable for the step's duration and replaces its state by an
// older copy. The operators and the running servers then write again what is lost; lost removals
// of servers are repeated when their entries expire.
func (e *environment) restoreStore(ctx context.Context, step Step) {
	random := rand.New(rand.NewPCG(uint64(step.Selector), 4))
	e.beginRestore()
	defer func() { go e.endRestore(ctx) }()
	e.store.SetDown(true)
	pause(ctx, step.Duration)
	lost := e.store.Restore(minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge))))
	e.store.SetDown(false)
	var writes sync.WaitGroup
	for _, item := range lost {
		delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
		if item.Tombstone {
			delay = entryExpiryDelay
		}
		writes.Go(func() {
			pause(ctx, delay)
			e.store.WriteAgain(item.Key)
		})
	}
	writes.Wait()
}

// beginRestore remembers the servers' counts of misrouted packets.
func (e *environment) beginRestore() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.restores == 0 {
		e.misroutedBefore = make(map[*proxiedServer]int64)
		for _, s := range e.servers {
			e.misroutedBefore[s] = s.MisroutedPackets.Load()
		}
	}
	e.restores++
}

// endRestore makes the exemption of misrouted packets permanent once the changes of a restore
// have spread.
func (e *environment) endRestore(ctx context.Context) {
	pause(ctx, drainPropagationLimit)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.restores == 1 {
		e.exemptMisrouted(e.history.Servers)
	}
	e.restores--
}

// exemptMisrouted exempts the packets that were misrouted since a restore began. Balancers cannot
// know that an address was reused if the store has lost the entries that say so; the number in
// front of each packet keeps it from being accepted. The caller must hold the mutex.
func (e *environment) exemptMisrouted(records []ServerRecord) {
	for _, s := range e.servers {
		records[s.number-1].ExemptPackets += s.MisroutedPackets.Load() - e.misroutedBefore[s]
	}
}

// killBalancers sends SIGKILL to balancers and starts them again after half of the step's
// duration.
func (e *environment) killBalancers(ctx context.Context, step Step) error {
	count := 1
	switch step.Kind {
	case KillMany:
		count = int(killManyFraction * float64(len(e.balancers)))
	case KillAll:
		count = len(e.balancers)
	}
	var killed []*balancer
	for offset := range max(count, 1) {
		b := e.balancers[(int(step.Selector)+offset)%len(e.balancers)]
		b.signal(syscall.SIGKILL)
		killed = append(killed, b)
	}
	pause(ctx, step.Duration/2)
	for _, b := range killed {
		b.signalAndWait(syscall.SIGKILL)
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

// freeze suspends the process with SIGSTOP for a duration. If the process had been sent a signal
// to exit, the time in which it must exit starts over when it resumes.
func (b *balancer) freeze(ctx context.Context, duration time.Duration) {
	b.signal(syscall.SIGSTOP)
	pause(ctx, duration)
	b.signal(syscall.SIGCONT)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.stopRequestedAt.IsZero() {
		b.stopRequestedAt = time.Now()
	}
}

// setDomainFault sets the fault of the links between a failure domain's balancers and all
// others.
func (e *environment) setDomainFault(domain int, fault proxy.Fault) {
	for _, balancer := range e.balancers {
		for _, peer := range e.balancers {
			if (balancer.number%domainCount == domain) != (peer.number%domainCount == domain) {
				balancer.peerLink.SetSenderFault(peer.ip, fault)
			}
		}
	}
}

// setStoreFault sets the fault of the links between all balancers and the store.
func (e *environment) setStoreFault(fault proxy.Fault) {
	for _, b := range e.balancers {
		b.storeLink.SetFault(fault)
	}
}

// pickServer selects a server that mayDisturb permits and marks it as disturbed. It returns
// nil if there is none.
func (e *environment) pickServer(selector uint32) *proxiedServer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var candidates []*proxiedServer
	for _, s := range e.servers {
		if e.mayDisturb(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	s := candidates[int(selector)%len(candidates)]
	s.disturbed = true
	return s
}

// mayDisturb reports whether a step may affect a server: only once, and only while at least
// two other servers of its service are undisturbed and not in an evacuated failure domain.
func (e *environment) mayDisturb(s *proxiedServer) bool {
	others := 0
	for _, other := range e.servers {
		if other != s && other.service == s.service && !other.disturbed && other.domain != e.evacuated {
			others++
		}
	}
	return !s.disturbed && others >= 2
}

// pause waits for the duration or until the context is canceled.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
