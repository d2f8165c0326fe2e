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

// briefly is how long a test listens for what must not come.
const briefly = 100 * time.Millisecond

func free(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func socket(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func address(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// arrives returns who sent what arrives, false if nothing does.
func arrives(conn *net.UDPConn, wait time.Duration) (netip.AddrPort, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, from, err := conn.ReadFromUDPAddrPort(make([]byte, 64))
	return from, err == nil
}

func TestDatagrams(t *testing.T) {
	cases := []struct {
		name          string
		harm          proxy.Harm
		forward, back bool
	}{
		{"nothing", proxy.Harm{}, true, true},
		{"delay", proxy.Harm{Delay: 10 * time.Millisecond}, true, true},
		{"all lost", proxy.Harm{Loss: 1}, false, false},
		{"one way", proxy.Harm{SilentForward: true}, false, true},
		{"other way", proxy.Harm{SilentBack: true}, true, false},
	}
	for _, c := range cases {
		is := is.New(t)
		caller, target, link := socket(t), socket(t), &proxy.Link{}
		at := free(t)
		_, err := proxy.NewDatagrams(t.Context(), at, address(target), link)
		is.NoErr(err)
		_, err = caller.WriteToUDPAddrPort([]byte("first"), at)
		is.NoErr(err)
		way, ok := arrives(target, 5*time.Second)
		is.True(ok)
		link.SetFrom(address(caller).Addr(), c.harm)
		_, err = caller.WriteToUDPAddrPort([]byte("there"), at)
		is.NoErr(err)
		_, forward := arrives(target, wait(c.forward))
		_, err = target.WriteToUDPAddrPort([]byte("back"), way)
		is.NoErr(err)
		from, back := arrives(caller, wait(c.back))
		if forward != c.forward || back != c.back || back && from != at {
			t.Errorf("%s: forward %t, back %t from %s", c.name, forward, back, from)
		}
	}
}

// Of ten datagrams at once a link of a slow rate passes those that its queue has room for.
func TestRate(t *testing.T) {
	is := is.New(t)
	caller, target, link := socket(t), socket(t), &proxy.Link{}
	at := free(t)
	_, err := proxy.NewDatagrams(t.Context(), at, address(target), link)
	is.NoErr(err)
	link.Set(proxy.Harm{Rate: 10_000}) // a datagram of 1,000 bytes takes 100 ms
	for range 10 {
		_, err = caller.WriteToUDPAddrPort(make([]byte, 1000), at)
		is.NoErr(err)
	}
	passed := 0
	for {
		if _, ok := arrives(target, time.Second); !ok {
			break
		}
		passed++
	}
	is.True(passed >= 3 && passed < 10)
}

func wait(expected bool) time.Duration {
	if expected {
		return 5 * time.Second
	}
	return briefly
}

func TestStreams(t *testing.T) {
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
	at, link := free(t), &proxy.Link{}
	streams, err := proxy.NewStreams(t.Context(), at, listener.Addr().(*net.TCPAddr).AddrPort(), link)
	is.NoErr(err)
	conn, err := net.Dial("tcp4", at.String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	echo := func(span time.Duration) error {
		_ = conn.SetDeadline(time.Now().Add(span))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 8))
		return err
	}
	is.NoErr(echo(5 * time.Second))
	link.Set(proxy.Harm{SilentBack: true})
	is.True(isTimeout(echo(briefly)))
	link.Set(proxy.Harm{})
	is.NoErr(echo(5 * time.Second)) // what was held has come
	link.Set(proxy.Harm{Reset: true})
	for range 2 { // an answer that was held may come first
		err = echo(5 * time.Second)
	}
	is.True(err != nil && !isTimeout(err))
	streams.Close()
	_, err = net.Dial("tcp4", at.String())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
