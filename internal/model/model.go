// Package model holds small models of what surrounds the balancers, to drive
// cores at their boundary: the fabric, backend servers, callers and the links
// between balancers.
//
// One goroutine runs events in the order of their time and sequence, and sleeps
// on the runtime's clock between them. Under testing/synctest the clock jumps, and
// a run depends on its seed alone. A goroutine for each part was rejected: the
// order of events at one instant would then vary from run to run.
package model

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/place"
)

// Config sets a bench up.
type Config struct {
	Seed      uint64
	Instances []config.Instance
	Documents config.Documents
	// Delay is the time of one hop between any two parts.
	Delay time.Duration
	// Loss is the share of datagrams that are lost, 0 to 1.
	Loss                  float64
	ControlBytesPerSecond int
	HashOnly              bool
	// Readers is how many balancers read the platform; zero means all.
	Readers int
	Log     logr.Logger
}

// fabricLag is how long the fabric sends to a balancer that has ended.
const fabricLag = time.Second

// Bench is a set of balancers with callers and backend servers.
type Bench struct {
	Callers  *Callers
	Nodes    []*Node
	settings Config
	random   *rand.Rand
	loop     Loop
	cut      map[[2]string]bool
	bundle   config.Bundle
	// goneBytes is what balancers sent that have left.
	goneBytes int64
	servers   map[netip.AddrPort]*server
	// PlatformDown keeps publications from every balancer.
	PlatformDown bool
}

// Node is one balancer.
type Node struct {
	Core     *owned.Core
	Instance config.Instance
	// Stale keeps publications from this balancer alone.
	Stale  bool
	parser *packet.Parser
	alive  bool
	frozen bool
	// sprayed: the fabric sends packets to it.
	sprayed bool
	inbox   []func()
	life    int
}

// New returns a bench whose balancers are started and know the configuration.
func New(settings Config) (*Bench, error) {
	b := &Bench{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		cut:      make(map[[2]string]bool),
		servers:  make(map[netip.AddrPort]*server),
	}
	b.Callers = NewCallers(CallersConfig{Random: b.random, Loop: &b.loop, Send: b.spray})
	if err := b.Publish(settings.Documents); err != nil {
		return nil, err
	}
	for _, instance := range settings.Instances {
		b.Nodes = append(b.Nodes, &Node{Instance: instance, parser: packet.NewParser()})
	}
	for _, node := range b.Nodes {
		b.Start(node)
	}
	return b, nil
}

// after runs something later.
func (b *Bench) after(delay time.Duration, run func()) {
	b.loop.After(delay, run)
}

// Run lets time pass.
func (b *Bench) Run(span time.Duration) {
	b.loop.Run(span)
}

// Node returns the balancer with a name, nil if there is none.
func (b *Bench) Node(name string) *Node {
	for _, node := range b.Nodes {
		if node.Instance.Name == name {
			return node
		}
	}
	return nil
}

// Add puts a new balancer on the list and starts it.
func (b *Bench) Add(instance config.Instance) *Node {
	node := &Node{Instance: instance, parser: packet.NewParser()}
	b.Nodes = append(b.Nodes, node)
	b.Start(node)
	b.publishInstances()
	return node
}

// Start starts a balancer that knows nothing.
func (b *Bench) Start(node *Node) {
	node.life++
	node.alive, node.frozen, node.sprayed = true, false, true
	node.inbox = nil
	seed := b.random.Uint64()
	node.Core = owned.New(owned.Config{
		Self:                  node.Instance,
		Rand:                  rand.New(rand.NewPCG(seed, 2)),
		Log:                   b.settings.Log.WithValues("Instance", node.Instance.Name),
		Decisions:             b.settings.Log.WithValues("Instance", node.Instance.Name),
		ControlBytesPerSecond: b.settings.ControlBytesPerSecond,
		HashOnly:              b.settings.HashOnly,
	})
	b.carryOut(node, node.Core.SetInstances(b.instances()))
	b.offerBundle(node)
	b.tick(node, node.life)
}

func (b *Bench) tick(node *Node, life int) {
	if node.life != life || !node.alive {
		return
	}
	if !node.frozen {
		b.carryOut(node, node.Core.Tick())
	}
	b.after(owned.TickInterval, func() { b.tick(node, life) })
}

// Kill ends a balancer at once. The fabric notices after a while.
func (b *Bench) Kill(node *Node) {
	node.alive = false
	node.inbox = nil
	life := node.life
	b.after(fabricLag, func() {
		if node.life == life {
			node.sprayed = false
		}
	})
}

// Leave has a balancer leave gracefully: it hands over, the fabric stops sending
// to it, and it ends.
func (b *Bench) Leave(node *Node) {
	b.carryOut(node, node.Core.Leave())
	b.after(2*fabricLag, func() { node.sprayed = false })
	b.after(4*fabricLag, func() {
		b.Kill(node)
		b.remove(node)
	})
}

func (b *Bench) remove(gone *Node) {
	b.goneBytes += gone.Core.Counters.ControlBytes.Load()
	for index, node := range b.Nodes {
		if node == gone {
			b.Nodes = append(b.Nodes[:index:index], b.Nodes[index+1:]...)
			break
		}
	}
	b.publishInstances()
}

// Freeze pauses a process: what arrives waits.
func (b *Bench) Freeze(node *Node) {
	node.frozen = true
}

// Thaw lets a paused process go on, with the packets that have waited first.
func (b *Bench) Thaw(node *Node) {
	node.frozen = false
	waiting := node.inbox
	node.inbox = nil
	for _, run := range waiting {
		run()
	}
	b.carryOut(node, node.Core.Tick())
}

// Cut separates two balancers or failure domains from each other, by name.
func (b *Bench) Cut(one, other string) {
	b.cut[[2]string{one, other}] = true
	b.cut[[2]string{other, one}] = true
}

// Heal ends all cuts.
func (b *Bench) Heal() {
	clear(b.cut)
}

func (b *Bench) separated(one, other config.Instance) bool {
	return b.cut[[2]string{one.Name, other.Name}] || b.cut[[2]string{one.Domain, other.Domain}]
}

func (b *Bench) instances() config.Instances {
	list := config.Instances{}
	for _, node := range b.Nodes {
		list.Instances = append(list.Instances, node.Instance)
	}
	return list
}

// Version returns the newest published version.
func (b *Bench) Version() config.Version {
	return b.bundle.Index.Version
}

func (b *Bench) publishInstances() {
	for _, node := range b.Nodes {
		if node.alive {
			b.deliver(node, func() { b.carryOut(node, node.Core.SetInstances(b.instances())) })
		}
	}
}

// Publish makes documents the platform's newest configuration.
func (b *Bench) Publish(documents config.Documents) error {
	bundle, err := config.Render(documents, b.bundle, b.bundle.Index.Version+1)
	if err != nil {
		return err
	}
	b.bundle = bundle
	b.addServers(documents)
	for index, node := range b.Nodes {
		if b.settings.Readers > 0 && index >= b.settings.Readers {
			break
		}
		// Each balancer reads the platform at its own time within half a second.
		jitter := time.Duration(b.random.Int64N(int64(500 * time.Millisecond)))
		b.after(jitter, func() { b.offerBundle(node) })
	}
	return nil
}

func (b *Bench) offerBundle(node *Node) {
	if b.PlatformDown || node.Stale || !node.alive {
		return
	}
	b.deliver(node, func() {
		output, err := node.Core.SetBundle(b.bundle, "platform")
		if err == nil {
			b.carryOut(node, output)
		}
	})
}

// deliver runs something at a balancer, or lets it wait while that is paused.
func (b *Bench) deliver(node *Node, run func()) {
	if !node.alive {
		return
	}
	if node.frozen {
		node.inbox = append(node.inbox, run)
		return
	}
	run()
}

func (b *Bench) lost() bool {
	return b.settings.Loss > 0 && b.random.Float64() < b.settings.Loss
}

// spray hands a caller's packet to a random balancer, as the fabric does.
func (b *Bench) spray(data []byte) {
	var targets []*Node
	for _, node := range b.Nodes {
		if node.sprayed {
			targets = append(targets, node)
		}
	}
	if len(targets) == 0 || b.lost() {
		return
	}
	node := targets[b.random.IntN(len(targets))]
	b.after(b.settings.Delay, func() {
		b.deliver(node, func() {
			var parsed packet.Packet
			if err := node.parser.Parse(data, &parsed); err != nil {
				panic(fmt.Sprintf("model: caller sent a bad packet: %v", err))
			}
			var actions owned.Actions
			node.Core.HandlePacket(&parsed, &actions)
			b.carryOutActions(node, actions)
		})
	})
}

func (b *Bench) carryOut(node *Node, output owned.Output) {
	b.carryOutActions(node, output.Actions)
	for _, message := range output.Probes {
		b.datagram(node, message.To, func(to *Node) { b.carryOut(to, to.Core.HandleProbe(message.Probe)) })
	}
	for _, envelope := range output.Envelopes {
		to := b.byAddress(envelope.Address)
		if to == nil || b.separated(node.Instance, to.Instance) {
			continue
		}
		from := flow.MemberKey(node.Instance.Key())
		b.after(b.settings.Delay, func() {
			b.deliver(to, func() { b.carryOut(to, to.Core.HandleEnvelope(from, envelope.Body)) })
		})
	}
}

func (b *Bench) carryOutActions(node *Node, actions owned.Actions) {
	for _, action := range actions.List {
		switch action.Kind {
		case owned.Forward:
			b.toServer(node, action)
		case owned.ReturnToCaller:
			b.after(b.settings.Delay, func() { b.Callers.Receive(action.Packet) })
		case owned.SendToPeer:
			data := append(append([]byte(nil), action.Header()...), action.Packet...)
			b.datagram(node, action.To, func(to *Node) {
				var actions owned.Actions
				var parsed packet.Packet
				if err := to.Core.HandleDatagram(to.parser, &parsed, data, node.Instance.Address, &actions); err == nil {
					b.carryOutActions(to, actions)
				}
			})
		}
	}
}

// datagram sends something to the balancer with an address, over a network that
// may be cut and may lose it.
func (b *Bench) datagram(from *Node, address netip.AddrPort, arrive func(to *Node)) {
	to := b.byAddress(address)
	if to == nil || b.separated(from.Instance, to.Instance) || b.lost() {
		return
	}
	b.after(b.settings.Delay, func() {
		b.deliver(to, func() { arrive(to) })
	})
}

func (b *Bench) byAddress(address netip.AddrPort) *Node {
	for _, node := range b.Nodes {
		if node.Instance.Address == address {
			return node
		}
	}
	return nil
}

// ControlBytes returns the control bytes that all balancers have sent.
func (b *Bench) ControlBytes() int64 {
	total := b.goneBytes
	for _, node := range b.Nodes {
		total += node.Core.Counters.ControlBytes.Load()
	}
	return total
}

// Lives returns how often the balancer has been started.
func (n *Node) Lives() int {
	return n.life
}

// Alive reports whether the balancer's process runs.
func (n *Node) Alive() bool {
	return n.alive
}

// reportPeriod is how often a backend server's load report is fetched.
const reportPeriod = 2 * time.Second

// Report has the balancers that fetch a backend server's report get this one, again
// and again for a span.
func (b *Bench) Report(backend flow.BackendKey, report place.Report, span time.Duration) {
	if span <= 0 {
		return
	}
	for _, node := range b.Nodes {
		if node.alive && node.Core.FetchesReport(backend) {
			report.At = time.Now()
			b.deliver(node, func() { b.carryOut(node, node.Core.HandleReport(backend, report)) })
		}
	}
	b.after(reportPeriod, func() { b.Report(backend, report, span-reportPeriod) })
}
