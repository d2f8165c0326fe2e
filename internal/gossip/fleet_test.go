package gossip_test

// A simulated fleet of nodes and its network.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/gossip"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/tally"
)

// reportedServers is the number of backend servers on which the nodes report load.
const reportedServers = 1000

// fleet is a number of nodes on a network that can lose datagrams, partition, and freeze
// nodes.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*node
	seeds  []netip.AddrPort
	loss   float64
	// partition is the side of the network partition that each node is on.
	partition      map[int]int
	inFlight       []delivery
	totalBytes     int
	totalDatagrams int
	// groups are those of the backend servers on which the nodes have load.
	groups  []tally.Group
	servers []tally.Server
	// linkRate is the capacity of each node's link in bytes a second, 0 for no limit.
	// maxWait is the longest time that a datagram has taken to be queued and sent on its
	// sender's link.
	linkRate float64
	maxWait  time.Duration
}

// node is a simulated balancer.
type node struct {
	*gossip.Node
	number  int
	replica *state.Replica
	dead    bool
	frozen  bool
	// lastReport is when the node last reported its load. totals is the load of the other
	// nodes on each group, as reported to this node.
	lastReport       time.Time
	peerLoads        map[tally.GroupID][]tally.Load
	groupIndexes     []int
	version          state.Version
	versionDecreased bool
	// linkFreeAt is when the node's link has sent all queued datagrams.
	linkFreeAt time.Time
	// sentBytes counts the bytes sent since the last resetSentBytes, with IP and UDP
	// headers.
	sentBytes int
}

// delivery is a datagram in flight between two nodes.
type delivery struct {
	to, from int
	data     []byte
	sentAt   time.Time
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number % 4), byte(number >> 8), byte(number)}), 7000)
}

func numberOf(address netip.AddrPort) int {
	bytes := address.Addr().As4()
	return int(bytes[2])<<8 | int(bytes[3])
}

// newFleet returns a fleet whose first three nodes are the seeds.
func newFleet(size int, seed uint64) *fleet {
	f := &fleet{now: startTime, random: rand.New(rand.NewPCG(seed, 7)), partition: make(map[int]int)}
	for number := range min(3, size) {
		f.seeds = append(f.seeds, addressOf(number))
	}
	for number := range size {
		f.nodes = append(f.nodes, nil)
		f.startNode(number)
	}
	return f
}

// startNode starts or restarts a node with an empty state.
func (f *fleet) startNode(number int) {
	n := &node{number: number, replica: state.NewReplica(), peerLoads: make(map[tally.GroupID][]tally.Load)}
	n.groupIndexes = f.usedGroups(number)
	created, err := gossip.New(gossip.Config{
		Name:           fmt.Sprintf("entry-%d", number),
		Domain:         fmt.Sprintf("domain-%d", number%4),
		Address:        addressOf(number),
		Seeds:          f.seeds,
		Rand:           rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		Log:            logr.Discard(),
		Replica:        n.replica,
		DueLoadReports: func(now time.Time) []tagged.LoadReport { return f.dueReports(n, now) },
		HandlePeerLoads: func(group tally.GroupID, loads []tally.Load, _ time.Time) {
			n.peerLoads[group] = loads
		},
		OnChange: func(string, time.Time) {
			if c := n.replica.Configuration(); c != nil {
				n.versionDecreased = n.versionDecreased || c.Version < n.version
				n.version = c.Version
			}
		},
		OnConfirm:                func(time.Time) {},
		HandleReachabilityQuery:  func(netip.AddrPort, []state.Tag, time.Time) {},
		HandleReachabilityReport: func(string, tagged.ReachabilityReport, time.Time) {},
	})
	if err != nil {
		panic(err)
	}
	n.Node = created
	f.nodes[number] = n
}

func (f *fleet) send(from int, messages []gossip.Message) {
	for _, message := range messages {
		f.totalDatagrams++
		f.totalBytes += len(message.Data)
		f.nodes[from].sentBytes += len(message.Data) + datagramHeaderSize
		f.inFlight = append(f.inFlight, delivery{to: numberOf(message.To), from: from, data: message.Data, sentAt: f.transmitEnd(from, message)})
	}
}

// datagramHeaderSize is the size of the IP and UDP headers in bytes.
const datagramHeaderSize = 28

// transmitEnd queues a datagram on a node's link and returns when it has been sent.
func (f *fleet) transmitEnd(from int, message gossip.Message) time.Time {
	n := f.nodes[from]
	if f.linkRate == 0 {
		return f.now
	}
	if n.linkFreeAt.Before(f.now) {
		n.linkFreeAt = f.now
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(float64(len(message.Data)+datagramHeaderSize) / f.linkRate * float64(time.Second)))
	f.maxWait = max(f.maxWait, n.linkFreeAt.Sub(f.now))
	return n.linkFreeAt
}

// advance runs the simulation for a time span in steps of 20 ms. A datagram arrives one
// step after it was sent.
func (f *fleet) advance(span time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(step)
		arriving := f.inFlight
		f.inFlight = nil
		for _, d := range arriving {
			if d.sentAt.After(f.now.Add(-step)) {
				f.inFlight = append(f.inFlight, d)
				continue
			}
			f.deliver(d)
		}
		for _, n := range f.nodes {
			if !n.dead && !n.frozen {
				f.send(n.number, n.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver(d delivery) {
	to := f.nodes[d.to]
	if to.dead || to.frozen || f.partition[d.to] != f.partition[d.from] || f.random.Float64() < f.loss {
		return
	}
	messages, err := to.Receive(d.data, addressOf(d.from), f.now)
	if err != nil {
		panic(err)
	}
	f.send(d.to, messages)
}

// applyPlatformDelta delivers a delta from the platform to one node.
func (f *fleet) applyPlatformDelta(number int, delta state.Delta) {
	f.send(number, f.nodes[number].ApplyPlatformDelta(delta, f.now))
}

func (f *fleet) liveNodes() []*node {
	var list []*node
	for _, n := range f.nodes {
		if !n.dead {
			list = append(list, n)
		}
	}
	return list
}

// convergenceProblem describes the first difference from a converged fleet, or returns "" if
// there is none. In a converged fleet every node knows all live members and the same
// revision, no node's configuration version has decreased, and exactly two failure domains
// have readers, or one if there is only one domain.
func (f *fleet) convergenceProblem() string {
	live := f.liveNodes()
	readers := make(map[int]int)
	domains := make(map[int]bool)
	for _, n := range live {
		if got := n.LiveCount(); got != len(live) {
			return fmt.Sprintf("node %d knows %d of %d live members", n.number, got, len(live))
		}
		if n.replica.Revision() != live[0].replica.Revision() {
			return fmt.Sprintf("node %d is at revision %d, node %d at %d", n.number, n.replica.Revision(), live[0].number, live[0].replica.Revision())
		}
		if n.versionDecreased {
			return fmt.Sprintf("configuration version of node %d decreased", n.number)
		}
		domains[n.number%4] = true
		if n.IsReader(f.now) {
			readers[n.number%4]++
		}
	}
	if len(readers) != min(2, len(domains)) {
		return fmt.Sprintf("of %d domains, %d have readers (count by domain: %v)", len(domains), len(readers), readers)
	}
	return ""
}

// countReaders returns the number of live nodes that read the platform.
func (f *fleet) countReaders() int {
	readers := 0
	for _, n := range f.liveNodes() {
		if n.IsReader(f.now) {
			readers++
		}
	}
	return readers
}

// setServers makes the nodes report load on count servers.
func (f *fleet) setServers(count int) {
	f.servers = nil
	for number := range count {
		backend := state.Backend{Name: fmt.Sprintf("i-%06x", number)}
		f.servers = append(f.servers, tally.Server{
			Tag: backend.Tag(), Service: fmt.Sprintf("service-%d", number%3), Domain: fmt.Sprintf("domain-%d", number%4),
		})
	}
	f.groups = tally.Split(f.servers)
	for _, n := range f.nodes {
		n.groupIndexes = f.usedGroups(n.number)
	}
}

func (f *fleet) usedGroups(number int) []int {
	if len(f.groups) == 0 {
		return nil
	}
	return tally.Subset(f.groups, fmt.Sprintf("entry-%d", number), fmt.Sprintf("domain-%d", number%4))
}

// dueReports returns reports with a load of number+1 requests on each server that the node
// uses, at the interval at which a balancer reports.
func (f *fleet) dueReports(n *node, now time.Time) []tagged.LoadReport {
	if now.Sub(n.lastReport) < max(50*time.Millisecond, time.Duration(len(n.groupIndexes))*40*time.Millisecond) {
		return nil
	}
	n.lastReport = now
	var list []tagged.LoadReport
	for _, index := range n.groupIndexes {
		group := f.groups[index]
		report := tagged.LoadReport{Group: group.ID, Domain: group.Domain, WantsPeerLoads: true}
		for _, server := range group.Servers {
			report.Loads = append(report.Loads, tally.Load{Tag: f.servers[server].Tag, InFlight: n.number + 1, OpenFlows: 3})
		}
		list = append(list, report)
	}
	return list
}

// unknownLoadShare returns the absolute error of the nodes' knowledge of the other nodes'
// load on the servers that they use, as a fraction of that load.
func (f *fleet) unknownLoadShare() float64 {
	total := make(map[tally.GroupID]int)
	for _, n := range f.liveNodes() {
		for _, index := range n.groupIndexes {
			total[f.groups[index].ID] += n.number + 1
		}
	}
	wrong, sum := 0.0, 0.0
	for _, n := range f.liveNodes() {
		for _, index := range n.groupIndexes {
			group := f.groups[index]
			others := float64(total[group.ID] - n.number - 1)
			known := make(map[state.Tag]int)
			for _, load := range n.peerLoads[group.ID] {
				known[load.Tag] = load.InFlight
			}
			for _, server := range group.Servers {
				wrong += math.Abs(others - float64(known[f.servers[server].Tag]))
				sum += others
			}
		}
	}
	return wrong / sum
}
