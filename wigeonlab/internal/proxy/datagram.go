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
	mutex sync.Mutex
	to    netip.AddrPort
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

// Redirect changes where datagrams go.
func (d *Datagrams) Redirect(to netip.AddrPort) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.to = to
}

func (d *Datagrams) close() {
	_ = d.conn.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, conn := range d.upstream {
		_ = conn.Close()
	}
}

func (d *Datagrams) forward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram that was refused on the way is reported here and is lost.
			continue
		}
		harm := d.link.harm(from.Addr())
		if harm.SilentForward || rand.Float64() < harm.Loss {
			continue
		}
		data := append([]byte(nil), buffer[:count]...)
		later(harm.Delay, func() { d.send(from, data) })
	}
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
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		harm := d.link.harm(to.Addr())
		if harm.SilentBack || rand.Float64() < harm.Loss {
			continue
		}
		data := append([]byte(nil), buffer[:count]...)
		later(harm.Delay, func() { _, _ = d.conn.WriteToUDPAddrPort(data, to) })
	}
}

// later runs something at once or after a delay.
func later(delay time.Duration, run func()) {
	if delay == 0 {
		run()
		return
	}
	time.AfterFunc(delay, run)
}
