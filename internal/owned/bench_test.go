package owned_test

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/logs"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/packet"
)

const benchFlows = 300_000

// newSoleBalancer returns a balancer that is alone and owns all slots.
func newSoleBalancer(b *testing.B, decisions logr.Logger) (*owned.Core, config.Service) {
	b.Helper()
	fleet := model.HorodisFleet()
	instance := fleet.Instance(0)
	c := owned.New(owned.Config{
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
	for c.HeldSlotCount() == 0 {
		c.Tick()
		time.Sleep(owned.TickInterval)
	}
	return c, fleet.Documents().Services[0]
}

// callerAddress returns a distinct caller address and port for each number.
func callerAddress(number int) netip.AddrPort {
	address := netip.AddrFrom4([4]byte{10, byte(number >> 24), byte(number >> 16), byte(number >> 8)})
	return netip.AddrPortFrom(address, 1024+uint16(number&0xff))
}

// newPacket returns a TCP packet of the numbered flow to a service.
func newPacket(service config.Service, number int, first bool) packet.Packet {
	return packet.Packet{
		Key: flow.Key{
			Protocol: flow.TCP,
			Caller:   callerAddress(number),
			Service:  service.Address,
		},
		Bytes: make([]byte, 60),
		First: first,
		Ack:   !first,
	}
}

// openFlows opens benchFlows flows.
func openFlows(c *owned.Core, service config.Service, actions *owned.Actions) {
	for number := range benchFlows {
		first := newPacket(service, number, true)
		c.HandlePacket(&first, actions)
		actions.Reset()
	}
}

func BenchmarkPacketKnownFlow(b *testing.B) {
	c, service := newSoleBalancer(b, logr.Logger{})
	actions := &owned.Actions{}
	openFlows(c, service, actions)
	// The packet is in the CPU cache, as it has just been parsed. The flows are visited
	// with a stride that is coprime to their number, so that records are not cached.
	const stride = 104_729
	later := newPacket(service, 0, false)
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		later.Key.Caller = callerAddress(number)
		c.HandlePacket(&later, actions)
		actions.Reset()
		number = (number + stride) % benchFlows
	}
}

func benchmarkNewFlows(b *testing.B, decisions logr.Logger) {
	c, service := newSoleBalancer(b, decisions)
	actions := &owned.Actions{}
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		first := newPacket(service, number, true)
		c.HandlePacket(&first, actions)
		actions.Reset()
		number++
	}
}

func BenchmarkPacketNewFlow(b *testing.B) {
	benchmarkNewFlows(b, logr.Logger{})
}

func BenchmarkPacketNewFlowLogged(b *testing.B) {
	writer := logs.NewWriter(io.Discard)
	defer writer.Close()
	benchmarkNewFlows(b, logs.New(writer))
	b.ReportMetric(float64(writer.Dropped())/float64(b.N), "dropped/op")
}

func BenchmarkPacketParse(b *testing.B) {
	service := model.HorodisFleet().Documents().Services[0]
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
		c, service := newSoleBalancer(b, logr.Logger{})
		actions := &owned.Actions{}
		runtime.GC()
		runtime.ReadMemStats(&before)
		openFlows(c, service, actions)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchFlows, "B/flow")
		runtime.KeepAlive(c)
	}
}

func BenchmarkCapacityTick(b *testing.B) {
	c, service := newSoleBalancer(b, logr.Logger{})
	actions := &owned.Actions{}
	openFlows(c, service, actions)
	for b.Loop() {
		c.Tick()
	}
}
