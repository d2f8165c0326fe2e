package proxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// blockedPollInterval is how often a blocked connection checks whether it is still blocked.
const blockedPollInterval = 20 * time.Millisecond

// StreamRelay forwards TCP connections to a target.
type StreamRelay struct {
	link     *Link
	listener net.Listener
	target   netip.AddrPort
}

// NewStreamRelay starts a relay from a listening address to a target. It runs until the
// context is canceled, which also closes its connections. The error wraps the one of the
// failed listen.
func NewStreamRelay(ctx context.Context, listen, target netip.AddrPort, link *Link) (*StreamRelay, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, fmt.Errorf("proxy: listen for connections on %s: %w", listen, err)
	}
	s := &StreamRelay{link: link, listener: listener, target: target}
	go func() { s.accept(ctx) }()
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	return s, nil
}

// Close stops listening, so that new connections are refused. Open ones continue.
func (s *StreamRelay) Close() { _ = s.listener.Close() }

// accept relays connections until the listener is closed.
func (s *StreamRelay) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() { s.relay(ctx, conn.(*net.TCPConn)) }()
	}
}

// relay copies bytes between a client and the target as the link's fault permits. If the
// connection to the target fails, the client's connection is reset.
func (s *StreamRelay) relay(ctx context.Context, client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	sender := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	if !s.awaitUnblocked(ctx, sender, func(f Fault) bool { return f.BlockForward }) {
		return
	}
	conn, err := net.Dial("tcp4", s.target.String())
	if err != nil || s.link.fault(sender).Reset {
		_ = client.SetLinger(0)
		return
	}
	target := conn.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	go func() {
		s.copyBytes(ctx, target, client, sender, func(f Fault) bool { return f.BlockForward })
		done <- struct{}{}
	}()
	go func() {
		s.copyBytes(ctx, client, target, sender, func(f Fault) bool { return f.BlockBack })
		done <- struct{}{}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	if s.link.fault(sender).Reset {
		_ = client.SetLinger(0)
		_ = target.SetLinger(0)
	}
}

// copyBytes copies bytes in one direction until either side closes its connection, the
// link resets it, or the context is canceled.
func (s *StreamRelay) copyBytes(ctx context.Context, to, from *net.TCPConn, sender netip.Addr, isBlocked func(Fault) bool) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if delay := s.link.fault(sender).Delay; delay > 0 {
			time.Sleep(delay)
		}
		if !s.awaitUnblocked(ctx, sender, isBlocked) || s.link.fault(sender).Reset {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// awaitUnblocked waits while a direction is blocked. It returns false if the context was
// canceled.
func (s *StreamRelay) awaitUnblocked(ctx context.Context, sender netip.Addr, isBlocked func(Fault) bool) bool {
	for isBlocked(s.link.fault(sender)) && ctx.Err() == nil {
		time.Sleep(blockedPollInterval)
	}
	return ctx.Err() == nil
}
