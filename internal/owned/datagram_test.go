package owned_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/wire"
)

// newListedPair returns a balancer whose instance list contains itself and one other
// balancer, which does not run.
func newListedPair(t testing.TB) (*owned.Core, model.FleetConfig) {
	fleet := model.HorodisFleet()
	c := owned.New(owned.Config{Self: fleet.Instance(0), Rand: rand.New(rand.NewPCG(1, 2)), ControlBytesPerSecond: 4000})
	bundle, err := config.Render(fleet.Documents(), config.Bundle{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.SetBundle(bundle, "test"); err != nil {
		t.Fatal(err)
	}
	c.SetInstances(config.Instances{Instances: fleet.Instances()[:2]})
	return c, fleet
}

// Example passes a packet to a core and reads the resulting actions.
func Example() {
	fleet := model.HorodisFleet()
	sim, err := model.New(model.Config{Seed: 1, Instances: fleet.Instances(), Documents: fleet.Documents(), Delay: time.Millisecond, ControlBytesPerSecond: 4000})
	if err != nil {
		return
	}
	var actions owned.Actions
	var parsed packet.Packet
	data, _ := packet.Segment{From: netip.MustParseAddrPort("203.0.113.9:40000"), To: fleet.Documents().Services[0].Address, SYN: true}.Bytes()
	if err := packet.NewParser().Parse(data, &parsed); err != nil {
		return
	}
	// A balancer that has not found the others yet decides for no packets.
	sim.Nodes[0].Core.HandlePacket(&parsed, &actions)
	fmt.Println(len(actions.List))
	// Output: 0
}

func TestUnknownSendersRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fleet := newListedPair(t)
		var actions owned.Actions
		var scratch packet.Packet
		data := wire.AppendAnswer(nil, wire.Answer{Flow: 1})
		stranger := netip.MustParseAddrPort("203.0.113.1:7700")
		if err := c.HandleDatagram(packet.NewParser(), &scratch, data, stranger, &actions); !errors.Is(err, owned.ErrUnknownSender) {
			t.Fatalf("datagram of an unknown sender: got error %v, expected ErrUnknownSender", err)
		}
		if err := c.HandleDatagram(packet.NewParser(), &scratch, data, fleet.Instance(1).Address, &actions); err != nil {
			t.Fatalf("datagram of a peer: %v", err)
		}
		c.HandleEnvelope(flow.MemberKey(99), &wire.Envelope{})
		c.HandleProbe(&wire.Probe{From: 99})
		if got := c.Counters.DroppedStranger.Load(); got != 3 {
			t.Fatalf("DroppedStranger is %d, expected 3", got)
		}
	})
}

func FuzzCoreDatagram(f *testing.F) {
	c, fleet := newListedPair(f)
	data, err := packet.Segment{From: netip.MustParseAddrPort("203.0.113.9:40000"), To: fleet.Documents().Services[0].Address, SYN: true}.Bytes()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(wire.AppendHandOver(nil, 1), data...))
	f.Add(append(wire.AppendInstall(nil, wire.Install{Backend: 5, Length: 1}), data...))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var actions owned.Actions
		var scratch packet.Packet
		// Most inputs are malformed, so errors are expected. Panics are not.
		_ = c.HandleDatagram(packet.NewParser(), &scratch, data, fleet.Instance(1).Address, &actions)
	})
}

func FuzzCoreEnvelope(f *testing.F) {
	c, fleet := newListedPair(f)
	from := fleet.Instance(1).Key()
	for _, body := range []*wire.Envelope{
		{Body: &wire.Envelope_Claim{Claim: &wire.Claim{Slots: &wire.SlotSet{Many: []byte{255}, Few: []uint32{9999}}}}},
		{Body: &wire.Envelope_Sync{Sync: &wire.Sync{Slots: []*wire.SlotState{{Slot: 3, Flows: []uint64{1}, Backends: []uint32{1}}}}}},
		{Body: &wire.Envelope_ClaimReply{ClaimReply: &wire.ClaimReply{Kept: &wire.SlotSet{Many: []byte{1}}, Slots: []*wire.SlotState{{Slot: 9999}}}}},
		{Body: &wire.Envelope_Rebase{Rebase: &wire.Rebase{Cell: &wire.Cell{}}}},
		{Body: &wire.Envelope_ConfigReply{ConfigReply: &wire.ConfigReply{Version: 3}}},
	} {
		data, err := proto.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		envelope := &wire.Envelope{}
		if proto.Unmarshal(data, envelope) == nil {
			c.HandleEnvelope(from, envelope)
		}
		probe := &wire.Probe{}
		if proto.Unmarshal(data, probe) == nil {
			probe.From = uint32(from)
			c.HandleProbe(probe)
		}
	})
}

// TestStrayGrantForwardedOnce guards against forwarding loops. In a fleet of 72 balancers
// from which one left, 57 stray grants were sent back and forth 12,324 times between
// balancers whose views differed.
func TestStrayGrantForwardedOnce(t *testing.T) {
	runFleet(t, model.Config{Seed: 8}, func(sim *model.Simulation, _ model.FleetConfig) {
		node, from := sim.Nodes[0], sim.Nodes[1].Instance.Key()
		forwarded := 0
		for slot := range uint32(100) {
			reply := &wire.ClaimReply{Slots: []*wire.SlotState{{Slot: slot, Coverage: wire.Coverage_COVERAGE_HELD}}}
			for _, envelope := range node.Core.HandleEnvelope(from, &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: reply}}).Envelopes {
				again := sim.Nodes[2].Core.HandleEnvelope(node.Instance.Key(), envelope.Body).Envelopes
				forwarded++
				if len(again) > 0 {
					t.Fatalf("stray grant of slot %d was forwarded twice", slot)
				}
			}
		}
		if forwarded == 0 {
			t.Fatal("no stray grant was forwarded")
		}
	})
}
