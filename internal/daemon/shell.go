package daemon

// Sockets and traffic goroutines. Packets are read, decided for and written in
// batches; a packet is never copied between the two system calls.

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

// Sizes of batches and buffers.
const (
	batchSize         = 64
	bufferBytes       = 2048
	socketBufferBytes = 4 << 20
	maxAddresses      = 65536
)

// socket is a UDP socket with batch reads and writes.
type socket struct {
	udp  *net.UDPConn
	conn *ipv4.PacketConn
}

func listen(address netip.AddrPort) (*socket, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("daemon: listen on %s: %w", address, err)
	}
	// The kernel may grant less; the buffers only make bursts cheaper.
	_ = udp.SetReadBuffer(socketBufferBytes)
	_ = udp.SetWriteBuffer(socketBufferBytes)
	return &socket{udp: udp, conn: ipv4.NewPacketConn(udp)}, nil
}

// newBatch returns messages with buffers to read into.
func newBatch() []ipv4.Message {
	batch := make([]ipv4.Message, batchSize)
	for index := range batch {
		batch[index].Buffers = [][]byte{make([]byte, bufferBytes)}
	}
	return batch
}

// sender writes a core's actions to the sockets. Each traffic goroutine has one.
type sender struct {
	traffic  *socket
	peer     *socket
	back     *net.UDPAddr
	failures *atomic.Int64
	// addresses caches what the batch calls need; peers and backend servers are few.
	addresses map[netip.AddrPort]*net.UDPAddr
	toTraffic outbox
	toPeer    outbox
}

// outbox is a batch to be written. Its buffers are reused.
type outbox struct {
	messages []ipv4.Message
	length   int
}

// next returns the next message with room for two buffers.
func (o *outbox) next() *ipv4.Message {
	if o.length == len(o.messages) {
		o.messages = append(o.messages, ipv4.Message{Buffers: make([][]byte, 0, 2)})
	}
	message := &o.messages[o.length]
	message.Buffers = message.Buffers[:0]
	o.length++
	return message
}

func newSender(traffic, peer *socket, back netip.AddrPort, failures *atomic.Int64) *sender {
	return &sender{
		traffic:   traffic,
		peer:      peer,
		back:      net.UDPAddrFromAddrPort(back),
		failures:  failures,
		addresses: make(map[netip.AddrPort]*net.UDPAddr),
	}
}

func (s *sender) address(to netip.AddrPort) *net.UDPAddr {
	known, ok := s.addresses[to]
	if !ok {
		if len(s.addresses) >= maxAddresses {
			clear(s.addresses)
		}
		known = net.UDPAddrFromAddrPort(to)
		s.addresses[to] = known
	}
	return known
}

// send writes the actions in as few calls as there are sockets.
func (s *sender) send(actions *owned.Actions) {
	s.toTraffic.length, s.toPeer.length = 0, 0
	for index := range actions.List {
		action := &actions.List[index]
		switch action.Kind {
		case owned.Forward:
			message := s.toTraffic.next()
			message.Addr = s.address(action.To)
			message.Buffers = append(message.Buffers, action.Packet)
		case owned.ReturnToCaller:
			message := s.toTraffic.next()
			message.Addr = s.back
			message.Buffers = append(message.Buffers, action.Packet)
		case owned.SendToPeer:
			message := s.toPeer.next()
			message.Addr = s.address(action.To)
			message.Buffers = append(message.Buffers, action.Header())
			if len(action.Packet) > 0 {
				message.Buffers = append(message.Buffers, action.Packet)
			}
		}
	}
	s.write(s.traffic, &s.toTraffic)
	s.write(s.peer, &s.toPeer)
}

// write sends a batch. A datagram that cannot be sent is counted and left out, as
// the network might have lost it.
func (s *sender) write(to *socket, box *outbox) {
	rest := box.messages[:box.length]
	for len(rest) > 0 {
		sent, err := to.conn.WriteBatch(rest, 0)
		if err != nil || sent <= 0 {
			s.failures.Add(1)
			sent = 1
		}
		rest = rest[sent:]
	}
}

// serveTraffic decides for the fabric's packets until the socket is closed.
func (d *Daemon) serveTraffic() {
	parser := packet.NewParser()
	send := d.newSender()
	batch := newBatch()
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
		send.send(actions)
	}
}

// servePeers takes datagrams of other balancers until the socket is closed.
func (d *Daemon) servePeers() {
	parser := packet.NewParser()
	send := d.newSender()
	batch := newBatch()
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
			from := senderOf(message.Addr)
			if len(data) > 0 && wire.DatagramKind(data[0]) == wire.KindProbe {
				d.takeProbe(data[1:])
				continue
			}
			// The core counts what it refuses; a stranger gets no log line each.
			_ = d.core.HandleDatagram(parser, &scratch, data, from, actions)
		}
		send.send(actions)
	}
}

func senderOf(address net.Addr) netip.AddrPort {
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	from := udp.AddrPort()
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

func (d *Daemon) takeProbe(data []byte) {
	probe := &wire.Probe{}
	if err := proto.Unmarshal(data, probe); err != nil {
		d.core.Counters.DroppedMalform.Add(1)
		return
	}
	d.do(func() owned.Output { return d.core.HandleProbe(probe) })
}

func (d *Daemon) newSender() *sender {
	return newSender(d.traffic, d.peer, d.settings.CallerReturnAddress, &d.sendFailures)
}
