package daemon

// This file contains the sockets and the traffic goroutines. They read packets in batches, let
// the core decide on each packet, and write the resulting datagrams in batches. Packets are not
// copied between the read and the write.

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/net/ipv4"
	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/packet"
	"wigeonmoor.example/internal/wire"
)

const (
	// batchSize is the maximum number of packets per read.
	batchSize = 64
	// readBufferBytes is the maximum size of a received datagram. The kernel truncates
	// longer ones.
	readBufferBytes = 2048
	// socketBufferBytes is the requested size of each socket's kernel buffers.
	socketBufferBytes = 4 << 20
	// maxCachedAddresses bounds the address cache of an actionSender.
	maxCachedAddresses = 65536
)

// socket is a UDP socket with batch reads and writes.
type socket struct {
	udp  *net.UDPConn
	conn *ipv4.PacketConn
}

// listen opens a UDP socket.
func listen(address netip.AddrPort) (*socket, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("daemon: listen on %s: %w", address, err)
	}
	// The kernel may grant smaller buffers. Errors are ignored because the size only matters
	// during bursts.
	_ = udp.SetReadBuffer(socketBufferBytes)
	_ = udp.SetWriteBuffer(socketBufferBytes)
	return &socket{udp: udp, conn: ipv4.NewPacketConn(udp)}, nil
}

// newReadBatch returns messages with buffers for ReadBatch.
func newReadBatch() []ipv4.Message {
	batch := make([]ipv4.Message, batchSize)
	for index := range batch {
		batch[index].Buffers = [][]byte{make([]byte, readBufferBytes)}
	}
	return batch
}

// actionSender writes a core's actions to the sockets. It is not safe for concurrent use; the
// control goroutine and each traffic goroutine have their own.
type actionSender struct {
	traffic *socket
	peer    *socket
	// callerReturn is the address of the fabric that forwards packets to callers.
	callerReturn *net.UDPAddr
	failures     *atomic.Int64
	// udpAddresses caches the addresses of peers and backend servers, which are few, in the
	// type that batch writes need.
	udpAddresses map[netip.AddrPort]*net.UDPAddr
	trafficBatch sendBatch
	peerBatch    sendBatch
}

// sendBatch is a batch of datagrams to write. Its messages are reused.
type sendBatch struct {
	messages []ipv4.Message
	// length is the number of messages in use.
	length int
}

// add adds a message without buffers to the batch and returns it. The message has capacity
// for two buffers, a header and a packet.
func (b *sendBatch) add() *ipv4.Message {
	if b.length == len(b.messages) {
		b.messages = append(b.messages, ipv4.Message{Buffers: make([][]byte, 0, 2)})
	}
	message := &b.messages[b.length]
	message.Buffers = message.Buffers[:0]
	b.length++
	return message
}

func newActionSender(traffic, peer *socket, callerReturn netip.AddrPort, failures *atomic.Int64) *actionSender {
	return &actionSender{
		traffic:      traffic,
		peer:         peer,
		callerReturn: net.UDPAddrFromAddrPort(callerReturn),
		failures:     failures,
		udpAddresses: make(map[netip.AddrPort]*net.UDPAddr),
	}
}

// udpAddress converts an address, using the cache.
func (s *actionSender) udpAddress(to netip.AddrPort) *net.UDPAddr {
	address, ok := s.udpAddresses[to]
	if !ok {
		if len(s.udpAddresses) >= maxCachedAddresses {
			clear(s.udpAddresses)
		}
		address = net.UDPAddrFromAddrPort(to)
		s.udpAddresses[to] = address
	}
	return address
}

// send writes the actions in one batch for each socket.
func (s *actionSender) send(actions *owned.Actions) {
	s.trafficBatch.length, s.peerBatch.length = 0, 0
	for index := range actions.List {
		action := &actions.List[index]
		switch action.Kind {
		case owned.Forward:
			message := s.trafficBatch.add()
			message.Addr = s.udpAddress(action.To)
			message.Buffers = append(message.Buffers, action.Packet)
		case owned.ReturnToCaller:
			message := s.trafficBatch.add()
			message.Addr = s.callerReturn
			message.Buffers = append(message.Buffers, action.Packet)
		case owned.SendToPeer:
			message := s.peerBatch.add()
			message.Addr = s.udpAddress(action.To)
			message.Buffers = append(message.Buffers, action.Header())
			if len(action.Packet) > 0 {
				message.Buffers = append(message.Buffers, action.Packet)
			}
		}
	}
	s.writeBatch(s.traffic, &s.trafficBatch)
	s.writeBatch(s.peer, &s.peerBatch)
}

// writeBatch writes a batch to a socket. A datagram that cannot be sent is counted and
// dropped, like one that the network loses.
func (s *actionSender) writeBatch(to *socket, batch *sendBatch) {
	remaining := batch.messages[:batch.length]
	for len(remaining) > 0 {
		sent, err := to.conn.WriteBatch(remaining, 0)
		if err != nil || sent <= 0 {
			s.failures.Add(1)
			sent = 1
		}
		remaining = remaining[sent:]
	}
}

// serveTraffic reads the fabric's packets and executes the core's decisions until a read
// fails, which is expected only once the socket is closed.
func (d *Daemon) serveTraffic() {
	parser := packet.NewParser()
	sender := d.newActionSender()
	batch := newReadBatch()
	parsed := make([]packet.Packet, batchSize)
	actions := &owned.Actions{}
	for {
		count, err := d.traffic.conn.ReadBatch(batch, 0)
		if err != nil {
			return
		}
		actions.Reset()
		for index := range batch[:count] {
			message := &batch[index]
			if err := parser.Parse(message.Buffers[0][:message.N], &parsed[index]); err != nil {
				d.core.Counters.DroppedMalform.Add(1)
				continue
			}
			d.core.HandlePacket(&parsed[index], actions)
		}
		sender.send(actions)
	}
}

// servePeers reads the datagrams of other balancers and executes the core's decisions until a
// read fails, which is expected only once the socket is closed.
func (d *Daemon) servePeers() {
	parser := packet.NewParser()
	sender := d.newActionSender()
	batch := newReadBatch()
	actions := &owned.Actions{}
	var scratch packet.Packet
	for {
		count, err := d.peer.conn.ReadBatch(batch, 0)
		if err != nil {
			return
		}
		actions.Reset()
		for index := range batch[:count] {
			message := &batch[index]
			data := message.Buffers[0][:message.N]
			from := sourceAddress(message.Addr)
			if len(data) > 0 && wire.DatagramKind(data[0]) == wire.KindProbe {
				d.handleProbe(data[1:])
				continue
			}
			// The core counts rejected datagrams. They are not logged, as unknown senders
			// could flood the log.
			_ = d.core.HandleDatagram(parser, &scratch, data, from, actions)
		}
		sender.send(actions)
	}
}

// sourceAddress returns the address of a datagram's sender, the zero value if it is not a UDP
// address. IPv4 addresses are not in their IPv6-mapped form.
func sourceAddress(address net.Addr) netip.AddrPort {
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	source := udp.AddrPort()
	return netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
}

// handleProbe parses a probe and queues it for the control goroutine.
func (d *Daemon) handleProbe(data []byte) {
	probe := &wire.Probe{}
	if err := proto.Unmarshal(data, probe); err != nil {
		d.core.Counters.DroppedMalform.Add(1)
		return
	}
	d.enqueue(func() owned.Output { return d.core.HandleProbe(probe) })
}

// newActionSender returns a sender for the daemon's sockets.
func (d *Daemon) newActionSender() *actionSender {
	return newActionSender(d.traffic, d.peer, d.settings.CallerReturnAddress, &d.sendFailures)
}
