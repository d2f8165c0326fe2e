// Package model simulates a deployment around the balancers of package owned: the
// platform, the fabric, backend servers, callers and the network between balancers. It
// calls the balancers' cores directly, with typed values.
//
// A single goroutine runs all events in the order of their time and sequence number, and
// sleeps on the runtime's clock between them. Under testing/synctest that clock advances
// without waiting, and a run depends only on its seed. A goroutine for each simulated part
// was rejected, because the order of events at the same time would then vary from run to
// run.
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

// Config holds the settings of a Simulation.
type Config struct {
	Seed      uint64
	Instances []config.Instance
	Documents config.Documents
	// Delay is the one-way delay of each hop.
	Delay time.Duration
	// Loss is the probability, 0 to 1, that a packet or datagram is lost.
	Loss float64
	// ControlBytesPerSecond and HashOnly are settings of each balancer; see owned.Config.
	ControlBytesPerSecond int
	HashOnly              bool
	// PlatformReaders is the number of balancers that read the platform. 0 means all.
	PlatformReaders int
	Log             logr.Logger
}

// fabricUpdateDelay is how long the fabric continues to send packets to a balancer that has
// exited.
const fabricUpdateDelay = time.Second

// Simulation is a set of balancers with callers and backend servers. It is not safe for
// concurrent use.
type Simulation struct {
	Callers    *Callers
	Nodes      []*Node
	settings   Config
	random     *rand.Rand
	loop       Loop
	partitions map[[2]string]bool
	bundle     config.Bundle
	// removedControlBytes is the number of control bytes that removed balancers sent.
	removedControlBytes int64
	servers             map[netip.AddrPort]*server
	// PlatformDown keeps all balancers from reading published configurations.
	PlatformDown bool
}

// Node is a simulated balancer.
type Node struct {
	Core     *owned.Core
	Instance config.Instance
	// PlatformUnreachable keeps this balancer from reading published configurations.
	PlatformUnreachable bool
	parser              *packet.Parser
	alive               bool
	paused              bool
	// receivesTraffic is true while the fabric sends packets to the balancer.
	receivesTraffic bool
	// inbox holds what has arrived while the balancer is paused.
	inbox []func()
	// starts counts the starts. A change shows that a scheduled event belongs to an earlier
	// process.
	starts int
}

// New returns a simulation with running balancers. It returns an error if the configuration
// cannot be rendered.
func New(settings Config) (*Simulation, error) {
	s := &Simulation{
		settings:   settings,
		random:     rand.New(rand.NewPCG(settings.Seed, 1)),
		partitions: make(map[[2]string]bool),
		servers:    make(map[netip.AddrPort]*server),
	}
	s.Callers = NewCallers(CallersConfig{Random: s.random, Loop: &s.loop, Send: s.sprayPacket})
	if err := s.Publish(settings.Documents); err != nil {
		return nil, err
	}
	for _, instance := range settings.Instances {
		s.Nodes = append(s.Nodes, &Node{Instance: instance, parser: packet.NewParser()})
	}
	for _, node := range s.Nodes {
		s.Start(node)
	}
	return s, nil
}

func (s *Simulation) after(delay time.Duration, run func()) {
	s.loop.After(delay, run)
}

// Run runs the simulation for the duration.
func (s *Simulation) Run(duration time.Duration) {
	s.loop.Run(duration)
}

// Node returns the balancer with a name, or nil if there is none.
func (s *Simulation) Node(name string) *Node {
	for _, node := range s.Nodes {
		if node.Instance.Name == name {
			return node
		}
	}
	return nil
}

// Add starts a new balancer and publishes a list of instances that contains it.
func (s *Simulation) Add(instance config.Instance) *Node {
	node := &Node{Instance: instance, parser: packet.NewParser()}
	s.Nodes = append(s.Nodes, node)
	s.Start(node)
	s.publishInstances()
	return node
}

// Start starts a balancer's process without any state of an earlier process.
func (s *Simulation) Start(node *Node) {
	node.starts++
	node.alive, node.paused, node.receivesTraffic = true, false, true
	node.inbox = nil
	coreSeed := s.random.Uint64()
	node.Core = owned.New(owned.Config{
		Self:                  node.Instance,
		Rand:                  rand.New(rand.NewPCG(coreSeed, 2)),
		Log:                   s.settings.Log.WithValues("Instance", node.Instance.Name),
		Decisions:             s.settings.Log.WithValues("Instance", node.Instance.Name),
		ControlBytesPerSecond: s.settings.ControlBytesPerSecond,
		HashOnly:              s.settings.HashOnly,
	})
	s.applyOutput(node, node.Core.SetInstances(s.instances()))
	s.deliverBundle(node)
	s.tick(node, node.starts)
}

// tick calls the core's Tick in each TickInterval until the balancer's process ends. The core
// is not called while the process is paused.
func (s *Simulation) tick(node *Node, starts int) {
	if node.starts != starts || !node.alive {
		return
	}
	if !node.paused {
		s.applyOutput(node, node.Core.Tick())
	}
	s.after(owned.TickInterval, func() { s.tick(node, starts) })
}

// Kill ends a balancer's process without notice. The fabric stops sending to it after
// fabricUpdateDelay.
func (s *Simulation) Kill(node *Node) {
	node.alive = false
	node.inbox = nil
	starts := node.starts
	s.after(fabricUpdateDelay, func() {
		if node.starts == starts {
			node.receivesTraffic = false
		}
	})
}

// Leave makes a balancer leave gracefully: the other balancers claim its slots, the fabric
// stops sending to it, and its process exits.
func (s *Simulation) Leave(node *Node) {
	s.applyOutput(node, node.Core.Leave())
	s.after(2*fabricUpdateDelay, func() { node.receivesTraffic = false })
	s.after(4*fabricUpdateDelay, func() {
		s.Kill(node)
		s.remove(node)
	})
}

func (s *Simulation) remove(removed *Node) {
	s.removedControlBytes += removed.Core.Counters.ControlBytes.Load()
	for index, node := range s.Nodes {
		if node == removed {
			s.Nodes = append(s.Nodes[:index:index], s.Nodes[index+1:]...)
			break
		}
	}
	s.publishInstances()
}

// Pause pauses a balancer's process. Packets and messages that arrive are queued.
func (s *Simulation) Pause(node *Node) {
	node.paused = true
}

// Resume resumes a paused process, which first processes what was queued.
func (s *Simulation) Resume(node *Node) {
	node.paused = false
	pending := node.inbox
	node.inbox = nil
	for _, run := range pending {
		run()
	}
	s.applyOutput(node, node.Core.Tick())
}

// Partition drops all traffic between two balancers or failure domains, given by name.
func (s *Simulation) Partition(one, other string) {
	s.partitions[[2]string{one, other}] = true
	s.partitions[[2]string{other, one}] = true
}

// Heal ends all partitions.
func (s *Simulation) Heal() {
	clear(s.partitions)
}

func (s *Simulation) partitioned(one, other config.Instance) bool {
	return s.partitions[[2]string{one.Name, other.Name}] || s.partitions[[2]string{one.Domain, other.Domain}]
}

func (s *Simulation) instances() config.Instances {
	list := config.Instances{}
	for _, node := range s.Nodes {
		list.Instances = append(list.Instances, node.Instance)
	}
	return list
}

// PublishedVersion returns the newest published version.
func (s *Simulation) PublishedVersion() config.Version {
	return s.bundle.Index.Version
}

func (s *Simulation) publishInstances() {
	for _, node := range s.Nodes {
		if node.alive {
			s.deliver(node, func() { s.applyOutput(node, node.Core.SetInstances(s.instances())) })
		}
	}
}

// Publish publishes a configuration on the platform, with the next version. It returns an
// error if the documents cannot be rendered.
func (s *Simulation) Publish(documents config.Documents) error {
	bundle, err := config.Render(documents, s.bundle, s.bundle.Index.Version+1)
	if err != nil {
		return err
	}
	s.bundle = bundle
	s.addServers(documents)
	for index, node := range s.Nodes {
		if s.settings.PlatformReaders > 0 && index >= s.settings.PlatformReaders {
			break
		}
		// The balancers poll the platform independently of each other, every half second.
		jitter := time.Duration(s.random.Int64N(int64(500 * time.Millisecond)))
		s.after(jitter, func() { s.deliverBundle(node) })
	}
	return nil
}

func (s *Simulation) deliverBundle(node *Node) {
	if s.PlatformDown || node.PlatformUnreachable || !node.alive {
		return
	}
	s.deliver(node, func() {
		output, err := node.Core.SetBundle(s.bundle, "platform")
		if err == nil {
			s.applyOutput(node, output)
		}
	})
}

// deliver calls run if the balancer is running, queues it if the balancer is paused, and
// drops it if the balancer's process has ended.
func (s *Simulation) deliver(node *Node, run func()) {
	if !node.alive {
		return
	}
	if node.paused {
		node.inbox = append(node.inbox, run)
		return
	}
	run()
}

// drawLoss reports whether the next packet is lost.
func (s *Simulation) drawLoss() bool {
	return s.settings.Loss > 0 && s.random.Float64() < s.settings.Loss
}

// sprayPacket sends a caller's packet to a random balancer, as a fabric does that balances
// each packet separately.
func (s *Simulation) sprayPacket(data []byte) {
	var targets []*Node
	for _, node := range s.Nodes {
		if node.receivesTraffic {
			targets = append(targets, node)
		}
	}
	if len(targets) == 0 || s.drawLoss() {
		return
	}
	node := targets[s.random.IntN(len(targets))]
	s.after(s.settings.Delay, func() {
		s.deliver(node, func() {
			var parsed packet.Packet
			if err := node.parser.Parse(data, &parsed); err != nil {
				panic(fmt.Sprintf("model: caller sent a malformed packet: %v", err))
			}
			var actions owned.Actions
			node.Core.HandlePacket(&parsed, &actions)
			s.applyActions(node, actions)
		})
	})
}

// applyOutput carries out the actions and sends the messages that a balancer's core returned.
func (s *Simulation) applyOutput(node *Node, output owned.Output) {
	s.applyActions(node, output.Actions)
	for _, message := range output.Probes {
		s.sendDatagram(node, message.To, func(to *Node) { s.applyOutput(to, to.Core.HandleProbe(message.Probe)) })
	}
	for _, envelope := range output.Envelopes {
		to := s.nodeByAddress(envelope.Address)
		if to == nil || s.partitioned(node.Instance, to.Instance) {
			continue
		}
		from := flow.MemberKey(node.Instance.Key())
		s.after(s.settings.Delay, func() {
			s.deliver(to, func() { s.applyOutput(to, to.Core.HandleEnvelope(from, envelope.Body)) })
		})
	}
}

func (s *Simulation) applyActions(node *Node, actions owned.Actions) {
	for _, action := range actions.List {
		switch action.Kind {
		case owned.Forward:
			s.sendToServer(node, action)
		case owned.ReturnToCaller:
			s.after(s.settings.Delay, func() { s.Callers.Receive(action.Packet) })
		case owned.SendToPeer:
			data := append(append([]byte(nil), action.Header()...), action.Packet...)
			s.sendDatagram(node, action.To, func(to *Node) {
				var actions owned.Actions
				var parsed packet.Packet
				if err := to.Core.HandleDatagram(to.parser, &parsed, data, node.Instance.Address, &actions); err == nil {
					s.applyActions(to, actions)
				}
			})
		}
	}
}

// sendDatagram calls receive for the balancer with the address, after the delay of the
// network. It drops the datagram if the network is partitioned or the datagram is lost.
func (s *Simulation) sendDatagram(from *Node, address netip.AddrPort, receive func(to *Node)) {
	to := s.nodeByAddress(address)
	if to == nil || s.partitioned(from.Instance, to.Instance) || s.drawLoss() {
		return
	}
	s.after(s.settings.Delay, func() {
		s.deliver(to, func() { receive(to) })
	})
}

func (s *Simulation) nodeByAddress(address netip.AddrPort) *Node {
	for _, node := range s.Nodes {
		if node.Instance.Address == address {
			return node
		}
	}
	return nil
}

// ControlBytes returns the number of control bytes that all balancers have sent, including
// removed ones.
func (s *Simulation) ControlBytes() int64 {
	total := s.removedControlBytes
	for _, node := range s.Nodes {
		total += node.Core.Counters.ControlBytes.Load()
	}
	return total
}

// Starts returns how often the balancer has been started.
func (n *Node) Starts() int {
	return n.starts
}

// Alive reports whether the balancer's process is running or paused.
func (n *Node) Alive() bool {
	return n.alive
}

// reportInterval is the time between two load reports of a backend server.
const reportInterval = 2 * time.Second

// DeliverReport delivers a load report to the balancers that fetch the backend server's
// reports, once in each reportInterval for the duration.
func (s *Simulation) DeliverReport(backend flow.BackendKey, report place.Report, duration time.Duration) {
	if duration <= 0 {
		return
	}
	for _, node := range s.Nodes {
		if node.alive && node.Core.FetchesReport(backend) {
			report.At = time.Now()
			s.deliver(node, func() { s.applyOutput(node, node.Core.HandleReport(backend, report)) })
		}
	}
	s.after(reportInterval, func() { s.DeliverReport(backend, report, duration-reportInterval) })
}
