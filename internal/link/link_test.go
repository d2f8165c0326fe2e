package link

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

// freeAddress returns a loopback address on which nobody listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// received is a message with its sender.
type received struct {
	from     flow.MemberKey
	envelope *wire.Envelope
}

func open(t *testing.T, self flow.MemberKey, address netip.AddrPort, allowed map[flow.MemberKey]netip.AddrPort) (*Links, chan received, chan error) {
	t.Helper()
	inbox, problems := make(chan received, 16), make(chan error, 16)
	links, err := New(t.Context(), Config{
		Self:   self,
		Listen: address,
		Allowed: func(key flow.MemberKey) (netip.AddrPort, bool) {
			known, ok := allowed[key]
			return known, ok
		},
		Receive: func(from flow.MemberKey, envelope *wire.Envelope) { inbox <- received{from, envelope} },
		Failed:  func(err error) { problems <- err },
	})
	if err != nil {
		t.Fatal(err)
	}
	return links, inbox, problems
}

// Messages of a listed balancer arrive in order; a stranger is refused.
func TestLinks(t *testing.T) {
	here, there := freeAddress(t), freeAddress(t)
	listed := map[flow.MemberKey]netip.AddrPort{1: there}
	receiver, inbox, problems := open(t, 2, here, listed)
	sender, _, _ := open(t, 1, there, nil)
	for number := range uint64(3) {
		sender.Send(2, here, &wire.Envelope{Body: &wire.Envelope_SyncAck{SyncAck: &wire.SyncAck{Sync: number}}})
	}
	for number := range uint64(3) {
		got := <-inbox
		if got.from != 1 || got.envelope.GetSyncAck().GetSync() != number {
			t.Fatalf("message %d: got %v", number, got)
		}
	}
	stranger, _, _ := open(t, 9, freeAddress(t), nil)
	stranger.Send(2, here, &wire.Envelope{})
	<-problems
	if receiver.Refused.Load() != 1 {
		t.Fatalf("%d strangers were refused, expected 1", receiver.Refused.Load())
	}
}

// An instance that was replaced under its name gets its messages at the new address.
func TestReplacedPeer(t *testing.T) {
	before, after, there := freeAddress(t), freeAddress(t), freeAddress(t)
	listed := map[flow.MemberKey]netip.AddrPort{1: there}
	_, first, _ := open(t, 2, before, listed)
	_, second, _ := open(t, 2, after, listed)
	sender, _, _ := open(t, 1, there, nil)
	sender.Send(2, before, &wire.Envelope{})
	<-first
	sender.Send(2, after, &wire.Envelope{})
	<-second
}

// A second listener on an address is an error that names the step and the address.
func TestAddressInUse(t *testing.T) {
	address := freeAddress(t)
	open(t, 1, address, nil)
	_, err := New(context.Background(), Config{Listen: address})
	if err == nil || !bytes.Contains([]byte(err.Error()), []byte("listen for peers on "+address.String())) {
		t.Fatalf("a second listener: %v", err)
	}
}

func FuzzFrame(f *testing.F) {
	var frame bytes.Buffer
	if err := writeFrame(&frame, &wire.Envelope{Body: &wire.Envelope_SyncAck{SyncAck: &wire.SyncAck{Sync: 7}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := writeFrame(&again, envelope); err != nil {
			t.Fatal(err)
		}
		second, err := readFrame(&again)
		if err != nil || !proto.Equal(envelope, second) {
			t.Fatalf("a message changed: %v, %v", second, err)
		}
	})
}
