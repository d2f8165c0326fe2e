package proxy_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/wigeonlab/internal/proxy"
)

// silenceTimeout is how long a test waits for data that must not arrive.
const silenceTimeout = 100 * time.Millisecond

func unusedAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func listenUDP(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func address(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// receiveFrom waits for a datagram and returns its sender, or false after the timeout.
func receiveFrom(conn *net.UDPConn, timeout time.Duration) (netip.AddrPort, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, from, err := conn.ReadFromUDPAddrPort(make([]byte, 64))
	return from, err == nil
}

func TestDatagramRelayAppliesFaults(t *testing.T) {
	cases := []struct {
		name          string
		fault         proxy.Fault
		forward, back bool
	}{
		{"no fault", proxy.Fault{}, true, true},
		{"delay", proxy.Fault{Delay: 10 * time.Millisecond}, true, true},
		{"full loss", proxy.Fault{Loss: 1}, false, false},
		{"forward direction blocked", proxy.Fault{BlockForward: true}, false, true},
		{"back direction blocked", proxy.Fault{BlockBack: true}, true, false},
	}
	for _, c := range cases {
		is := is.New(t)
		sender, target, link := listenUDP(t), listenUDP(t), &proxy.Link{}
		listen := unusedAddress(t)
		_, err := proxy.NewDatagramRelay(t.Context(), listen, address(target), link)
		is.NoErr(err)
		_, err = sender.WriteToUDPAddrPort([]byte("first"), listen)
		is.NoErr(err)
		upstream, ok := receiveFrom(target, 5*time.Second)
		is.True(ok)
		link.SetSenderFault(address(sender).Addr(), c.fault)
		_, err = sender.WriteToUDPAddrPort([]byte("there"), listen)
		is.NoErr(err)
		_, forward := receiveFrom(target, receiveTimeout(c.forward))
		_, err = target.WriteToUDPAddrPort([]byte("back"), upstream)
		is.NoErr(err)
		from, back := receiveFrom(sender, receiveTimeout(c.back))
		if forward != c.forward || back != c.back || back && from != listen {
			t.Errorf("%s: forward %t, back %t from %s", c.name, forward, back, from)
		}
	}
}

// TestDatagramRelayLimitsRate checks that a link with a limited rate delivers the datagrams
// that fit into its queue and drops the others.
func TestDatagramRelayLimitsRate(t *testing.T) {
	is := is.New(t)
	sender, target, link := listenUDP(t), listenUDP(t), &proxy.Link{}
	listen := unusedAddress(t)
	_, err := proxy.NewDatagramRelay(t.Context(), listen, address(target), link)
	is.NoErr(err)
	link.SetFault(proxy.Fault{Rate: 10_000}) // a datagram of 1,000 bytes takes 100 ms
	for range 10 {
		_, err = sender.WriteToUDPAddrPort(make([]byte, 1000), listen)
		is.NoErr(err)
	}
	received := 0
	for {
		if _, ok := receiveFrom(target, time.Second); !ok {
			break
		}
		received++
	}
	is.True(received >= 3 && received < 10)
}

func receiveTimeout(expected bool) time.Duration {
	if expected {
		return 5 * time.Second
	}
	return silenceTimeout
}

func TestStreamRelayAppliesFaults(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	listen, link := unusedAddress(t), &proxy.Link{}
	streams, err := proxy.NewStreamRelay(t.Context(), listen, listener.Addr().(*net.TCPAddr).AddrPort(), link)
	is.NoErr(err)
	conn, err := net.Dial("tcp4", listen.String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	echo := func(timeout time.Duration) error {
		_ = conn.SetDeadline(time.Now().Add(timeout))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 8))
		return err
	}
	is.NoErr(echo(5 * time.Second))
	link.SetFault(proxy.Fault{BlockBack: true})
	is.True(isTimeout(echo(silenceTimeout)))
	link.SetFault(proxy.Fault{})
	is.NoErr(echo(5 * time.Second)) // the delayed bytes have arrived
	link.SetFault(proxy.Fault{Reset: true})
	for range 2 { // the first read may return an answer that was delayed
		err = echo(5 * time.Second)
	}
	is.True(err != nil && !isTimeout(err))
	streams.Close()
	_, err = net.Dial("tcp4", listen.String())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
