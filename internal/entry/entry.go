// Package entry runs a balancer with the Tagged binding. It connects a tagged.Core and a
// gossip.Node to UDP sockets, the watcher of the platform, active checks and the HTTP
// endpoints for readiness, status and metrics.
//
// The control goroutine owns the gossip node and the replica, and runs closures from a queue.
// The traffic goroutine reads callers' packets and forwards them as the core decides. Work
// of other goroutines that needs the control state is queued for the control goroutine.
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
	// maxQueuedWork bounds the number of closures that wait for the control goroutine.
	maxQueuedWork = 1024
	// startupConfirmTimeout is how long a starting balancer waits for a confirmation that
	// its replica is current. After that it becomes ready with the state that peers have
	// sent.
	startupConfirmTimeout = 1500 * time.Millisecond
	// settingsReloadInterval is how often the settings file is read again, as it may change
	// without a signal. The interval may be long because only the seeds are reloaded, which
	// are needed only while no other balancer is known.
	settingsReloadInterval = 2 * time.Second
	// tableIntervalPerBackend, multiplied by the number of backend servers, is the minimum
	// time between two changes of the table. With 9,000 servers a change takes about 25 ms,
	// and an interval of about a second limits a series of changes to a few hundredths of a
	// core.
	tableIntervalPerBackend = 100 * time.Microsecond
	// maxTransferShare is the maximum share of the link's bandwidth for transfers to peers,
	// so that they hardly delay callers' packets. maxTransferBytesPerSecond also limits
	// their CPU time: this is about 400 datagrams per second, which take a hundredth of a
	// core.
	maxTransferShare          = 0.2
	maxTransferBytesPerSecond = 500_000
	// pauseThreshold is the time between two ticks above which the process is considered to
	// have been paused.
	pauseThreshold = time.Second
)

// Config holds the settings of a balancer and the code that is specific to the platform.
type Config struct {
	Settings setup.Settings
	// Reload reads the settings again.
	Reload func() (setup.Settings, error)
	Log    logr.Logger
	// Codec parses and builds the platform's packets, Store reads its published items.
	Codec tagged.Codec
	Store source.Store
	// LearnServers lets the balancer learn how well backend servers serve.
	LearnServers bool
	// ReadyPath is the HTTP path of the readiness endpoint.
	ReadyPath string
}

// Balancer is a running balancer with the Tagged binding.
type Balancer struct {
	config      Config
	log         logr.Logger
	core        *tagged.Core
	node        *gossip.Node
	replica     *state.Replica
	trafficConn *net.UDPConn
	peerConn    *net.UDPConn
	workQueue   chan func()
	startedAt   time.Time
	// staleAgeJitterFraction, from 0 to 1, is the part of the jitter that this balancer
	// adds to minStaleAge.
	staleAgeJitterFraction float64
	pauses                 pauseDetector
	// pendingChangeSource is the source of a change of the replica that is not in the core's
	// table yet, empty if there is none. nextTableAt is the earliest time of the next table.
	pendingChangeSource string
	nextTableAt         time.Time
	// problemLinesLeft is the number of invalid published items that may still be logged before
	// problemLinesResetAt.
	problemLinesLeft    int
	problemLinesResetAt time.Time
	metrics             *metricSet

	ready   atomic.Bool
	leaving atomic.Bool
	// The following fields copy state of the control goroutine for other goroutines.
	isReader atomic.Bool
	// confirmedNanoseconds is when the replica was last known to be current, in nanoseconds
	// since startedAt.
	confirmedNanoseconds atomic.Int64
	revision             atomic.Uint64
	// loaded is set once the replica has content. Until then, fetching is set while peers
	// are known to have content or are sending it.
	loaded      atomic.Bool
	fetching    atomic.Bool
	memberCount atomic.Int64
	// configurationVersion is the version of the configuration in the core's table.
	configurationVersion atomic.Uint64
	// platformEpoch is the epoch of the platform's latest response.
	platformEpoch atomic.Uint32
	// configuration is the configuration in the core's table, nil before the first one.
	configuration atomic.Pointer[state.Configuration]
	// stateBytes is the approximate size of the response to a full read of the platform.
	stateBytes atomic.Int64
	// droppedWork counts closures that did not fit into the queue.
	droppedWork atomic.Int64
}

// Run serves until the context is done or until a signal arrives on terminate. After the
// signal, it announces that it leaves and forwards packets for the Linger time of the
// settings, or until a second signal. A signal on reload reloads the settings. Run returns an
// error if a listener cannot be opened or if the peer address is not IPv4.
func Run(ctx context.Context, config Config, terminate, reload <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b, err := start(ctx, config)
	if err != nil {
		return err
	}
	settings := config.Settings
	b.log.Info("entry: started", "Instance", settings.Instance.Name, "Domain", settings.Instance.Domain, "Traffic", settings.TrafficAddress, "Peer", settings.Instance.Address, "Ready", settings.ReadyAddress)
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			b.reloadSettings()
		case <-ticker.C:
			b.reloadSettings()
		case <-ctx.Done():
			return nil
		case <-terminate:
			b.leave(terminate)
			return nil
		}
	}
}

// start opens the listeners and starts all goroutines.
func start(ctx context.Context, config Config) (*Balancer, error) {
	settings := config.Settings
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decisionLog := config.Log
	if !settings.LogDecisions {
		decisionLog = logr.Discard()
	}
	metrics := newMetricSet()
	b := &Balancer{
		config:                 config,
		metrics:                metrics,
		log:                    config.Log,
		replica:                state.NewReplica(),
		workQueue:              make(chan func(), maxQueuedWork),
		startedAt:              time.Now(),
		staleAgeJitterFraction: random.Float64(),
		core: tagged.New(tagged.Config{
			Name:             settings.Instance.Name,
			Domain:           settings.Instance.Domain,
			MaxFlows:         settings.MaxFlows,
			ColdOverage:      settings.ColdOverage,
			ColdSlack:        settings.ColdSlack,
			LearnServers:     config.LearnServers,
			Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Log:              config.Log,
			DecisionLog:      decisionLog,
			ObserveHandshake: func(duration time.Duration) { metrics.handshake.Update(duration.Seconds()) },
		}),
	}
	metrics.register(b)
	var err error
	b.node, err = gossip.New(gossip.Config{
		Name:            settings.Instance.Name,
		Domain:          settings.Instance.Domain,
		Address:         settings.PeerAddress(),
		Seeds:           settings.SeedAddresses(),
		Rand:            random,
		Log:             config.Log,
		Replica:         b.replica,
		TransferRate:    transferRate(settings.LinkSpeed),
		DueLoadReports:  b.core.DueLoadReports,
		HandlePeerLoads: b.core.SetPeerLoads,
		HandleReachabilityQuery: func(from netip.AddrPort, tags []state.Tag, now time.Time) {
			b.answerReachabilityQuery(ctx, from, tags, now)
		},
		HandleReachabilityReport: func(peer string, report tagged.ReachabilityReport, now time.Time) {
			b.sendResets(b.core.HandleReachabilityReport(peer, report, now))
		},
		OnChange: b.handleReplicaChange,
		OnConfirm: func(at time.Time) {
			b.core.ConfirmTable(at)
			b.confirmedNanoseconds.Store(int64(at.Sub(b.startedAt)))
		},
	})
	if err != nil {
		return nil, err
	}
	if err := b.openListeners(ctx); err != nil {
		return nil, err
	}
	go func() { b.runControlLoop(ctx) }()
	go func() { b.serveTraffic() }()
	go func() { b.servePeers() }()
	b.startWatcher(ctx)
	return b, nil
}

// transferRate returns the rate limit for transfers to peers.
func transferRate(link setup.MegabitsPerSecond) gossip.BytesPerSecond {
	return gossip.BytesPerSecond(min(link.BytesPerSecond()*maxTransferShare, maxTransferBytesPerSecond))
}

// openListeners opens all listeners. They are closed when the context is done.
func (b *Balancer) openListeners(ctx context.Context) error {
	var err error
	if b.trafficConn, err = listenUDP(b.config.Settings.TrafficAddress); err != nil {
		return err
	}
	if b.peerConn, err = listenUDP(b.config.Settings.Instance.Address); err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = b.trafficConn.Close()
		_ = b.peerConn.Close()
	}()
	return b.serveHTTP(ctx)
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("entry: listen on UDP address %s: %w", address, err)
	}
	return conn, nil
}

// handleReplicaChange applies a change of the replica to the core, at once unless the last
// change was applied too recently.
func (b *Balancer) handleReplicaChange(source string, now time.Time) {
	b.revision.Store(uint64(b.replica.Revision()))
	b.loaded.Store(b.replica.Loaded())
	b.pendingChangeSource = source
	b.applyDueChange(now)
}

// applyDueChange passes a new table to the core if a change is pending and due.
func (b *Balancer) applyDueChange(now time.Time) {
	if b.pendingChangeSource == "" || now.Before(b.nextTableAt) {
		return
	}
	source := b.pendingChangeSource
	b.pendingChangeSource = ""
	table := b.replica.Table()
	b.nextTableAt = now.Add(time.Duration(len(table.Entries())) * tableIntervalPerBackend)
	b.sendResets(b.core.SetTable(table, now))
	b.configurationVersion.Store(uint64(table.Version))
	b.configuration.Store(b.replica.Configuration())
	b.stateBytes.Store(int64(table.RouteCount())*routeResponseBytes + int64(len(table.Entries()))*serverResponseBytes)
	b.log.Info("state: view in force", "Epoch", table.Revision.Epoch(), "Revision", table.Revision.Counter(), "Version", table.Version, "Backends", len(table.Entries()), "Evacuated", table.EvacuatedDomains(), "Source", source)
}

// enqueue queues work for the control goroutine. If the queue is full, the work is dropped
// and counted: the senders of datagrams and of the platform's results repeat them.
func (b *Balancer) enqueue(work func()) {
	select {
	case b.workQueue <- work:
	default:
		b.droppedWork.Add(1)
	}
}

// runControlLoop is the control goroutine: it ticks and runs queued work.
func (b *Balancer) runControlLoop(ctx context.Context) {
	ticker := time.NewTicker(tagged.TickInterval)
	defer ticker.Stop()
	b.tick(ctx) // contacts the seeds without waiting for the first interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.tick(ctx)
		case work := <-b.workQueue:
			work()
		}
	}
}

// tick detects pauses and does all periodic work of the replica, the gossip node and the
// core.
func (b *Balancer) tick(ctx context.Context) {
	now := time.Now()
	if pause := b.pauses.elapsed(now); pause > pauseThreshold {
		b.log.Info("entry: process was paused", "Span", pause.String())
		b.core.HoldNewFlows(now)
		// The replica now counts as just stale, so a balancer that is not a reader polls
		// the platform at once.
		b.confirmedNanoseconds.Store(int64(now.Sub(b.startedAt) - b.staleAge()))
	}
	if b.replica.Prune(now) {
		b.pendingChangeSource = "expiry"
	}
	b.applyDueChange(now)
	b.sendMessages(b.node.Tick(now))
	b.isReader.Store(b.node.IsReader(now))
	b.memberCount.Store(int64(b.node.LiveCount()))
	b.core.SetPeerCount(b.node.LiveCount() - 1)
	if b.core.LimitsRates() {
		b.core.SetMembers(b.node.DomainMembers(now))
	}
	b.revision.Store(uint64(b.replica.Revision()))
	for _, check := range b.core.Tick(now) {
		b.startCheck(ctx, check)
	}
	b.sendReachabilityQueries()
	b.updateReadiness(now)
}

// updateReadiness decides whether the platform may send packets to this balancer.
func (b *Balancer) updateReadiness(now time.Time) {
	confirmed := !b.node.ConfirmedAt().IsZero() || now.Sub(b.startedAt) > startupConfirmTimeout
	ready := b.replica.Loaded() && confirmed && !b.leaving.Load() && b.core.ServicesReachable()
	if ready != b.ready.Load() {
		b.log.Info("entry: readiness changed", "Ready", ready, "Loaded", b.replica.Loaded(), "Leaving", b.leaving.Load(), "Reachable", b.core.ServicesReachable(), "Uptime", now.Sub(b.startedAt).String())
		b.ready.Store(ready)
	}
}

// sendMessages sends datagrams to peers.
func (b *Balancer) sendMessages(messages []gossip.Message) {
	for _, message := range messages {
		if _, err := b.peerConn.WriteToUDPAddrPort(message.Data, message.To); err != nil && !errors.Is(err, net.ErrClosed) {
			b.log.Info("gossip: failed to send a datagram", "Peer", message.To, "Problem", err.Error())
		}
	}
}

// maxPeerDatagramBytes limits the size of datagrams from peers, which are meant to fit into
// the usual 1,500 bytes.
const maxPeerDatagramBytes = 16 << 10

// servePeers reads datagrams of peers until the socket is closed.
func (b *Balancer) servePeers() {
	buffer := make([]byte, maxPeerDatagramBytes)
	for {
		count, from, err := b.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Info("gossip: failed to read a datagram", "Problem", err.Error())
			continue
		}
		data := append([]byte(nil), buffer[:count]...)
		b.enqueue(func() { b.handlePeerDatagram(data, from) })
	}
}

// handlePeerDatagram passes a peer's datagram to the gossip node, on the control goroutine, and
// sends the replies.
func (b *Balancer) handlePeerDatagram(data []byte, from netip.AddrPort) {
	messages, err := b.node.Receive(data, from, time.Now())
	if err != nil {
		b.log.Info("gossip: rejected a datagram", "Problem", err.Error())
	}
	b.sendMessages(messages)
	if !b.loaded.Load() {
		// startupReadMode needs these values sooner than the next tick.
		b.isReader.Store(b.node.IsReader(time.Now()))
		b.fetching.Store(b.node.Fetching())
	}
}

// reloadSettings applies the settings that may change without a restart, which are only the
// seeds.
func (b *Balancer) reloadSettings() {
	settings, err := b.config.Reload()
	if err != nil {
		b.log.Error(err, "entry: failed to reload the settings; the current ones stay in force")
		return
	}
	if slices.Equal(settings.Seeds, b.config.Settings.Seeds) {
		return
	}
	b.config.Settings.Seeds = settings.Seeds
	b.log.Info("entry: settings reloaded", "Seeds", settings.SeedAddresses())
	b.enqueue(func() { b.node.SetSeeds(settings.SeedAddresses()) })
}

// leave reports that this balancer is not ready and continues to forward packets while the
// platform removes it, which happens after two failed readiness calls, half a second apart. A
// second signal ends the wait.
func (b *Balancer) leave(terminate <-chan os.Signal) {
	b.log.Info("entry: leaving", "Linger", b.config.Settings.Linger.String())
	b.leaving.Store(true)
	b.ready.Store(false)
	b.enqueue(func() { b.sendMessages(b.node.Leave(time.Now())) })
	select {
	case <-terminate:
	case <-time.After(b.config.Settings.Linger):
	}
	b.log.Info("entry: stopped after leaving")
}
