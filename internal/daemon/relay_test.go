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

// relayFlows is how many flows the forwarded packets belong to.
const relayFlows = 4096

// flood fills a socket with packets of open flows until it is closed.
func flood(b *testing.B, to netip.AddrPort, packets [][]byte, stop *atomic.Bool) {
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

func local(b *testing.B) *socket {
	s, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	return s
}

func addressOf(s *socket) netip.AddrPort {
	return s.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// forward runs one traffic goroutine's loop for b.N packets.
func forward(b *testing.B, decide func(parser *packet.Parser, data []byte, parsed *packet.Packet, actions *owned.Actions), packets [][]byte) {
	in, peer := local(b), local(b)
	defer func() { _, _ = in.udp.Close(), peer.udp.Close() }()
	var stop atomic.Bool
	var failures atomic.Int64
	for range 2 {
		go func() { flood(b, addressOf(in), packets, &stop) }()
	}
	defer stop.Store(true)
	send := newSender(in, peer, netip.MustParseAddrPort("127.0.0.1:9"), &failures)
	batch := newBatch()
	parsed := make([]packet.Packet, batchSize)
	parser := packet.NewParser()
	actions := &owned.Actions{}
	b.ResetTimer()
	for done := 0; done < b.N; {
		count, err := in.conn.ReadBatch(batch, 0)
		if err != nil {
			b.Fatal(err)
		}
		actions.Reset()
		for index := range batch[:count] {
			decide(parser, batch[index].Buffers[0][:batch[index].N], &parsed[index], actions)
		}
		send.send(actions)
		done += count
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// relayCore returns a core whose backend servers are all at one sink, and packets
// of flows that are open on it.
func relayCore(b *testing.B, sink netip.AddrPort) (*owned.Core, [][]byte) {
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

// BenchmarkRelayBare forwards without deciding anything, as the yardstick.
func BenchmarkRelayBare(b *testing.B) {
	sink := local(b)
	defer func() { _ = sink.udp.Close() }()
	_, packets := relayCore(b, addressOf(sink))
	to := addressOf(sink)
	forward(b, func(_ *packet.Parser, data []byte, _ *packet.Packet, actions *owned.Actions) {
		actions.List = append(actions.List, owned.Action{Kind: owned.Forward, To: to, Packet: data})
	}, packets)
}

// BenchmarkRelayProduct forwards with a decision for each packet.
func BenchmarkRelayProduct(b *testing.B) {
	sink := local(b)
	defer func() { _ = sink.udp.Close() }()
	c, packets := relayCore(b, addressOf(sink))
	forward(b, func(parser *packet.Parser, data []byte, parsed *packet.Packet, actions *owned.Actions) {
		if err := parser.Parse(data, parsed); err == nil {
			c.HandlePacket(parsed, actions)
		}
	}, packets)
}
