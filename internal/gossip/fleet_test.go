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

// serversTold is how many backend servers a node of the tests has load on.
const serversTold = 1000

// fleet is a number of nodes on a network that loses, cuts and freezes.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*node
	seeds  []netip.AddrPort
	loss   float64
	// side is each node's side of a cut.
	side     map[int]int
	inFlight []delivery
	bytes    int
	sent     int
	// groups are those of the backend servers that the nodes have load on.
	groups  []tally.Group
	servers []tally.Server
	// rate is what each node's link carries in bytes a second, 0 for any number;
	// longest is the longest time that a datagram has waited for it.
	rate    float64
	longest time.Duration
}

type node struct {
	*gossip.Node
	number  int
	replica *state.Replica
	dead    bool
	frozen  bool
	// reported is when the node told of its load last, and totals what it was told of the
	// others' in each group.
	reported time.Time
	totals   map[tally.GroupID][]tally.Load
	used     []int
	version  state.Version
	fell     bool
	// free is when the node's link has sent all that waits for it.
	free time.Time
	// sent is the bytes sent since the fleet's count began.
	sent int
}

type delivery struct {
	to, from int
	data     []byte
	at       time.Time
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number % 4), byte(number >> 8), byte(number)}), 7000)
}

func numberOf(address netip.AddrPort) int {
	bytes := address.Addr().As4()
	return int(bytes[2])<<8 | int(bytes[3])
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 7)), side: make(map[int]int)}
	for number := range min(3, size) {
		f.seeds = append(f.seeds, addressOf(number))
	}
	for number := range size {
		f.nodes = append(f.nodes, nil)
		f.start(number)
	}
	return f
}

// start begins a new life of a node, which knows nothing.
func (f *fleet) start(number int) {
	n := &node{number: number, replica: state.NewReplica(), totals: make(map[tally.GroupID][]tally.Load)}
	n.used = f.subset(number)
	made, err := gossip.New(gossip.Config{
		Name:    fmt.Sprintf("entry-%d", number),
		Domain:  fmt.Sprintf("domain-%d", number%4),
		Address: addressOf(number),
		Seeds:   f.seeds,
		Rand:    rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		Log:     logr.Discard(),
		Replica: n.replica,
		Reports: func(now time.Time) []tagged.Report { return f.reports(n, now) },
		TakeTotals: func(group tally.GroupID, loads []tally.Load, _ time.Time) {
			n.totals[group] = loads
		},
		Changed: func(string, time.Time) {
			if c := n.replica.Configuration(); c != nil {
				n.fell = n.fell || c.Version < n.version
				n.version = c.Version
			}
		},
		Confirmed:   func(time.Time) {},
		Inquired:    func(netip.AddrPort, []state.Tag, time.Time) {},
		TakeOpinion: func(string, tagged.Opinion, time.Time) {},
	})
	if err != nil {
		panic(err)
	}
	n.Node = made
	f.nodes[number] = n
}

func (f *fleet) send(from int, messages []gossip.Message) {
	for _, message := range messages {
		f.sent++
		f.bytes += len(message.Data)
		f.nodes[from].sent += len(message.Data) + headerBytes
		f.inFlight = append(f.inFlight, delivery{to: numberOf(message.To), from: from, data: message.Data, at: f.leaves(from, message)})
	}
}

// headerBytes is what IP and UDP add to a datagram.
const headerBytes = 28

// leaves returns when a node's link has sent a datagram.
func (f *fleet) leaves(from int, message gossip.Message) time.Time {
	n := f.nodes[from]
	if f.rate == 0 {
		return f.now
	}
	if n.free.Before(f.now) {
		n.free = f.now
	}
	n.free = n.free.Add(time.Duration(float64(len(message.Data)+headerBytes) / f.rate * float64(time.Second)))
	f.longest = max(f.longest, n.free.Sub(f.now))
	return n.free
}

// run lets time pass; a datagram takes one step of 20 ms.
func (f *fleet) run(span time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(step)
		arriving := f.inFlight
		f.inFlight = nil
		for _, d := range arriving {
			if d.at.After(f.now.Add(-step)) {
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
	if to.dead || to.frozen || f.side[d.to] != f.side[d.from] || f.random.Float64() < f.loss {
		return
	}
	messages, err := to.Receive(d.data, addressOf(d.from), f.now)
	if err != nil {
		panic(err)
	}
	f.send(d.to, messages)
}

// read gives one node what the platform has published.
func (f *fleet) read(number int, delta state.Delta) {
	f.send(number, f.nodes[number].TakeReading(delta, f.now))
}

func (f *fleet) live() []*node {
	var list []*node
	for _, n := range f.nodes {
		if !n.dead {
			list = append(list, n)
		}
	}
	return list
}

// problem says what is wrong when everybody should know everybody.
func (f *fleet) problem() string {
	live := f.live()
	readers := make(map[int]int)
	domains := make(map[int]bool)
	for _, n := range live {
		if got := n.Count(); got != len(live) {
			return fmt.Sprintf("node %d knows %d of %d live members", n.number, got, len(live))
		}
		if n.replica.Revision() != live[0].replica.Revision() {
			return fmt.Sprintf("node %d is at revision %d, node %d at %d", n.number, n.replica.Revision(), live[0].number, live[0].replica.Revision())
		}
		if n.fell {
			return fmt.Sprintf("node %d went back to an older version", n.number)
		}
		domains[n.number%4] = true
		if n.Reader(f.now) {
			readers[n.number%4]++
		}
	}
	if len(readers) != min(2, len(domains)) {
		return fmt.Sprintf("%d domains have %d readers: %v", len(domains), len(readers), readers)
	}
	return ""
}

// serve has the nodes place flows on so many servers.
func (f *fleet) serve(count int) {
	f.servers = nil
	for number := range count {
		backend := state.Backend{Name: fmt.Sprintf("i-%06x", number)}
		f.servers = append(f.servers, tally.Server{
			Tag: backend.Tag(), Service: fmt.Sprintf("service-%d", number%3), Domain: fmt.Sprintf("domain-%d", number%4),
		})
	}
	f.groups = tally.Split(f.servers)
	for _, n := range f.nodes {
		n.used = f.subset(n.number)
	}
}

func (f *fleet) subset(number int) []int {
	if len(f.groups) == 0 {
		return nil
	}
	return tally.Subset(f.groups, fmt.Sprintf("entry-%d", number), fmt.Sprintf("domain-%d", number%4))
}

// reports returns a load of one request more than its number on each server that a node
// uses, as often as a balancer reports.
func (f *fleet) reports(n *node, now time.Time) []tagged.Report {
	if now.Sub(n.reported) < max(50*time.Millisecond, time.Duration(len(n.used))*40*time.Millisecond) {
		return nil
	}
	n.reported = now
	var list []tagged.Report
	for _, index := range n.used {
		group := f.groups[index]
		report := tagged.Report{Group: group.ID, Domain: group.Domain, Asks: true}
		for _, server := range group.Servers {
			report.Loads = append(report.Loads, tally.Load{Tag: f.servers[server].Tag, InFlight: n.number + 1, OpenFlows: 3})
		}
		list = append(list, report)
	}
	return list
}

// ignorance returns the share of the load on the servers that nodes use of which they do
// not know, or know too much.
func (f *fleet) ignorance() float64 {
	there := make(map[tally.GroupID]int)
	for _, n := range f.live() {
		for _, index := range n.used {
			there[f.groups[index].ID] += n.number + 1
		}
	}
	wrong, whole := 0.0, 0.0
	for _, n := range f.live() {
		for _, index := range n.used {
			group := f.groups[index]
			others := float64(there[group.ID] - n.number - 1)
			known := make(map[state.Tag]int)
			for _, load := range n.totals[group.ID] {
				known[load.Tag] = load.InFlight
			}
			for _, server := range group.Servers {
				wrong += math.Abs(others - float64(known[f.servers[server].Tag]))
				whole += others
			}
		}
	}
	return wrong / whole
}
