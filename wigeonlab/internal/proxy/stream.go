package proxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// holdPeriod is how often a silenced connection looks whether it may go on.
const holdPeriod = 20 * time.Millisecond

// Streams passes connections on.
type Streams struct {
	link     *Link
	listener net.Listener
	to       netip.AddrPort
}

// NewStreams starts to pass connections to an address on to another. It ends with the
// context, and its connections with it.
func NewStreams(ctx context.Context, at, to netip.AddrPort, link *Link) (*Streams, error) {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, fmt.Errorf("proxy: connections at %s: %w", at, err)
	}
	s := &Streams{link: link, listener: listener, to: to}
	go func() { s.accept(ctx) }()
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	return s, nil
}

// Close has new connections refused.
func (s *Streams) Close() { _ = s.listener.Close() }

func (s *Streams) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() { s.pass(ctx, conn.(*net.TCPConn)) }()
	}
}

// pass connects the two sides, as far as the link lets it. A target that refuses has the
// caller reset.
func (s *Streams) pass(ctx context.Context, caller *net.TCPConn) {
	defer func() { _ = caller.Close() }()
	sender := caller.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	if !s.hold(ctx, sender, func(h Harm) bool { return h.SilentForward }) {
		return
	}
	conn, err := net.Dial("tcp4", s.to.String())
	if err != nil || s.link.harm(sender).Reset {
		_ = caller.SetLinger(0)
		return
	}
	target := conn.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	go func() {
		s.copy(ctx, target, caller, sender, func(h Harm) bool { return h.SilentForward })
		done <- struct{}{}
	}()
	go func() {
		s.copy(ctx, caller, target, sender, func(h Harm) bool { return h.SilentBack })
		done <- struct{}{}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	if s.link.harm(sender).Reset {
		_ = caller.SetLinger(0)
		_ = target.SetLinger(0)
	}
}

// copy passes bytes one way until either side ends or the link resets.
func (s *Streams) copy(ctx context.Context, to, from *net.TCPConn, sender netip.Addr, silent func(Harm) bool) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if delay := s.link.harm(sender).Delay; delay > 0 {
			time.Sleep(delay)
		}
		if !s.hold(ctx, sender, silent) || s.link.harm(sender).Reset {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// hold waits while a way is silent, and reports whether the run goes on.
func (s *Streams) hold(ctx context.Context, sender netip.Addr, silent func(Harm) bool) bool {
	for silent(s.link.harm(sender)) && ctx.Err() == nil {
		time.Sleep(holdPeriod)
	}
	return ctx.Err() == nil
}
