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

// maxDatagramBytes holds the largest datagram of the platform and between balancers.
const maxDatagramBytes = 16 << 10

// Datagrams passes datagrams on, and answers back to whoever sent the datagram.
type Datagrams struct {
	link  *Link
	conn  *net.UDPConn
	to    netip.AddrPort
	mutex sync.Mutex
	// upstream has a socket a sender, so that answers find the way back.
	upstream map[netip.AddrPort]*net.UDPConn
}

// NewDatagrams starts to pass what arrives at an address on to another. It ends with the
// context.
func NewDatagrams(ctx context.Context, at, to netip.AddrPort, link *Link) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("proxy: datagrams at %s: %w", at, err)
	}
	d := &Datagrams{link: link, conn: conn, to: to, upstream: make(map[netip.AddrPort]*net.UDPConn)}
	go func() { d.forward() }()
	go func() {
		<-ctx.Done()
		d.close()
	}()
	return d, nil
}

func (d *Datagrams) close() {
	_ = d.conn.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, conn := range d.upstream {
		_ = conn.Close()
	}
}

// forward passes on what senders send until the socket is closed.
func (d *Datagrams) forward() {
	receive(d.conn, func(from netip.AddrPort, data []byte) {
		harm := d.link.harm(from.Addr())
		if !harm.SilentForward {
			harm.pass(d.link, len(data), func() { d.send(from, data) })
		}
	})
}

func (d *Datagrams) send(from netip.AddrPort, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	conn := d.upstream[from]
	if conn == nil {
		made, err := net.ListenUDP("udp4", &net.UDPAddr{IP: d.conn.LocalAddr().(*net.UDPAddr).IP})
		if err != nil {
			// The datagram is lost, and the sender sends another.
			return
		}
		conn = made
		d.upstream[from] = conn
		go func() { d.back(conn, from) }()
	}
	// What cannot be sent is lost.
	_, _ = conn.WriteToUDPAddrPort(data, d.to)
}

// back passes answers to a sender until the socket is closed.
func (d *Datagrams) back(conn *net.UDPConn, to netip.AddrPort) {
	receive(conn, func(_ netip.AddrPort, data []byte) {
		harm := d.link.harm(to.Addr())
		if !harm.SilentBack {
			// What cannot be sent is lost.
			harm.pass(d.link, len(data), func() { _, _ = d.conn.WriteToUDPAddrPort(data, to) })
		}
	})
}

// receive calls take for each datagram until the socket is closed.
func receive(conn *net.UDPConn, take func(from netip.AddrPort, data []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram that was refused on the way is reported here and is lost.
			continue
		}
		take(from, append([]byte(nil), buffer[:count]...))
	}
}

// pass sends a datagram at once or after the delay and its wait for the link, unless it is
// lost.
func (h Harm) pass(link *Link, size int, send func()) {
	wait, passed := link.queue(h.Rate, size)
	switch {
	case !passed || rand.Float64() < h.Loss:
	case h.Delay+wait == 0:
		send()
	default:
		time.AfterFunc(h.Delay+wait, send)
	}
}
