// Package daemon runs a balancer with the Owned binding. It connects an owned.Core to UDP
// sockets, links to other balancers, the watcher of the platform, the prober of backend
// servers and the admin interface.
//
// The control goroutine owns the control state and runs closures from a queue. Two traffic
// goroutines read the datagrams of the fabric and of other balancers, and forward packets as
// the core decides, without the control goroutine. All other work is queued for the control
// goroutine.
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
	// maxQueuedWork bounds the number of closures that wait for the control goroutine.
	maxQueuedWork = 8192
	// handoverTimeout is how long a leaving balancer waits, after the linger time, for
	// other balancers to claim its slots.
	handoverTimeout = 10 * time.Second
)

// Daemon is a running balancer.
type Daemon struct {
	settings  setup.Settings
	log       logr.Logger
	core      *owned.Core
	traffic   *socket
	peer      *socket
	links     *link.Links
	workQueue chan func() owned.Output
	// stopped is closed when the control goroutine ends.
	stopped chan struct{}
	// sendFailures counts failed writes to the sockets, droppedWork the closures that did
	// not fit into the queue.
	sendFailures atomic.Int64
	droppedWork  atomic.Int64
}

// Run serves until the context is done or a signal arrives. After the signal, it forwards
// packets for the Linger time of the settings and hands its slots over to other balancers. It
// returns an error if a listener cannot be opened, if the slots are not handed over in time,
// or if a second signal arrives before that.
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

// logCounters logs all counters that are not zero, as the admin interface ends with the
// process.
func (d *Daemon) logCounters() {
	var fields []any
	counters := d.core.Counters.Values()
	maps.Copy(counters, d.daemonCounters())
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if counters[name] != 0 {
			fields = append(fields, name, counters[name])
		}
	}
	d.log.Info("daemon: final counters", fields...)
}

// start opens the listeners and starts all goroutines.
func start(ctx context.Context, settings setup.Settings, log logr.Logger) (*Daemon, error) {
	decisionLog := log
	if !settings.LogDecisions {
		decisionLog = logr.Discard()
	}
	d := &Daemon{
		settings: settings,
		log:      log,
		core: owned.New(owned.Config{
			Self:                  settings.Instance,
			Rand:                  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Log:                   log,
			Decisions:             decisionLog,
			ControlBytesPerSecond: settings.ControlBytesPerSecond,
			MaxFlows:              settings.MaxFlows,
		}),
		workQueue: make(chan func() owned.Output, maxQueuedWork),
		stopped:   make(chan struct{}),
	}
	if err := d.openListeners(ctx); err != nil {
		d.close()
		return nil, err
	}
	go func() { d.runControlLoop(ctx) }()
	go func() { d.serveTraffic() }()
	go func() { d.servePeers() }()
	d.startWatcherAndProber(ctx)
	return d, nil
}

// openListeners opens all listeners. On an error, the caller closes those that are open.
func (d *Daemon) openListeners(ctx context.Context) error {
	var err error
	if d.traffic, err = listen(d.settings.TrafficAddress); err != nil {
		return err
	}
	if d.peer, err = listen(d.settings.Instance.Address); err != nil {
		return err
	}
	d.links, err = link.New(ctx, link.Config{
		Self:        d.settings.Instance.Key(),
		Listen:      d.settings.Instance.Address,
		PeerAddress: d.core.PeerAddress,
		OnEnvelope: func(from flow.MemberKey, envelope *wire.Envelope) {
			d.enqueue(func() owned.Output { return d.core.HandleEnvelope(from, envelope) })
		},
		OnError: func(err error) { d.log.Info("link: connection error", "Problem", err.Error()) },
	})
	if err != nil {
		return err
	}
	return admin.Serve(ctx, admin.Config{
		Listen:                d.settings.AdminAddress,
		Instance:              d.settings.Instance,
		Core:                  d.core,
		RunOnControlGoroutine: d.runOnControlGoroutine,
		DaemonCounters:        d.daemonCounters,
	})
}

// daemonCounters returns the counters of the sockets, the queue and the links.
func (d *Daemon) daemonCounters() map[string]int64 {
	return map[string]int64{
		"SendFailures":   d.sendFailures.Load(),
		"ControlDropped": d.droppedWork.Load(),
		"LinkDropped":    d.links.Dropped.Load(),
		"LinkRefused":    d.links.Refused.Load(),
	}
}

// startWatcherAndProber starts the goroutines that read the platform's values and the backend
// servers' load reports.
func (d *Daemon) startWatcherAndProber(ctx context.Context) {
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
			d.enqueue(func() owned.Output {
				// The core logs and counts invalid configurations.
				output, _ := d.core.SetBundle(bundle, "platform")
				return output
			})
		},
		OnInstances: func(list config.Instances) {
			d.enqueue(func() owned.Output { return d.core.SetInstances(list) })
		},
		OnError: func(err error) { d.log.Info("watch: failed to read a value", "Problem", err.Error()) },
	})
	probe.New(ctx, probe.Config{
		Compiled: d.core.Compiled,
		Assigned: d.core.FetchesReport,
		OnReport: func(backend flow.BackendKey, report place.Report) {
			d.enqueue(func() owned.Output { return d.core.HandleReport(backend, report) })
		},
	})
}

// enqueue queues work for the control goroutine. If the queue is full, the work is dropped
// and counted, because messages, probes and load reports are repeated by their senders, and a
// configuration also arrives from other balancers.
func (d *Daemon) enqueue(work func() owned.Output) {
	select {
	case d.workQueue <- work:
	default:
		d.droppedWork.Add(1)
	}
}

// runOnControlGoroutine runs work on the control goroutine and waits until it is done or the control
// goroutine has stopped.
func (d *Daemon) runOnControlGoroutine(work func()) {
	done := make(chan struct{})
	notifying := func() owned.Output {
		work()
		close(done)
		return owned.Output{}
	}
	select {
	case d.workQueue <- notifying:
	case <-d.stopped:
		return
	}
	select {
	case <-done:
	case <-d.stopped:
	}
}

// runControlLoop is the control goroutine: it ticks and runs queued work.
func (d *Daemon) runControlLoop(ctx context.Context) {
	defer close(d.stopped)
	ticker := time.NewTicker(owned.TickInterval)
	defer ticker.Stop()
	sender := d.newActionSender()
	for {
		// A due tick runs before queued work: after a pause of the process, the tick
		// detects the pause.
		select {
		case <-ticker.C:
			d.execute(sender, d.core.Tick())
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.execute(sender, d.core.Tick())
		case work := <-d.workQueue:
			d.execute(sender, work())
		}
	}
}

// execute sends the packets, probes and messages of a core's output.
func (d *Daemon) execute(sender *actionSender, output owned.Output) {
	sender.send(&output.Actions)
	for _, message := range output.Probes {
		data, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(wire.KindProbe)}, message.Probe)
		if err != nil {
			d.log.Error(err, "member: failed to encode a probe", "Peer", message.To)
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

// leave hands all slots over to other balancers and forwards packets for the linger time, in
// which the fabric is expected to stop sending packets to this balancer. It does not wait for
// slots to be claimed if no other balancer is ready.
func (d *Daemon) leave(signals <-chan os.Signal) error {
	d.log.Info("daemon: leaving", "Linger", d.settings.Linger)
	d.enqueue(d.core.Leave)
	lingerDone := time.After(d.settings.Linger)
	handoverDeadline := time.After(d.settings.Linger + handoverTimeout)
	ticker := time.NewTicker(owned.TickInterval)
	defer ticker.Stop()
	lingered := false
	for {
		select {
		case <-signals:
			return fmt.Errorf("daemon: stopped by a second signal while it still owned %d slots", d.core.HeldSlotCount())
		case <-handoverDeadline:
			return fmt.Errorf("daemon: %d slots were not claimed by other balancers in time", d.core.HeldSlotCount())
		case <-lingerDone:
			lingered = true
		case <-ticker.C:
		}
		if lingered && (d.core.HeldSlotCount() == 0 || d.core.HasNoReadyPeer()) {
			d.log.Info("daemon: stopped after leaving")
			return nil
		}
	}
}

// close closes the sockets that are open.
func (d *Daemon) close() {
	if d.traffic != nil {
		_ = d.traffic.udp.Close()
	}
	if d.peer != nil {
		_ = d.peer.udp.Close()
	}
}
