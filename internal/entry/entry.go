// Package entry runs a balancer whose flows are tagged: it puts sockets, the
// platform's reader, active checks and the readiness answer around a tagged.Core and
// a gossip.Node.
//
// One goroutine owns the control state and takes closures from a queue; one reads
// callers' packets and decides for them. Everything else only fills the queue.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/gossip"
	"wigeonmoor.example/internal/setup"
	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

const (
	// controlQueue bounds the work that waits for the control goroutine.
	controlQueue = 1024
	// startLimit is how long a starting balancer waits for the newest view before it
	// is ready with what peers have told.
	startLimit = 1500 * time.Millisecond
	// settingsPeriod is how often the settings file is looked at, as it may change
	// without a signal. Seeds are needed only by those who know nobody.
	settingsPeriod = 2 * time.Second
	// changePauseEach, for each backend server, lies between two changes put in force:
	// with 9,000 servers one takes about 25 ms, and a second of pause bounds that to a few
	// hundredths of a core while changes go on.
	changePauseEach = 100 * time.Microsecond
	// bulkShare is the part of the link that differences between balancers may take, so
	// that callers' packets hardly wait, and bulkMost bounds it in bytes a second: 400
	// datagrams take a hundredth of a core.
	bulkShare = 0.2
	bulkMost  = 500_000
	// pauseLimit is the gap between two ticks at which the process counts as paused.
	pauseLimit = time.Second
)

// Config sets a balancer up.
type Config struct {
	Settings setup.Settings
	// Reload reads the settings again.
	Reload func() (setup.Settings, error)
	Log    logr.Logger
	Codec  tagged.Codec
	Store  source.Store
	// ReadyPath is the path of the readiness answer.
	ReadyPath string
}

// Entry is a running balancer.
type Entry struct {
	config  Config
	log     logr.Logger
	core    *tagged.Core
	node    *gossip.Node
	replica *state.Replica
	traffic *net.UDPConn
	peer    *net.UDPConn
	queue   chan func()
	started time.Time
	// staleShare is this balancer's part of staleSpread, from 0 to 1.
	staleShare float64
	clock      pauseClock
	// changedBy is who told of a change that is not in force yet, and nextChange when it
	// may be.
	changedBy  string
	nextChange time.Time
	meters     *meters

	ready   atomic.Bool
	leaving atomic.Bool
	// reader, confirmed and reached mirror control state for other goroutines;
	// confirmed is in nanoseconds since the start.
	reader    atomic.Bool
	confirmed atomic.Int64
	reached   atomic.Uint64
	loaded    atomic.Bool
	// fed is set while a peer sends its view to a balancer that has none.
	fed     atomic.Bool
	members atomic.Int64
	dropped atomic.Int64
}

// Run serves until SIGTERM and then until its callers have gone elsewhere. SIGHUP
// reloads the settings.
func Run(ctx context.Context, config Config, terminate, reload <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, err := start(ctx, config)
	if err != nil {
		return err
	}
	s := config.Settings
	e.log.Info("entry: started", "Instance", s.Instance.Name, "Domain", s.Instance.Domain, "Traffic", s.TrafficAddress, "Peer", s.Instance.Address, "Ready", s.ReadyAddress)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			e.reload()
		case <-ticker.C:
			e.reload()
		case <-ctx.Done():
			return nil
		case <-terminate:
			e.leave(terminate)
			return nil
		}
	}
}

func start(ctx context.Context, config Config) (*Entry, error) {
	settings := config.Settings
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decisions := config.Log
	if !settings.LogDecisions {
		decisions = logr.Discard()
	}
	meters := newMeters()
	e := &Entry{
		config:     config,
		meters:     meters,
		log:        config.Log,
		replica:    state.NewReplica(),
		queue:      make(chan func(), controlQueue),
		started:    time.Now(),
		staleShare: random.Float64(),
		core: tagged.New(tagged.Config{
			Name:             settings.Instance.Name,
			Domain:           settings.Instance.Domain,
			MaxFlows:         settings.MaxFlows,
			Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Log:              config.Log,
			DecisionLog:      decisions,
			ObserveHandshake: func(span time.Duration) { meters.handshake.Update(span.Seconds()) },
		}),
	}
	meters.publish(e)
	var err error
	e.node, err = gossip.New(gossip.Config{
		Name:         settings.Instance.Name,
		Domain:       settings.Instance.Domain,
		Address:      settings.PeerAddress(),
		Seeds:        settings.SeedAddresses(),
		Rand:         random,
		Log:          config.Log,
		Replica:      e.replica,
		TransferRate: bulkRate(settings.LinkSpeed),
		DueReports:   e.core.DueLoadReports,
		HandleTotals: e.core.SetPeerLoads,
		HandleInquiry: func(from netip.AddrPort, tags []state.Tag, now time.Time) {
			e.opine(ctx, from, tags, now)
		},
		HandleOpinion: e.core.HandleReachabilityReport,
		OnChange:      e.changed,
		OnConfirm: func(at time.Time) {
			e.core.ConfirmTable(at)
			e.confirmed.Store(int64(at.Sub(e.started)))
		},
	})
	if err != nil {
		return nil, err
	}
	if err := e.open(ctx); err != nil {
		return nil, err
	}
	go func() { e.control(ctx) }()
	go func() { e.serveTraffic() }()
	go func() { e.servePeers() }()
	e.follow(ctx)
	return e, nil
}

// bulkRate is what may be sent of differences between balancers.
func bulkRate(link setup.MegabitsPerSecond) gossip.BytesPerSecond {
	return gossip.BytesPerSecond(min(link.BytesPerSecond()*bulkShare, bulkMost))
}

// open opens all listeners. They close with the context.
func (e *Entry) open(ctx context.Context) error {
	var err error
	if e.traffic, err = listen(e.config.Settings.TrafficAddress); err != nil {
		return err
	}
	if e.peer, err = listen(e.config.Settings.Instance.Address); err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = e.traffic.Close()
		_ = e.peer.Close()
	}()
	return e.serveHTTP(ctx)
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("entry: listen on %s: %w", address, err)
	}
	return udp, nil
}

// changed has the replica's new content put in force, at once unless that was done only
// just before.
func (e *Entry) changed(source string, now time.Time) {
	e.reached.Store(uint64(e.replica.Revision()))
	e.loaded.Store(e.replica.Loaded())
	e.changedBy = source
	e.enforce(now)
}

// enforce puts a change in force if there is one and it is due.
func (e *Entry) enforce(now time.Time) {
	if e.changedBy == "" || now.Before(e.nextChange) {
		return
	}
	source := e.changedBy
	e.changedBy = ""
	table := e.replica.Table()
	e.nextChange = now.Add(time.Duration(len(table.Entries())) * changePauseEach)
	e.sendResets(e.core.SetTable(table, now))
	e.log.Info("state: view in force", "Revision", table.Revision, "Version", table.Version, "Backends", len(table.Entries()), "Source", source)
}

// do queues work for the control goroutine. When it cannot keep up work is dropped
// and counted: all of it is repeated by whoever sent it.
func (e *Entry) do(work func()) {
	select {
	case e.queue <- work:
	default:
		e.dropped.Add(1)
	}
}

// control is the control goroutine.
func (e *Entry) control(ctx context.Context) {
	ticker := time.NewTicker(tagged.TickInterval)
	defer ticker.Stop()
	e.tick(ctx) // seeds are asked at once
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.tick(ctx)
		case work := <-e.queue:
			work()
		}
	}
}

func (e *Entry) tick(ctx context.Context) {
	now := time.Now()
	if pause := e.clock.pause(now); pause > pauseLimit {
		e.log.Info("entry: was paused", "Span", pause.String())
		e.core.HoldNewFlows(now)
		e.confirmed.Store(int64(now.Sub(e.started) - e.staleAfter()))
	}
	e.replica.PruneTombstones(now)
	e.enforce(now)
	e.send(e.node.Tick(now))
	e.reader.Store(e.node.IsReader(now))
	e.members.Store(int64(e.node.LiveCount()))
	e.core.SetPeerCount(e.node.LiveCount() - 1)
	e.reached.Store(uint64(e.replica.Revision()))
	for _, check := range e.core.Tick(now) {
		e.startCheck(ctx, check)
	}
	e.inquire()
	e.review(now)
}

// review decides whether the platform may send packets here.
func (e *Entry) review(now time.Time) {
	fresh := !e.node.ConfirmedAt().IsZero() || now.Sub(e.started) > startLimit
	ready := e.replica.Loaded() && fresh && !e.leaving.Load() && e.core.ServicesReachable()
	if ready != e.ready.Load() {
		e.log.Info("entry: readiness changed", "Ready", ready, "Loaded", e.replica.Loaded(), "Leaving", e.leaving.Load(), "Reachable", e.core.ServicesReachable(), "Uptime", now.Sub(e.started).String())
		e.ready.Store(ready)
	}
}

func (e *Entry) send(messages []gossip.Message) {
	for _, message := range messages {
		if _, err := e.peer.WriteToUDPAddrPort(message.Data, message.To); err != nil && !errors.Is(err, net.ErrClosed) {
			e.log.Info("gossip: datagram not sent", "Peer", message.To, "Problem", err.Error())
		}
	}
}

// maxPeerBytes is the size of the largest datagram between balancers: gossip of 150
// backend servers is about 2 KB.
const maxPeerBytes = 16 << 10

// servePeers takes other balancers' datagrams until the socket is closed.
func (e *Entry) servePeers() {
	buffer := make([]byte, maxPeerBytes)
	for {
		count, from, err := e.peer.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Info("gossip: datagram not read", "Problem", err.Error())
			continue
		}
		data := append([]byte(nil), buffer[:count]...)
		e.do(func() { e.receive(data, from) })
	}
}

func (e *Entry) receive(data []byte, from netip.AddrPort) {
	messages, err := e.node.Receive(data, from, time.Now())
	if err != nil {
		e.log.Info("gossip: datagram refused", "Problem", err.Error())
	}
	e.send(messages)
	if !e.loaded.Load() {
		e.reader.Store(e.node.IsReader(time.Now()))
		e.fed.Store(e.node.Fetching())
	}
}

// reload takes over what may change without a restart.
func (e *Entry) reload() {
	settings, err := e.config.Reload()
	if err != nil {
		e.log.Error(err, "entry: settings refused, the ones in force stay")
		return
	}
	if slices.Equal(settings.Seeds, e.config.Settings.Seeds) {
		return
	}
	e.config.Settings.Seeds = settings.Seeds
	e.log.Info("entry: settings reloaded", "Seeds", settings.SeedAddresses())
	e.do(func() { e.node.SetSeeds(settings.SeedAddresses()) })
}

// leave answers that this balancer is not ready and goes on forwarding until the
// platform has dropped it, which takes two missed calls at half a second.
func (e *Entry) leave(again <-chan os.Signal) {
	e.log.Info("entry: leaving", "Linger", e.config.Settings.Linger.String())
	e.leaving.Store(true)
	e.ready.Store(false)
	e.do(func() { e.send(e.node.Leave(time.Now())) })
	select {
	case <-again:
	case <-time.After(e.config.Settings.Linger):
	}
	e.log.Info("entry: left")
}
