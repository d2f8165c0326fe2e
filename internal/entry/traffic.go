package entry

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// maxPacketBytes is more than the size of the largest packet of a caller.
const maxPacketBytes = 2048

// serveTraffic reads callers' packets, decides for each and forwards or refuses it, until the
// socket is closed. Packets are not copied: each is read into the buffer after the space for
// the header that names its backend server.
func (b *Balancer) serveTraffic() {
	headerSize := b.config.Codec.HeaderSize()
	buffer := make([]byte, headerSize+maxPacketBytes)
	var packet tagged.Packet
	var reset []byte
	for packets := 0; ; packets++ {
		count, _, err := b.trafficConn.ReadFromUDPAddrPort(buffer[headerSize:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.core.Counters.DroppedUnread.Add(1)
			continue
		}
		datagram := buffer[:headerSize+count]
		if err := b.config.Codec.Parse(datagram[headerSize:], &packet); err != nil {
			b.core.Counters.DroppedMalformed.Add(1)
			continue
		}
		now := time.Now()
		verdict := b.core.HandlePacket(&packet, now)
		if packets%decisionSampleInterval == 0 {
			b.metrics.observeDecision(now)
		}
		switch verdict.Action {
		case tagged.Forward:
			b.config.Codec.Encapsulate(datagram, verdict.ID, verdict.Tag)
			b.sendPacket(datagram, verdict.To)
		case tagged.Refuse:
			reset = b.config.Codec.AppendReset(reset[:0], tagged.Reset{Key: packet.Key, Sequence: packet.Acknowledged})
			b.sendPacket(reset, b.callerAddress(packet.Key))
		}
	}
}

// sendPacket sends a datagram to a backend server or a caller. A datagram that cannot be sent
// is counted and dropped, like one that the network loses.
func (b *Balancer) sendPacket(datagram []byte, to netip.AddrPort) {
	if _, err := b.trafficConn.WriteToUDPAddrPort(datagram, to); err != nil {
		b.core.Counters.DroppedUnsent.Add(1)
	}
}

// callerAddress returns the address at which a caller receives packets. On the platform, its
// port is the same as that of the balancers' traffic addresses.
func (b *Balancer) callerAddress(key tagged.Key) netip.AddrPort {
	caller := state.NewEndpoint(key.Caller.Address(), b.config.Settings.TrafficAddress.Port())
	return caller.AddrPort()
}

// sendResets sends reset packets to the callers of flows.
func (b *Balancer) sendResets(resets []tagged.Reset) {
	for _, reset := range resets {
		b.sendPacket(b.config.Codec.AppendReset(nil, reset), b.callerAddress(reset.Key))
	}
}
