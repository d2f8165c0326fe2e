package daemon

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/packet"
)

// relayFlows is the number of flows to which the forwarded packets belong.
const relayFlows = 4096

// floodPackets sends the packets to an address repeatedly, as fast as possible, until stop is
// set.
func floodPackets(b *testing.B, to netip.AddrPort, packets [][]byte, stop *atomic.Bool) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	batcher := ipv4.NewPacketConn(conn)
	batch := make([]ipv4.Message, batchSize)
	for number := 0; !stop.Load(); {
		for index := range batch {
			batch[index].Buffers = [][]byte{packets[number%len(packets)]}
			number++
		}
		_, _ = batcher.WriteBatch(batch, 0)
	}
}

// listenLoopback opens a socket on a free loopback port.
func listenLoopback(b *testing.B) *socket {
	socket, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	return socket
}

func localAddress(s *socket) netip.AddrPort {
	return s.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// benchmarkForwarding runs the loop of a traffic goroutine for b.N packets. The function
// decide adds the actions for one packet.
func benchmarkForwarding(b *testing.B, decide func(parser *packet.Parser, data []byte, parsed *packet.Packet, actions *owned.Actions), packets [][]byte) {
	traffic, peer := listenLoopback(b), listenLoopback(b)
	defer func() { _, _ = traffic.udp.Close(), peer.udp.Close() }()
	var stop atomic.Bool
	var failures atomic.Int64
	for range 2 {
		go func() { floodPackets(b, localAddress(traffic), packets, &stop) }()
	}
	defer stop.Store(true)
	sender := newActionSender(traffic, peer, netip.MustParseAddrPort("127.0.0.1:9"), &failures)
	batch := newReadBatch()
	parsed := make([]packet.Packet, batchSize)
	parser := packet.NewParser()
	actions := &owned.Actions{}
	b.ResetTimer()
	for done := 0; done < b.N; {
		count, err := traffic.conn.ReadBatch(batch, 0)
		if err != nil {
			b.Fatal(err)
		}
		actions.Reset()
		for index := range batch[:count] {
			decide(parser, batch[index].Buffers[0][:batch[index].N], &parsed[index], actions)
		}
		sender.send(actions)
		done += count
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// newRelayCore returns a core with a single backend server, at the address sink, and packets
// of flows that are open on it.
func newRelayCore(b *testing.B, sink netip.AddrPort) (*owned.Core, [][]byte) {
	fleet := model.HorodisFleet()
	documents := fleet.Documents()
	documents.Services = documents.Services[:1]
	documents.Services[0].Backends = documents.Services[0].Backends[:1]
	documents.Services[0].Backends[0].Address = sink
	instance := fleet.Instance(0)
	c := owned.New(owned.Config{Self: instance, Rand: rand.New(rand.NewPCG(1, 2)), ControlBytesPerSecond: 4000})
	bundle, err := config.Render(documents, config.Bundle{}, 1)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.SetBundle(bundle, "test"); err != nil {
		b.Fatal(err)
	}
	for c.HeldSlotCount() == 0 {
		c.Tick()
		time.Sleep(owned.TickInterval)
	}
	parser := packet.NewParser()
	actions := &owned.Actions{}
	var packets [][]byte
	for number := range relayFlows {
		segment := packet.Segment{
			From: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 4000),
			To:   documents.Services[0].Address,
			SYN:  true,
		}
		first, err := segment.Bytes()
		if err != nil {
			b.Fatal(err)
		}
		var parsed packet.Packet
		if err := parser.Parse(first, &parsed); err != nil {
			b.Fatal(err)
		}
		c.HandlePacket(&parsed, actions)
		actions.Reset()
		segment.SYN, segment.ACK, segment.Payload = false, true, make([]byte, 64)
		later, err := segment.Bytes()
		if err != nil {
			b.Fatal(err)
		}
		packets = append(packets, later)
	}
	return c, packets
}

// BenchmarkRelayBare forwards packets without a decision. It is the baseline for
// BenchmarkRelayProduct.
func BenchmarkRelayBare(b *testing.B) {
	sink := listenLoopback(b)
	defer func() { _ = sink.udp.Close() }()
	_, packets := newRelayCore(b, localAddress(sink))
	to := localAddress(sink)
	benchmarkForwarding(b, func(_ *packet.Parser, data []byte, _ *packet.Packet, actions *owned.Actions) {
		actions.List = append(actions.List, owned.Action{Kind: owned.Forward, To: to, Packet: data})
	}, packets)
}

// BenchmarkRelayProduct parses each packet and lets a core decide where it is forwarded.
func BenchmarkRelayProduct(b *testing.B) {
	sink := listenLoopback(b)
	defer func() { _ = sink.udp.Close() }()
	c, packets := newRelayCore(b, localAddress(sink))
	benchmarkForwarding(b, func(parser *packet.Parser, data []byte, parsed *packet.Packet, actions *owned.Actions) {
		if err := parser.Parse(data, parsed); err == nil {
			c.HandlePacket(parsed, actions)
		}
	}, packets)
}
