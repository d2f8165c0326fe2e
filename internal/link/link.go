// Package link transports control messages between balancers, in order, as length-prefixed
// protobuf messages over yamux streams.
//
// A balancer opens one session to each peer that it sends messages to, and writes to the
// session's only stream. Replies arrive over a session that the peer opens. Messages to a
// peer that cannot be reached are dropped, because the core retries every message that needs
// a reply.
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/wire"
)

const (
	// dialTimeout limits a connection attempt. It is also the delay after a failed accept.
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// maxQueuedMessages is the maximum number of queued messages to one peer.
	maxQueuedMessages = 1024
	maxMessageBytes   = 8 << 20
	// idleTimeout is the time without messages after which a session is closed.
	idleTimeout = time.Minute
)

// Config configures Links. The callbacks are called from several goroutines, possibly
// concurrently.
type Config struct {
	// Self is the key of this balancer.
	Self flow.MemberKey
	// Listen is the address for peers' connections. Connections to peers are opened from the
	// same IP address.
	Listen netip.AddrPort
	// PeerAddress returns the address of a balancer, and false if the balancer is not on the
	// platform's instance list.
	PeerAddress func(flow.MemberKey) (netip.AddrPort, bool)
	// OnEnvelope receives each message of a peer.
	OnEnvelope func(from flow.MemberKey, envelope *wire.Envelope)
	// OnError receives the errors of sending, accepting and reading.
	OnError func(error)
}

// Links holds the sessions to and from all peers.
type Links struct {
	// Dropped counts messages that could not be queued or sent.
	Dropped atomic.Int64
	// Refused counts sessions of balancers that are not on the platform's instance list, or
	// not at the address listed there.
	Refused atomic.Int64

	settings Config
	listener net.Listener
	ctx      context.Context
	mutex    sync.Mutex
	// queues holds the queue of each peer with a running serveQueue. mutex guards it.
	queues map[destination]chan *wire.Envelope
}

// destination identifies a peer's queue. It includes the address because a replaced instance
// may keep its name, and therefore its key.
type destination struct {
	peer    flow.MemberKey
	address netip.AddrPort
}

// New listens for peers until the context is done. It returns an error if it cannot listen.
func New(ctx context.Context, settings Config) (*Links, error) {
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("link: listen for peers on %s: %w", settings.Listen, err)
	}
	l := &Links{settings: settings, listener: listener, ctx: ctx, queues: make(map[destination]chan *wire.Envelope)}
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go func() { l.acceptSessions() }()
	return l, nil
}

// sessionConfig returns settings for yamux sessions without keep-alive messages, so that idle
// sessions cause no traffic.
func sessionConfig() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.EnableKeepAlive = false
	settings.ConnectionWriteTimeout = writeTimeout
	settings.LogOutput = io.Discard
	return settings
}

// Send queues a message for a peer. If the queue is full, the message is dropped and counted.
func (l *Links) Send(to flow.MemberKey, address netip.AddrPort, envelope *wire.Envelope) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	peer := destination{to, address}
	queue := l.queues[peer]
	if queue == nil {
		queue = make(chan *wire.Envelope, maxQueuedMessages)
		l.queues[peer] = queue
		go func() { l.serveQueue(peer, queue) }()
	}
	select {
	case queue <- envelope:
	default:
		l.Dropped.Add(1)
	}
}

// serveQueue sends the messages of one queue until there are none for idleTimeout. A failed
// session is closed, and the next message opens a new one.
func (l *Links) serveQueue(to destination, queue chan *wire.Envelope) {
	var conn io.WriteCloser
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(idleTimeout):
			if l.removeIfEmpty(to, queue) {
				return
			}
		case envelope := <-queue:
			var err error
			if conn == nil {
				conn, err = l.dial(to.address)
			}
			if err == nil {
				err = writeFrame(conn, envelope)
			}
			if err != nil {
				l.Dropped.Add(1)
				l.settings.OnError(fmt.Errorf("link: send to %s: %w", to.address, err))
				if conn != nil {
					_ = conn.Close()
				}
				conn = nil
			}
		}
	}
}

// removeIfEmpty removes a queue unless a message has been queued in the meantime. It reports
// whether the queue was removed.
func (l *Links) removeIfEmpty(to destination, queue chan *wire.Envelope) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(l.queues, to)
	return true
}

// outgoingStream is the only stream of a session to a peer. Close closes the session.
type outgoingStream struct {
	stream  *yamux.Stream
	session *yamux.Session
}

func (o outgoingStream) Write(data []byte) (int, error) {
	if err := o.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return o.stream.Write(data)
}

func (o outgoingStream) Close() error {
	return o.session.Close()
}

// dial opens a session to a peer and sends a handshake, which is the key of this balancer as a
// big-endian 32-bit integer.
func (l *Links) dial(address netip.AddrPort) (io.WriteCloser, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: l.settings.Listen.Addr().AsSlice()}}
	conn, err := dialer.DialContext(l.ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	client, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	stream, err := client.OpenStream()
	if err != nil {
		_ = client.Close()
		return nil, fmt.Errorf("open stream: %w", err)
	}
	handshake := binary.BigEndian.AppendUint32(nil, uint32(l.settings.Self))
	out := outgoingStream{stream, client}
	if _, err := out.Write(handshake); err != nil {
		_ = out.Close()
		return nil, fmt.Errorf("send handshake: %w", err)
	}
	return out, nil
}

// acceptSessions accepts connections until the context is done.
func (l *Links) acceptSessions() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil {
				return
			}
			l.settings.OnError(fmt.Errorf("link: accept: %w", err))
			time.Sleep(dialTimeout)
			continue
		}
		go func() { l.serveSession(conn) }()
	}
}

// serveSession reads the messages of a peer's session until it is closed.
func (l *Links) serveSession(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	server, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		select {
		case <-l.ctx.Done():
			_ = server.Close()
		case <-server.CloseChan():
		}
	}()
	stream, err := server.AcceptStream()
	if err != nil {
		return
	}
	if err := l.readStream(conn, stream); !errors.Is(err, io.EOF) {
		l.settings.OnError(fmt.Errorf("link: read from %s: %w", conn.RemoteAddr(), err))
	}
}

// readStream reads the handshake and then messages. It returns an error if the peer is not
// listed with the connection's address, and otherwise the error that ended reading: io.EOF if
// the peer has closed the stream.
func (l *Links) readStream(conn net.Conn, stream io.Reader) error {
	reader := bufio.NewReader(stream)
	var handshake [4]byte
	if _, err := io.ReadFull(reader, handshake[:]); err != nil {
		return err
	}
	from := flow.MemberKey(binary.BigEndian.Uint32(handshake[:]))
	address, listed := l.settings.PeerAddress(from)
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil || !listed || remote.Addr().Unmap() != address.Addr().Unmap() {
		l.Refused.Add(1)
		return fmt.Errorf("peer %d at %s is not on the instance list with this address", from, conn.RemoteAddr())
	}
	for {
		envelope, err := readFrame(reader)
		if err != nil {
			return err
		}
		l.settings.OnEnvelope(from, envelope)
	}
}

// writeFrame writes a message after its length in bytes, a big-endian 32-bit integer.
func writeFrame(to io.Writer, envelope *wire.Envelope) error {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 4), envelope)
	if err != nil {
		return fmt.Errorf("marshal: %w", err)
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-4))
	_, err = to.Write(data)
	return err
}

// readFrame reads a message that writeFrame has written. It returns an error if the message is
// longer than maxMessageBytes.
func readFrame(from io.Reader) (*wire.Envelope, error) {
	var length [4]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message has %d bytes, limit is %d", size, maxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(from, data); err != nil {
		return nil, err
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(data, envelope); err != nil {
		return nil, fmt.Errorf("unmarshal: %w", err)
	}
	return envelope, nil
}
