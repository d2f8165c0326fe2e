// Package daemon runs a balancer: it puts sockets, links, the platform's watch,
// probes and the operator's interface around a core.
//
// One goroutine owns the control state and takes closures from a queue; one
// goroutine each reads the fabric's and the peers' datagrams and decides for
// packets on its own. Everything else only fills the queue.
package daemon

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/admin"
	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/link"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/place"
	"wigeonmoor.example/internal/probe"
	"wigeonmoor.example/internal/setup"
	"wigeonmoor.example/internal/watch"
	"wigeonmoor.example/internal/wire"
)

const (
	controlQueue = 8192
	handoverWait = 10 * time.Second
)

// Daemon is a running balancer.
type Daemon struct {
	settings     setup.Settings
	log          logr.Logger
	core         *owned.Core
	traffic      *socket
	peer         *socket
	links        *link.Links
	queue        chan func() owned.Output
	stopped      chan struct{}
	sendFailures atomic.Int64
	queueDropped atomic.Int64
}

// Run serves until a signal asks to leave; a second one ends it at once.
func Run(ctx context.Context, settings setup.Settings, log logr.Logger, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := start(ctx, settings, log)
	if err != nil {
		return err
	}
	defer d.close()
	log.Info("daemon: started", "Instance", settings.Instance.Name, "Domain", settings.Instance.Domain, "Traffic", settings.TrafficAddress, "Peer", settings.Instance.Address, "Admin", settings.AdminAddress)
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	err = d.leave(signals)
	d.logCounters()
	return err
}

// logCounters writes what was counted, as nobody can ask a process that has ended.
func (d *Daemon) logCounters() {
	var fields []any
	counters := d.core.Counters.Values()
	maps.Copy(counters, d.totals())
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if counters[name] != 0 {
			fields = append(fields, name, counters[name])
		}
	}
	d.log.Info("daemon: counted", fields...)
}

func start(ctx context.Context, settings setup.Settings, log logr.Logger) (*Daemon, error) {
	decisions := log
	if !settings.LogDecisions {
		decisions = logr.Discard()
	}
	d := &Daemon{
		settings: settings,
		log:      log,
		core: owned.New(owned.Config{
			Self:                  settings.Instance,
			Rand:                  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Log:                   log,
			Decisions:             decisions,
			ControlBytesPerSecond: settings.ControlBytesPerSecond,
			MaxFlows:              settings.MaxFlows,
		}),
		queue:   make(chan func() owned.Output, controlQueue),
		stopped: make(chan struct{}),
	}
	if err := d.open(ctx); err != nil {
		d.close()
		return nil, err
	}
	go func() { d.control(ctx) }()
	go func() { d.serveTraffic() }()
	go func() { d.servePeers() }()
	d.startReaders(ctx)
	return d, nil
}

// open opens all listeners.
func (d *Daemon) open(ctx context.Context) error {
	var err error
	if d.traffic, err = listen(d.settings.TrafficAddress); err != nil {
		return err
	}
	if d.peer, err = listen(d.settings.Instance.Address); err != nil {
		return err
	}
	d.links, err = link.New(ctx, link.Config{
		Self:    d.settings.Instance.Key(),
		Listen:  d.settings.Instance.Address,
		Allowed: d.core.PeerAddress,
		Receive: func(from flow.MemberKey, envelope *wire.Envelope) {
			d.do(func() owned.Output { return d.core.HandleEnvelope(from, envelope) })
		},
		Failed: func(err error) { d.log.Info("link: failed", "Problem", err.Error()) },
	})
	if err != nil {
		return err
	}
	return admin.Serve(ctx, admin.Config{
		Listen:                d.settings.AdminAddress,
		Instance:              d.settings.Instance,
		Core:                  d.core,
		RunOnControlGoroutine: d.ask,
		DaemonCounters:        d.totals,
	})
}

// totals are the shell's counters.
func (d *Daemon) totals() map[string]int64 {
	return map[string]int64{
		"SendFailures":   d.sendFailures.Load(),
		"ControlDropped": d.queueDropped.Load(),
		"LinkDropped":    d.links.Dropped.Load(),
		"LinkRefused":    d.links.Refused.Load(),
	}
}

// startReaders starts what reads the platform and the backend servers.
func (d *Daemon) startReaders(ctx context.Context) {
	watch.New(ctx, watch.Config{
		URL:      d.settings.PlatformURL,
		Fabric:   d.settings.Instance.Fabric,
		IsReader: d.core.IsPlatformReader,
		CurrentBundle: func() (config.Bundle, bool) {
			compiled := d.core.Compiled()
			if compiled == nil {
				return config.Bundle{}, false
			}
			return compiled.Bundle, true
		},
		OnBundle: func(bundle config.Bundle) {
			d.do(func() owned.Output {
				// The core has logged and counted a refusal.
				output, _ := d.core.SetBundle(bundle, "platform")
				return output
			})
		},
		OnInstances: func(list config.Instances) {
			d.do(func() owned.Output { return d.core.SetInstances(list) })
		},
		OnError: func(err error) { d.log.Info("watch: failed", "Problem", err.Error()) },
	})
	probe.New(ctx, probe.Config{
		Compiled: d.core.Compiled,
		Assigned: d.core.FetchesReport,
		OnReport: func(backend flow.BackendKey, report place.Report) {
			d.do(func() owned.Output { return d.core.HandleReport(backend, report) })
		},
	})
}

// do queues work for the control goroutine. When it cannot keep up, work is
// dropped and counted: everything that comes this way is repeated by its sender.
func (d *Daemon) do(work func() owned.Output) {
	select {
	case d.queue <- work:
	default:
		d.queueDropped.Add(1)
	}
}

// ask runs something on the control goroutine and waits for it.
func (d *Daemon) ask(work func()) {
	done := make(chan struct{})
	wrapped := func() owned.Output {
		work()
		close(done)
		return owned.Output{}
	}
	select {
	case d.queue <- wrapped:
	case <-d.stopped:
		return
	}
	select {
	case <-done:
	case <-d.stopped:
	}
}

// control is the control goroutine.
func (d *Daemon) control(ctx context.Context) {
	defer close(d.stopped)
	ticker := time.NewTicker(owned.TickInterval)
	defer ticker.Stop()
	send := d.newSender()
	for {
		// A tick goes first: after a pause it is what finds out that time has gone.
		select {
		case <-ticker.C:
			d.carryOut(send, d.core.Tick())
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.carryOut(send, d.core.Tick())
		case work := <-d.queue:
			d.carryOut(send, work())
		}
	}
}

func (d *Daemon) carryOut(send *sender, output owned.Output) {
	send.send(&output.Actions)
	for _, message := range output.Probes {
		data, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(wire.KindProbe)}, message.Probe)
		if err != nil {
			d.log.Error(err, "member: probe could not be written", "Peer", message.To)
			continue
		}
		if _, err := d.peer.udp.WriteToUDPAddrPort(data, message.To); err != nil {
			d.sendFailures.Add(1)
		}
	}
	for _, envelope := range output.Envelopes {
		d.links.Send(envelope.To, envelope.Address, envelope.Body)
	}
}

// leave hands everything over and forwards until the fabric's list has caught up.
func (d *Daemon) leave(signals <-chan os.Signal) error {
	d.log.Info("daemon: leaving", "Linger", d.settings.Linger)
	d.do(d.core.Leave)
	linger := time.After(d.settings.Linger)
	patience := time.After(d.settings.Linger + handoverWait)
	ticker := time.NewTicker(owned.TickInterval)
	defer ticker.Stop()
	lingered := false
	for {
		select {
		case <-signals:
			return fmt.Errorf("daemon: ended by a second signal with %d slots held", d.core.HeldSlotCount())
		case <-patience:
			return fmt.Errorf("daemon: nobody took %d slots over", d.core.HeldSlotCount())
		case <-linger:
			lingered = true
		case <-ticker.C:
		}
		if lingered && (d.core.HeldSlotCount() == 0 || d.core.HasNoReadyPeer()) {
			d.log.Info("daemon: left")
			return nil
		}
	}
}

func (d *Daemon) close() {
	if d.traffic != nil {
		_ = d.traffic.udp.Close()
	}
	if d.peer != nil {
		_ = d.peer.udp.Close()
	}
}
