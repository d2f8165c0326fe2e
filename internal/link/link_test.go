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

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// receivedEnvelope is a message with its sender.
type receivedEnvelope struct {
	from     flow.MemberKey
	envelope *wire.Envelope
}

// openLinks starts links for tests. It also returns channels with the received messages and
// with the errors. The map holds the peers that may connect.
func openLinks(t *testing.T, self flow.MemberKey, address netip.AddrPort, listed map[flow.MemberKey]netip.AddrPort) (*Links, chan receivedEnvelope, chan error) {
	t.Helper()
	received, errs := make(chan receivedEnvelope, 16), make(chan error, 16)
	links, err := New(t.Context(), Config{
		Self:   self,
		Listen: address,
		PeerAddress: func(key flow.MemberKey) (netip.AddrPort, bool) {
			peerAddress, ok := listed[key]
			return peerAddress, ok
		},
		OnEnvelope: func(from flow.MemberKey, envelope *wire.Envelope) { received <- receivedEnvelope{from, envelope} },
		OnError:    func(err error) { errs <- err },
	})
	if err != nil {
		t.Fatal(err)
	}
	return links, received, errs
}

// Messages of a listed balancer arrive in order. The session of an unlisted balancer is
// refused.
func TestOrderAndUnlistedPeer(t *testing.T) {
	receiverAddress, senderAddress := freeAddress(t), freeAddress(t)
	listed := map[flow.MemberKey]netip.AddrPort{1: senderAddress}
	receiver, received, errs := openLinks(t, 2, receiverAddress, listed)
	sender, _, _ := openLinks(t, 1, senderAddress, nil)
	for number := range uint64(3) {
		sender.Send(2, receiverAddress, &wire.Envelope{Body: &wire.Envelope_SyncAck{SyncAck: &wire.SyncAck{Sync: number}}})
	}
	for number := range uint64(3) {
		got := <-received
		if got.from != 1 || got.envelope.GetSyncAck().GetSync() != number {
			t.Fatalf("message %d: got %v", number, got)
		}
	}
	unlisted, _, _ := openLinks(t, 9, freeAddress(t), nil)
	unlisted.Send(2, receiverAddress, &wire.Envelope{})
	<-errs
	if receiver.Refused.Load() != 1 {
		t.Fatalf("%d unlisted balancers were refused, expected 1", receiver.Refused.Load())
	}
}

// If an instance is replaced by one with the same key at another address, messages go to the
// new address.
func TestSendToPeerWithNewAddress(t *testing.T) {
	oldAddress, newAddress, senderAddress := freeAddress(t), freeAddress(t), freeAddress(t)
	listed := map[flow.MemberKey]netip.AddrPort{1: senderAddress}
	_, atOldAddress, _ := openLinks(t, 2, oldAddress, listed)
	_, atNewAddress, _ := openLinks(t, 2, newAddress, listed)
	sender, _, _ := openLinks(t, 1, senderAddress, nil)
	sender.Send(2, oldAddress, &wire.Envelope{})
	<-atOldAddress
	sender.Send(2, newAddress, &wire.Envelope{})
	<-atNewAddress
}

// The error for an address that is in use names the failed step and the address.
func TestNewReportsAddressInUse(t *testing.T) {
	address := freeAddress(t)
	openLinks(t, 1, address, nil)
	_, err := New(context.Background(), Config{Listen: address})
	if err == nil || !bytes.Contains([]byte(err.Error()), []byte("listen for peers on "+address.String())) {
		t.Fatalf("second listener on the same address: got error %v", err)
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
		var rewritten bytes.Buffer
		if err := writeFrame(&rewritten, envelope); err != nil {
			t.Fatal(err)
		}
		second, err := readFrame(&rewritten)
		if err != nil || !proto.Equal(envelope, second) {
			t.Fatalf("message changed when it was written and read again: %v, error %v", second, err)
		}
	})
}
