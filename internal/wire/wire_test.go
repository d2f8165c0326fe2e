package wire_test

import (
	"testing"

	"pgregory.net/rapid"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
	"wigeonmoor.example/internal/wire"
)

// An install header is decoded to the value that was encoded.
func TestInstallRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		install := wire.Install{
			Backend: flow.BackendKey(rapid.Uint32().Draw(rt, "backend")),
			Length:  rapid.IntRange(0, ring.ReplicaCount).Draw(rt, "length"),
		}
		for index := range install.Length {
			install.Chain[index] = flow.MemberKey(rapid.Uint32().Draw(rt, "member"))
		}
		data := append(wire.AppendInstall(nil, install), 'p')
		got, rest, err := wire.ReadInstall(data)
		if err != nil || got != install || string(rest) != "p" {
			rt.Fatalf("ReadInstall returned %v, packet %q and error %v, expected %v", got, rest, err, install)
		}
	})
}

// FuzzDatagram checks that arbitrary data is rejected or decoded to a valid message.
func FuzzDatagram(f *testing.F) {
	f.Add(wire.AppendHandOver(nil, 1))
	f.Add(wire.AppendInstall(nil, wire.Install{Length: 2}))
	f.Add(wire.AppendAnswer(nil, wire.Answer{Flow: 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, packet, err := wire.ReadHandOver(data); err == nil && len(packet) == 0 {
			t.Fatal("ReadHandOver returned an empty packet")
		}
		if install, packet, err := wire.ReadInstall(data); err == nil && (install.Length > ring.ReplicaCount || len(packet) == 0) {
			t.Fatal("ReadInstall returned a chain that is too long or an empty packet")
		}
		if answer, err := wire.ReadAnswer(data); err == nil && string(wire.AppendAnswer(nil, answer))[1:] != string(data)[1:] {
			t.Fatal("an answer is encoded differently from the data it was read from")
		}
	})
}
