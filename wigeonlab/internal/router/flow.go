package router

// Callers. A flow sends one request at a time and retransmits it until the answer arrives.

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform"
	"wigeonmoor.example/platform/stand"
)

// Errors that end a flow.
var (
	// ErrResetByBalancer reports a reset without a tag. Resets of backend servers carry
	// the flow's tag.
	ErrResetByBalancer = errors.New("reset by a balancer")
	// ErrResetByServer reports a reset that carries a tag.
	ErrResetByServer = errors.New("reset by a backend server")
	// ErrNoAnswer reports that no attempt was answered.
	ErrNoAnswer = errors.New("no answer")
	// ErrWrongAnswer reports an answer from a server other than the flow's, or to another
	// request.
	ErrWrongAnswer = errors.New("answer belongs to another server or request")
	// ErrClosed reports that the server has closed the flow after its last answer, as a
	// draining server does.
	ErrClosed = errors.New("closed by the backend server")
)

const (
	// retransmitInterval is how long a caller waits for an answer before it retransmits.
	retransmitInterval = 200 * time.Millisecond
	// maxAttempts limits how often a packet is sent: a caller gives up after 3 s.
	maxAttempts = 15
)

// Flow is a caller's connection. It must not be used by several goroutines at a time.
type Flow struct {
	// Server is the name of the backend server, empty until the first answer.
	Server string

	router *Router
	// port is the caller's port. inbox receives the packets to it.
	port  uint16
	inbox chan receivedPacket
	// header is the header of the next packet.
	header platform.Header
	// closed is set when the server has closed the flow.
	closed bool
}

// Open opens a flow from a caller's port to a route's address. The port must not be in use by
// another flow. Errors are ErrNoAnswer, ErrResetByBalancer and ErrResetByServer, wrapped.
func (r *Router) Open(port uint16, route state.Endpoint) (*Flow, error) {
	f := &Flow{router: r, port: port, inbox: make(chan receivedPacket, 8), header: platform.Header{Destination: route}}
	r.mutex.Lock()
	r.inboxes[port] = f.inbox
	r.mutex.Unlock()
	synHeader := f.header
	synHeader.Flags = platform.FlagSYN
	answer, err := f.exchange(synHeader, "", func(got receivedPacket) bool { return got.header.Flags&platform.FlagSYN != 0 })
	if err != nil {
		f.unregister()
		return nil, fmt.Errorf("open: %w", err)
	}
	f.header.Flags = platform.FlagACK
	f.header.Acknowledged, f.header.Tag = answer.header.Sequence+1, answer.header.Tag
	return f, nil
}

// Request sends a request and waits for its answer, which must be the server's name, a space
// and the request. Errors are ErrClosed, ErrNoAnswer, ErrResetByBalancer, ErrResetByServer
// and, wrapped, ErrWrongAnswer. The flow is unusable after an error.
func (f *Flow) Request(request string) error {
	if f.closed {
		return ErrClosed
	}
	answer, err := f.exchange(f.header, request, func(got receivedPacket) bool { return got.data != "" })
	if err != nil {
		return err
	}
	name, text, _ := strings.Cut(answer.data, " ")
	if text != request || f.Server != "" && name != f.Server {
		return fmt.Errorf("%w: got %q from %s, want %q from %s", ErrWrongAnswer, text, name, request, f.Server)
	}
	f.Server = name
	f.header.Sequence += uint32(len(request))
	f.header.Acknowledged += uint32(len(answer.data))
	f.closed = answer.header.Flags&platform.FlagFIN != 0
	return nil
}

// Close sends the flow's last packet once, and releases the port without waiting for an
// answer.
func (f *Flow) Close() {
	finHeader := f.header
	finHeader.Flags |= platform.FlagFIN
	f.router.send(f.port, finHeader, "")
	f.unregister()
}

// unregister releases the caller's port.
func (f *Flow) unregister() {
	f.router.mutex.Lock()
	defer f.router.mutex.Unlock()
	delete(f.router.inboxes, f.port)
}

// exchange sends a packet until its answer arrives, at most maxAttempts times.
func (f *Flow) exchange(header platform.Header, data string, isAnswer func(receivedPacket) bool) (receivedPacket, error) {
	for range maxAttempts {
		f.router.send(f.port, header, data)
		got, err := f.awaitAnswer(isAnswer)
		if !errors.Is(err, ErrNoAnswer) {
			return got, err
		}
		if header.Flags&platform.FlagSYN != 0 {
			// A first packet carries the number of its retransmissions here.
			header.Acknowledged++
		}
	}
	return receivedPacket{}, ErrNoAnswer
}

// awaitAnswer receives packets until the answer arrives, or returns ErrNoAnswer when it is
// time to retransmit. Duplicates of earlier answers are skipped.
func (f *Flow) awaitAnswer(isAnswer func(receivedPacket) bool) (receivedPacket, error) {
	timeout := time.After(retransmitInterval)
	for {
		select {
		case got := <-f.inbox:
			switch {
			case got.header.Flags&platform.FlagRST != 0 && got.header.Tag == 0:
				if f.acceptsReset(got.header.Sequence) {
					return receivedPacket{}, ErrResetByBalancer
				}
			case got.header.Flags&platform.FlagRST != 0:
				return receivedPacket{}, ErrResetByServer
			case isAnswer(got) && got.header.Sequence == f.expectedSequence():
				return got, nil
			}
		case <-timeout:
			return receivedPacket{}, ErrNoAnswer
		}
	}
}

// acceptsReset reports whether a balancer's reset is valid: its sequence number must be
// within resetWindow of the data that was read. Before the flow is open, any sequence number
// is valid.
func (f *Flow) acceptsReset(sequence uint32) bool {
	distance := int32(sequence - f.header.Acknowledged)
	return f.header.Acknowledged == 0 || distance <= resetWindow && distance >= -resetWindow
}

// resetWindow is the maximum distance, in bytes, of a reset's sequence number from the
// caller's position.
const resetWindow = 76_800

// expectedSequence returns the sequence number of the next answer.
func (f *Flow) expectedSequence() uint32 {
	if f.header.Acknowledged == 0 {
		return stand.InitialSequence
	}
	return f.header.Acknowledged + 1
}

// RunFlow opens a flow from a caller's port to a route's address and sends a request per
// interval until the context is canceled or the server closes the flow. It returns the number
// of answers. The error is that of Open or Request, wrapped.
func (r *Router) RunFlow(ctx context.Context, port uint16, route state.Endpoint, interval time.Duration) (int, error) {
	f, err := r.Open(port, route)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for answers := 0; ; answers++ {
		if ctx.Err() != nil {
			return answers, nil
		}
		err := f.Request(fmt.Sprintf("request %d of port %d", answers, port))
		if errors.Is(err, ErrClosed) {
			return answers, nil
		}
		if err != nil {
			return answers, fmt.Errorf("request %d: %w", answers, err)
		}
		time.Sleep(interval)
	}
}
