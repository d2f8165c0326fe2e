package gossip_test

// A fleet of nodes on a network of the test's own.

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

// reportedServers is how many backend servers a node of the tests has load on.
const reportedServers = 1000

// fleet is a number of nodes on a network that loses, cuts and freezes.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*node
	seeds  []netip.AddrPort
	loss   float64
	// side is each node's side of a cut.
	partition      map[int]int
	inFlight       []delivery
	totalBytes     int
	totalDatagrams int
	// groups are those of the backend servers that the nodes have load on.
	groups  []tally.Group
	servers []tally.Server
	// rate is what each node's link carries in bytes a second, 0 for any number;
	// longest is the longest time that a datagram has waited for it.
	linkRate float64
	maxWait  time.Duration
}

type node struct {
	*gossip.Node
	number  int
	replica *state.Replica
	dead    bool
	frozen  bool
	// reported is when the node told of its load last, and totals what it was told of the
	// others' in each group.
	lastReport       time.Time
	totals           map[tally.GroupID][]tally.Load
	groupIndexes     []int
	version          state.Version
	versionDecreased bool
	// free is when the node's link has sent all that waits for it.
	linkFreeAt time.Time
	// sent is the bytes sent since the fleet's count began.
	sentBytes int
}

type delivery struct {
	to, from  int
	data      []byte
	arrivesAt time.Time
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number % 4), byte(number >> 8), byte(number)}), 7000)
}

func numberOf(address netip.AddrPort) int {
	bytes := address.Addr().As4()
	return int(bytes[2])<<8 | int(bytes[3])
}

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

// start begins a new life of a node, which knows nothing.
func (f *fleet) startNode(number int) {
	n := &node{number: number, replica: state.NewReplica(), totals: make(map[tally.GroupID][]tally.Load)}
	n.groupIndexes = f.usedGroups(number)
	made, err := gossip.New(gossip.Config{
		Name:       fmt.Sprintf("entry-%d", number),
		Domain:     fmt.Sprintf("domain-%d", number%4),
		Address:    addressOf(number),
		Seeds:      f.seeds,
		Rand:       rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		Log:        logr.Discard(),
		Replica:    n.replica,
		DueReports: func(now time.Time) []tagged.Report { return f.dueReports(n, now) },
		HandleTotals: func(group tally.GroupID, loads []tally.Load, _ time.Time) {
			n.totals[group] = loads
		},
		OnChange: func(string, time.Time) {
			if c := n.replica.Configuration(); c != nil {
				n.versionDecreased = n.versionDecreased || c.Version < n.version
				n.version = c.Version
			}
		},
		OnConfirm:     func(time.Time) {},
		HandleInquiry: func(netip.AddrPort, []state.Tag, time.Time) {},
		HandleOpinion: func(string, tagged.Opinion, time.Time) {},
	})
	if err != nil {
		panic(err)
	}
	n.Node = made
	f.nodes[number] = n
}

func (f *fleet) send(from int, messages []gossip.Message) {
	for _, message := range messages {
		f.totalDatagrams++
		f.totalBytes += len(message.Data)
		f.nodes[from].sentBytes += len(message.Data) + headerBytes
		f.inFlight = append(f.inFlight, delivery{to: numberOf(message.To), from: from, data: message.Data, arrivesAt: f.transmitEnd(from, message)})
	}
}

// headerBytes is what IP and UDP add to a datagram.
const headerBytes = 28

// leaves returns when a node's link has sent a datagram.
func (f *fleet) transmitEnd(from int, message gossip.Message) time.Time {
	n := f.nodes[from]
	if f.linkRate == 0 {
		return f.now
	}
	if n.linkFreeAt.Before(f.now) {
		n.linkFreeAt = f.now
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(float64(len(message.Data)+headerBytes) / f.linkRate * float64(time.Second)))
	f.maxWait = max(f.maxWait, n.linkFreeAt.Sub(f.now))
	return n.linkFreeAt
}

// run lets time pass; a datagram takes one step of 20 ms.
func (f *fleet) advance(span time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(step)
		arriving := f.inFlight
		f.inFlight = nil
		for _, d := range arriving {
			if d.arrivesAt.After(f.now.Add(-step)) {
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

// read gives one node what the platform has published.
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

// problem says what is wrong when everybody should know everybody.
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
			return fmt.Sprintf("node %d went back to an older version", n.number)
		}
		domains[n.number%4] = true
		if n.IsReader(f.now) {
			readers[n.number%4]++
		}
	}
	if len(readers) != min(2, len(domains)) {
		return fmt.Sprintf("%d domains have %d readers: %v", len(domains), len(readers), readers)
	}
	return ""
}

// serve has the nodes place flows on so many servers.
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

// reports returns a load of one request more than its number on each server that a node
// uses, as often as a balancer reports.
func (f *fleet) dueReports(n *node, now time.Time) []tagged.Report {
	if now.Sub(n.lastReport) < max(50*time.Millisecond, time.Duration(len(n.groupIndexes))*40*time.Millisecond) {
		return nil
	}
	n.lastReport = now
	var list []tagged.Report
	for _, index := range n.groupIndexes {
		group := f.groups[index]
		report := tagged.Report{Group: group.ID, Domain: group.Domain, Asks: true}
		for _, server := range group.Servers {
			report.Loads = append(report.Loads, tally.Load{Tag: f.servers[server].Tag, Busy: n.number + 1, Open: 3})
		}
		list = append(list, report)
	}
	return list
}

// ignorance returns the share of the load on the servers that nodes use of which they do
// not know, or know too much.
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
			for _, load := range n.totals[group.ID] {
				known[load.Tag] = load.Busy
			}
			for _, server := range group.Servers {
				wrong += math.Abs(others - float64(known[f.servers[server].Tag]))
				sum += others
			}
		}
	}
	return wrong / sum
}
