package soak

// How steps are carried out, from outside the processes.

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"wigeonmoor.example/wigeonlab/internal/proxy"
)

const (
	// drainSpan is how long a draining server lives on: its bound and some seconds.
	drainSpan = 5 * time.Second
	// lapseSpan is three heartbeats, after which a silent server's entry lapses.
	lapseSpan = 2 * time.Second
	// linkDelay and linkLoss are what a delayed or lossy link does to what passes.
	linkDelay = 200 * time.Millisecond
	linkLoss  = 0.2
	// linkRate is that of a slow link in bytes a second: gossip takes a third of it.
	linkRate = 40_000
	// slowDelay is added to the store's answers while it is slow.
	slowDelay = 250 * time.Millisecond
	// manyShare of the balancers are killed by KillMany.
	manyShare = 0.6
	// grownRoutes is by how many routes a configuration grows.
	grownRoutes = 600
	// stormChanges follow each other at stormPause.
	stormChanges = 8
	stormPause   = 150 * time.Millisecond
)

// harm returns what a style does to a link.
func (s Step) harm() proxy.Harm {
	switch s.Style {
	case Silent:
		return proxy.Harm{SilentForward: true, SilentBack: true}
	case OneWay:
		return proxy.Harm{SilentForward: true}
	case AnswerLost:
		return proxy.Harm{SilentBack: true}
	case Lossy:
		return proxy.Harm{Loss: linkLoss}
	case Reset:
		return proxy.Harm{Reset: true, SilentForward: true}
	}
	return proxy.Harm{Delay: linkDelay}
}

// perform carries a step out and returns when it is over.
func (w *world) perform(ctx context.Context, step Step) error {
	span := Span{From: time.Now(), What: step.String(), Planned: step.Kind.Planned()}
	var victim *server
	switch step.Kind {
	case ServerLink, ServerCrash, AddressReuse, ServerDrain, EntryLapse:
		if victim = w.pickServer(step.Pick); victim == nil {
			return nil
		}
		span.Server = victim.name
	}
	var index int
	w.note(func(h *History) {
		h.Spans = append(h.Spans, span)
		index = len(h.Spans) - 1
	})
	defer w.note(func(h *History) { h.Spans[index].To = time.Now() })
	if victim != nil {
		return w.performServer(ctx, step, victim)
	}
	return w.performRest(ctx, step)
}

func (w *world) performServer(ctx context.Context, step Step, victim *server) error {
	switch step.Kind {
	case ServerLink:
		harm := step.harm()
		// A reset connection would tell that the server has ended, and it has not.
		harm.Reset = false
		harmFor(ctx, step.For, harm, victim.link.Set)
	case ServerCrash:
		w.crashAndLapse(ctx, victim)
	case AddressReuse:
		w.crashAndLapse(ctx, victim)
		pause(ctx, lapseSpan)
		// The proxy's sockets have closed by now.
		_, err := w.addServer(w.context, services[(victim.number+1)%len(services)], victim.public)
		return err
	case ServerDrain:
		if _, err := w.addServer(w.context, victim.service, netip.AddrPort{}); err != nil {
			return err
		}
		w.publish(victim, "draining")
		w.life(victim, func(l *Life) { l.Drained = time.Now() })
		victim.Drain()
		pause(ctx, drainSpan)
		w.store.Remove(victim.StoreKey())
		w.crash(victim)
	case EntryLapse:
		w.store.Remove(victim.StoreKey())
		pause(ctx, step.For)
		w.publish(victim, "ready")
	}
	return nil
}

// harmFor harms something for a while.
func harmFor(ctx context.Context, span time.Duration, harm proxy.Harm, set func(proxy.Harm)) {
	set(harm)
	pause(ctx, span)
	set(proxy.Harm{})
}

// crashAndLapse ends a server at once; its entry lapses later.
func (w *world) crashAndLapse(ctx context.Context, s *server) {
	w.crash(s)
	pause(ctx, lapseSpan)
	w.store.Remove(s.StoreKey())
}

// crash ends a server at once.
func (w *world) crash(s *server) {
	w.life(s, func(l *Life) {
		l.Ended = time.Now()
		l.Strangers = s.MisroutedPackets.Load()
	})
	s.Close()
	s.streams.Close()
	s.stop()
}

func (w *world) performRest(ctx context.Context, step Step) error {
	b := w.balancers[int(step.Pick)%len(w.balancers)]
	switch step.Kind {
	case Kill, KillMany, KillAll:
		return w.kill(ctx, step)
	case Freeze:
		b.freeze(ctx, step.For)
	case StoreLink:
		harmFor(ctx, step.For, step.harm(), b.store.Set)
	case StoreDown:
		w.store.SetDown(true)
		pause(ctx, step.For)
		w.store.SetDown(false)
	case StoreSlow:
		harmFor(ctx, step.For, proxy.Harm{Delay: slowDelay}, w.harmStores)
	case PeerLink:
		harmFor(ctx, step.For, step.harm(), b.peers.Set)
	case LinkRate:
		harmFor(ctx, step.For, proxy.Harm{Rate: linkRate}, b.peers.Set)
	case DomainCut:
		silence := proxy.Harm{SilentForward: true, SilentBack: true}
		harmFor(ctx, step.For, silence, func(h proxy.Harm) { w.cut(int(step.Pick)%domains, h) })
	case Terminate:
		b.end(syscall.SIGTERM)
		return b.start()
	case Roll:
		for offset := range 2 {
			next := w.balancers[(int(step.Pick)+offset)%len(w.balancers)]
			next.end(syscall.SIGTERM)
			if err := next.start(); err != nil {
				return err
			}
			w.awaitReady(ctx)
		}
	case Reload:
		if err := b.configure(1, 1+int(step.Pick)%len(w.balancers)); err != nil {
			return err
		}
		b.signal(syscall.SIGHUP)
	default:
		return w.performChange(ctx, step)
	}
	return nil
}

func (w *world) performChange(ctx context.Context, step Step) error {
	switch step.Kind {
	case ServerAdd:
		_, err := w.addServer(w.context, services[int(step.Pick)%len(services)], netip.AddrPort{})
		return err
	case RouteAdd:
		w.addRoute()
	case RouteDrop:
		// The first route of each service stays.
		if live := w.live(); len(live) > len(services) {
			w.dropRoute(live[len(live)-1])
		}
	case RouteGrowth:
		w.addRoutes(grownRoutes)
	case RouteStorm:
		for range stormChanges {
			w.addRoute()
			pause(ctx, stormPause)
		}
	default:
		return fmt.Errorf("soak: no step %q", step.Kind)
	}
	return nil
}

// kill ends processes without a word and starts them again after a while.
func (w *world) kill(ctx context.Context, step Step) error {
	count := 1
	switch step.Kind {
	case KillMany:
		count = int(manyShare * float64(len(w.balancers)))
	case KillAll:
		count = len(w.balancers)
	}
	var victims []*balancer
	for offset := range max(count, 1) {
		b := w.balancers[(int(step.Pick)+offset)%len(w.balancers)]
		b.signal(syscall.SIGKILL)
		victims = append(victims, b)
	}
	pause(ctx, step.For/2)
	for _, b := range victims {
		b.end(syscall.SIGKILL)
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

// freeze stops a process for a while. The time that it has to leave starts anew.
func (b *balancer) freeze(ctx context.Context, span time.Duration) {
	b.signal(syscall.SIGSTOP)
	pause(ctx, span)
	b.signal(syscall.SIGCONT)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.ending.IsZero() {
		b.ending = time.Now()
	}
}

// cut harms what passes between a failure domain's balancers and all others.
func (w *world) cut(domain int, harm proxy.Harm) {
	for _, one := range w.balancers {
		for _, other := range w.balancers {
			if (one.number%domains == domain) != (other.number%domains == domain) {
				one.peers.SetFrom(other.ip, harm)
			}
		}
	}
}

func (w *world) harmStores(harm proxy.Harm) {
	for _, b := range w.balancers {
		b.store.Set(harm)
	}
}

// pickServer draws a server that lives and whose service has two more.
func (w *world) pickServer(pick uint32) *server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*server
	for _, s := range w.servers {
		if w.usable(s) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	s := list[int(pick)%len(list)]
	s.chosen = true
	return s
}

// usable reports whether a server may be harmed: once, and only while enough others of
// its service have not been.
func (w *world) usable(s *server) bool {
	others := 0
	for _, other := range w.servers {
		if other != s && other.service == s.service && !other.chosen {
			others++
		}
	}
	return !s.chosen && others >= 2
}

// pause waits, or until the run ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
