// Package link carries control messages between balancers, in order, over yamux
// streams with length-prefixed protobuf.
//
// A balancer opens one session to each peer that it has something to say to, and
// writes on one stream; answers come over the peer's own session. Messages to a
// peer that cannot be reached are dropped, since whatever needs an answer is
// repeated by the core on its own clock.
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

// Times and sizes of links.
const (
	dialTimeout     = time.Second
	writeTimeout    = 2 * time.Second
	queueMessages   = 1024
	maxMessageBytes = 8 << 20
	idleLife        = time.Minute
)

// Config sets the links up. The callbacks are called from the links' goroutines.
type Config struct {
	Self   flow.MemberKey
	Listen netip.AddrPort
	// Allowed returns the address of a balancer that is on the platform's list.
	Allowed func(flow.MemberKey) (netip.AddrPort, bool)
	Receive func(from flow.MemberKey, envelope *wire.Envelope)
	Failed  func(error)
}

// Links are the sessions to and from all peers.
type Links struct {
	// Dropped counts messages that could not be sent, Refused counts strangers.
	Dropped atomic.Int64
	Refused atomic.Int64

	settings Config
	listener net.Listener
	ctx      context.Context
	mutex    sync.Mutex
	senders  map[destination]chan *wire.Envelope
}

// destination is a peer at an address: a replaced instance may keep its name.
type destination struct {
	peer    flow.MemberKey
	address netip.AddrPort
}

// New listens for peers until the context ends.
func New(ctx context.Context, settings Config) (*Links, error) {
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("link: listen for peers on %s: %w", settings.Listen, err)
	}
	l := &Links{settings: settings, listener: listener, ctx: ctx, senders: make(map[destination]chan *wire.Envelope)}
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go func() { l.accept() }()
	return l, nil
}

// session returns settings that send nothing while there is nothing to say.
func session() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.EnableKeepAlive = false
	settings.ConnectionWriteTimeout = writeTimeout
	settings.LogOutput = io.Discard
	return settings
}

// Send queues a message for a peer, or drops it when the queue is full.
func (l *Links) Send(to flow.MemberKey, address netip.AddrPort, envelope *wire.Envelope) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	where := destination{to, address}
	queue := l.senders[where]
	if queue == nil {
		queue = make(chan *wire.Envelope, queueMessages)
		l.senders[where] = queue
		go func() { l.serveQueue(where, queue) }()
	}
	select {
	case queue <- envelope:
	default:
		l.Dropped.Add(1)
	}
}

// serveQueue sends a peer's messages until there have been none for a while.
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
		case <-time.After(idleLife):
			if l.retire(to, queue) {
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
				l.settings.Failed(fmt.Errorf("link: send to %s: %w", to.address, err))
				if conn != nil {
					_ = conn.Close()
				}
				conn = nil
			}
		}
	}
}

// retire ends a queue unless something has come in meanwhile.
func (l *Links) retire(to destination, queue chan *wire.Envelope) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(l.senders, to)
	return true
}

// outgoing is a stream with the session that it is the only one of.
type outgoing struct {
	stream  *yamux.Stream
	session *yamux.Session
}

func (o outgoing) Write(data []byte) (int, error) {
	if err := o.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return o.stream.Write(data)
}

func (o outgoing) Close() error {
	return o.session.Close()
}

// dial opens a session and says who this balancer is.
func (l *Links) dial(address netip.AddrPort) (io.WriteCloser, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: l.settings.Listen.Addr().AsSlice()}}
	conn, err := dialer.DialContext(l.ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	client, err := yamux.Client(conn, session())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	stream, err := client.OpenStream()
	if err != nil {
		_ = client.Close()
		return nil, fmt.Errorf("open stream: %w", err)
	}
	hello := binary.BigEndian.AppendUint32(nil, uint32(l.settings.Self))
	out := outgoing{stream, client}
	if _, err := out.Write(hello); err != nil {
		_ = out.Close()
		return nil, fmt.Errorf("say hello: %w", err)
	}
	return out, nil
}

func (l *Links) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil {
				return
			}
			l.settings.Failed(fmt.Errorf("link: accept: %w", err))
			time.Sleep(dialTimeout)
			continue
		}
		go func() { l.serve(conn) }()
	}
}

// serve reads one session's messages.
func (l *Links) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	server, err := yamux.Server(conn, session())
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
		l.settings.Failed(fmt.Errorf("link: read from %s: %w", conn.RemoteAddr(), err))
	}
}

func (l *Links) readStream(conn net.Conn, stream io.Reader) error {
	reader := bufio.NewReader(stream)
	var hello [4]byte
	if _, err := io.ReadFull(reader, hello[:]); err != nil {
		return err
	}
	from := flow.MemberKey(binary.BigEndian.Uint32(hello[:]))
	address, listed := l.settings.Allowed(from)
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil || !listed || remote.Addr().Unmap() != address.Addr().Unmap() {
		l.Refused.Add(1)
		return fmt.Errorf("peer %d at %s is not on the instance list", from, conn.RemoteAddr())
	}
	for {
		envelope, err := readFrame(reader)
		if err != nil {
			return err
		}
		l.settings.Receive(from, envelope)
	}
}

// writeFrame writes one message with its length in front.
func writeFrame(to io.Writer, envelope *wire.Envelope) error {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 4), envelope)
	if err != nil {
		return fmt.Errorf("marshal: %w", err)
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-4))
	_, err = to.Write(data)
	return err
}

// readFrame reads one message. Messages over maxMessageBytes are refused.
func readFrame(from io.Reader) (*wire.Envelope, error) {
	var length [4]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes, at most %d", size, maxMessageBytes)
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
