package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDatagramBytes is at least the size of the largest datagram that the platform or a
// balancer sends. It is also the buffer size of connections.
const maxDatagramBytes = 16 << 10

// DatagramRelay forwards datagrams to a target, and the target's answers to the sender.
type DatagramRelay struct {
	link   *Link
	conn   *net.UDPConn
	target netip.AddrPort
	mutex  sync.Mutex
	// upstream has a socket for each sender, so that the socket that receives an answer tells
	// for which sender it is.
	upstream map[netip.AddrPort]*net.UDPConn
}

// NewDatagramRelay starts a relay from a listening address to a target. It runs until the
// context is canceled. The error wraps the one of the failed listen.
func NewDatagramRelay(ctx context.Context, listen, target netip.AddrPort, link *Link) (*DatagramRelay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("proxy: listen for datagrams on %s: %w", listen, err)
	}
	d := &DatagramRelay{link: link, conn: conn, target: target, upstream: make(map[netip.AddrPort]*net.UDPConn)}
	go func() { d.forward() }()
	go func() {
		<-ctx.Done()
		d.close()
	}()
	return d, nil
}

func (d *DatagramRelay) close() {
	_ = d.conn.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, conn := range d.upstream {
		_ = conn.Close()
	}
}

// forward relays datagrams to the target until the socket is closed.
func (d *DatagramRelay) forward() {
	receive(d.conn, func(from netip.AddrPort, data []byte) {
		fault := d.link.fault(from.Addr())
		if !fault.BlockForward {
			fault.deliver(d.link, len(data), func() { d.sendUpstream(from, data) })
		}
	})
}

// sendUpstream sends a datagram to the target from the sender's socket, which it opens if there
// is none.
func (d *DatagramRelay) sendUpstream(from netip.AddrPort, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	conn := d.upstream[from]
	if conn == nil {
		opened, err := net.ListenUDP("udp4", &net.UDPAddr{IP: d.conn.LocalAddr().(*net.UDPAddr).IP})
		if err != nil {
			// The datagram is dropped. Senders must tolerate packet loss.
			return
		}
		conn = opened
		d.upstream[from] = conn
		go func() { d.relayAnswers(conn, from) }()
	}
	// A datagram that cannot be sent counts as packet loss.
	_, _ = conn.WriteToUDPAddrPort(data, d.target)
}

// relayAnswers relays the target's answers to a sender until the socket is closed.
func (d *DatagramRelay) relayAnswers(conn *net.UDPConn, sender netip.AddrPort) {
	receive(conn, func(_ netip.AddrPort, data []byte) {
		fault := d.link.fault(sender.Addr())
		if !fault.BlockBack {
			// A datagram that cannot be sent counts as packet loss.
			fault.deliver(d.link, len(data), func() { _, _ = d.conn.WriteToUDPAddrPort(data, sender) })
		}
	})
}

// receive calls handle with a copy of each datagram until the socket is closed.
func receive(conn *net.UDPConn, handle func(from netip.AddrPort, data []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel reports here that the destination refused an earlier
			// datagram (ICMP port unreachable). That datagram is lost.
			continue
		}
		handle(from, append([]byte(nil), buffer[:count]...))
	}
}

// deliver sends a datagram after the fault's delay and the link's queueing delay, or drops
// it.
func (f Fault) deliver(link *Link, size int, send func()) {
	wait, queued := link.queueDelay(f.Rate, size)
	switch {
	case !queued || rand.Float64() < f.Loss:
	case f.Delay+wait == 0:
		send()
	default:
		time.AfterFunc(f.Delay+wait, send)
	}
}
