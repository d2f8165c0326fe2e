package entry

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// maxPacketBytes holds the largest packet of callers with room to spare.
const maxPacketBytes = 2048

// serveTraffic decides for callers' packets until the socket is closed. A packet
// stays in the buffer that it was read into, behind room for the number of its
// backend server.
func (e *Entry) serveTraffic() {
	room := e.config.Codec.HeaderSize()
	buffer := make([]byte, room+maxPacketBytes)
	var packet tagged.Packet
	var reset []byte
	for packets := 0; ; packets++ {
		count, _, err := e.traffic.ReadFromUDPAddrPort(buffer[room:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.core.Counters.DroppedUnread.Add(1)
			continue
		}
		datagram := buffer[:room+count]
		if err := e.config.Codec.Parse(datagram[room:], &packet); err != nil {
			e.core.Counters.DroppedMalformed.Add(1)
			continue
		}
		now := time.Now()
		verdict := e.core.HandlePacket(&packet, now)
		if packets%sampleEvery == 0 {
			e.meters.observeDecision(now)
		}
		switch verdict.Action {
		case tagged.Forward:
			e.config.Codec.Encapsulate(datagram, verdict.ID, verdict.Tag)
			e.write(datagram, verdict.To)
		case tagged.Refuse:
			reset = e.config.Codec.AppendReset(reset[:0], tagged.Reset{Key: packet.Key, Sequence: packet.Acknowledged})
			e.write(reset, e.callerAddress(packet.Key))
		}
	}
}

// write sends a datagram. One that cannot be sent counts as lost on the way.
func (e *Entry) write(datagram []byte, to netip.AddrPort) {
	if _, err := e.traffic.WriteToUDPAddrPort(datagram, to); err != nil {
		e.core.Counters.DroppedUnsent.Add(1)
	}
}

// callerAddress is where a caller takes packets: the platform uses the port of the
// balancers' own traffic address for that.
func (e *Entry) callerAddress(key tagged.Key) netip.AddrPort {
	caller := state.NewEndpoint(key.Caller.Address(), e.config.Settings.TrafficAddress.Port())
	return caller.AddrPort()
}

func (e *Entry) sendResets(resets []tagged.Reset) {
	for _, reset := range resets {
		e.write(e.config.Codec.AppendReset(nil, reset), e.callerAddress(reset.Key))
	}
}
