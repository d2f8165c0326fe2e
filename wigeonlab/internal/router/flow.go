package router

// Callers: a flow carries requests one after the other, and repeats what finds no answer.

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

// How a flow can end.
var (
	// ErrResetByBalancer: a balancer's reset carries no tag, a backend server's does.
	ErrResetByBalancer = errors.New("reset by a balancer")
	ErrResetByServer   = errors.New("reset by a backend server")
	ErrNoAnswer        = errors.New("no answer")
	// ErrMixed is an answer of another server than the flow's, or to another request.
	ErrMixed = errors.New("answer is not the flow's own")
	// ErrClosed follows the last answer of a server that is leaving.
	ErrClosed = errors.New("closed by the backend server")
)

const (
	repeatPeriod = 200 * time.Millisecond
	// requestTries bounds how often a packet is sent: a caller gives up after 3 s.
	requestTries = 15
)

// Flow is one caller's connection. It is used by one goroutine.
type Flow struct {
	// Server is the name of the backend server, known from the first answer on.
	Server string

	router *Router
	port   uint16
	inbox  chan received
	head   platform.Header
	closed bool
}

// Open opens a flow from a port to a route's address. The port must not be in use.
func (r *Router) Open(port uint16, listen state.Endpoint) (*Flow, error) {
	f := &Flow{router: r, port: port, inbox: make(chan received, 8), head: platform.Header{Destination: listen}}
	r.mutex.Lock()
	r.waiting[port] = f.inbox
	r.mutex.Unlock()
	first := f.head
	first.Flags = platform.FlagSYN
	open, err := f.exchange(first, "", func(got received) bool { return got.head.Flags&platform.FlagSYN != 0 })
	if err != nil {
		f.forget()
		return nil, fmt.Errorf("open: %w", err)
	}
	f.head.Flags = platform.FlagACK
	f.head.Acknowledged, f.head.Tag = open.head.Sequence+1, open.head.Tag
	return f, nil
}

// Ask makes a request and waits for its answer. After an error the flow has ended.
func (f *Flow) Ask(request string) error {
	if f.closed {
		return ErrClosed
	}
	answer, err := f.exchange(f.head, request, func(got received) bool { return got.data != "" })
	if err != nil {
		return err
	}
	name, text, _ := strings.Cut(answer.data, " ")
	if text != request || f.Server != "" && name != f.Server {
		return fmt.Errorf("%w: %q of %s, asked %q of %s", ErrMixed, text, name, request, f.Server)
	}
	f.Server = name
	f.head.Sequence += uint32(len(request))
	f.head.Acknowledged += uint32(len(answer.data))
	f.closed = answer.head.Flags&platform.FlagFIN != 0
	return nil
}

// Close ends the flow.
func (f *Flow) Close() {
	last := f.head
	last.Flags |= platform.FlagFIN
	f.router.send(f.port, last, "")
	f.forget()
}

func (f *Flow) forget() {
	f.router.mutex.Lock()
	defer f.router.mutex.Unlock()
	delete(f.router.waiting, f.port)
}

// exchange sends a packet until its answer comes.
func (f *Flow) exchange(head platform.Header, data string, wanted func(received) bool) (received, error) {
	for range requestTries {
		f.router.send(f.port, head, data)
		got, err := f.await(wanted)
		if !errors.Is(err, ErrNoAnswer) {
			return got, err
		}
		if head.Flags&platform.FlagSYN != 0 {
			// A first packet counts its copies.
			head.Acknowledged++
		}
	}
	return received{}, ErrNoAnswer
}

// await reads until the answer comes or it is time to repeat. Answers that come a second
// time, and were read before, are passed over.
func (f *Flow) await(wanted func(received) bool) (received, error) {
	again := time.After(repeatPeriod)
	for {
		select {
		case got := <-f.inbox:
			switch {
			case got.head.Flags&platform.FlagRST != 0 && got.head.Tag == 0:
				if f.takes(got.head.Sequence) {
					return received{}, ErrResetByBalancer
				}
			case got.head.Flags&platform.FlagRST != 0:
				return received{}, ErrResetByServer
			case wanted(got) && got.head.Sequence == f.expected():
				return got, nil
			}
		case <-again:
			return received{}, ErrNoAnswer
		}
	}
}

// takes reports whether a reset's position is near enough to what has been read. Before
// the flow is open any will do.
func (f *Flow) takes(position uint32) bool {
	away := int32(position - f.head.Acknowledged)
	return f.head.Acknowledged == 0 || away <= resetWindow && away >= -resetWindow
}

// resetWindow is how far a reset's position may be from the caller's.
const resetWindow = 76_800

// expected is the position of the next answer.
func (f *Flow) expected() uint32 {
	if f.head.Acknowledged == 0 {
		return stand.InitialSequence
	}
	return f.head.Acknowledged + 1
}

// Call opens a flow from a port and makes requests with pauses until the context ends.
// It returns the number of answers. The error says how the flow broke.
func (r *Router) Call(ctx context.Context, port uint16, listen state.Endpoint, pause time.Duration) (int, error) {
	f, err := r.Open(port, listen)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for answers := 0; ; answers++ {
		if ctx.Err() != nil {
			return answers, nil
		}
		err := f.Ask(fmt.Sprintf("request %d of port %d", answers, port))
		if errors.Is(err, ErrClosed) {
			return answers, nil
		}
		if err != nil {
			return answers, fmt.Errorf("request %d: %w", answers, err)
		}
		time.Sleep(pause)
	}
}
