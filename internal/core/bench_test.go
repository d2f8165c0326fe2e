package core_test

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/core"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/logs"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/packet"
)

const benchFlows = 300_000

// lone returns a balancer that owns all slots.
func lone(b *testing.B, decisions logr.Logger) (*core.Core, config.Service) {
	b.Helper()
	fleet := model.TimerFleet()
	instance := fleet.Instance(0)
	c := core.New(core.Config{
		Self:                  instance,
		Rand:                  rand.New(rand.NewPCG(1, 2)),
		Log:                   logr.Discard(),
		Decisions:             decisions,
		ControlBytesPerSecond: controlBytes,
	})
	bundle, err := config.Render(fleet.Documents(), config.Bundle{}, 1)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.SetBundle(bundle, "test"); err != nil {
		b.Fatal(err)
	}
	c.SetInstances(config.Instances{Instances: []config.Instance{instance}})
	for c.HeldSlots() == 0 {
		c.Tick()
		time.Sleep(core.TickPeriod)
	}
	return c, fleet.Documents().Services[0]
}

func packetOf(service config.Service, number int, first bool) packet.Packet {
	address := netip.AddrFrom4([4]byte{10, byte(number >> 24), byte(number >> 16), byte(number >> 8)})
	return packet.Packet{
		Key: flow.Key{
			Protocol: flow.TCP,
			Caller:   netip.AddrPortFrom(address, 1024+uint16(number&0xff)),
			Service:  service.Address,
		},
		Bytes: make([]byte, 60),
		First: first,
		Ack:   !first,
	}
}

func BenchmarkPacketKnownFlow(b *testing.B) {
	c, service := lone(b, logr.Logger{})
	actions := &core.Actions{}
	packets := make([]packet.Packet, benchFlows)
	for number := range packets {
		first := packetOf(service, number, true)
		c.Packet(&first, actions)
		packets[number] = packetOf(service, number, false)
		actions.Reset()
	}
	// Packets come in no order that a cache could know.
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		c.Packet(&packets[number], actions)
		actions.Reset()
		number = (number + 1) % len(packets)
	}
}

func benchmarkNew(b *testing.B, decisions logr.Logger) {
	c, service := lone(b, decisions)
	actions := &core.Actions{}
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		first := packetOf(service, number, true)
		c.Packet(&first, actions)
		actions.Reset()
		number++
	}
}

func BenchmarkPacketNewFlow(b *testing.B) {
	benchmarkNew(b, logr.Logger{})
}

func BenchmarkPacketNewFlowLogged(b *testing.B) {
	writer := logs.NewWriter(io.Discard)
	defer writer.Close()
	benchmarkNew(b, logs.New(writer))
	b.ReportMetric(float64(writer.Dropped())/float64(b.N), "dropped/op")
}

func BenchmarkPacketParse(b *testing.B) {
	service := model.TimerFleet().Documents().Services[0]
	data, err := packet.Segment{From: netip.MustParseAddrPort("10.0.0.1:1024"), To: service.Address, ACK: true, Payload: make([]byte, 64)}.Bytes()
	if err != nil {
		b.Fatal(err)
	}
	parser := packet.NewParser()
	var parsed packet.Packet
	b.ReportAllocs()
	for b.Loop() {
		if err := parser.Parse(data, &parsed); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMemoryPerFlow(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		c, service := lone(b, logr.Logger{})
		actions := &core.Actions{}
		runtime.GC()
		runtime.ReadMemStats(&before)
		for number := range benchFlows {
			first := packetOf(service, number, true)
			c.Packet(&first, actions)
			actions.Reset()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchFlows, "B/flow")
		runtime.KeepAlive(c)
	}
}

func BenchmarkCapacityTick(b *testing.B) {
	c, service := lone(b, logr.Logger{})
	actions := &core.Actions{}
	for number := range benchFlows {
		first := packetOf(service, number, true)
		c.Packet(&first, actions)
		actions.Reset()
	}
	for b.Loop() {
		c.Tick()
	}
}
