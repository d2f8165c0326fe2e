package gossip

// Asking for what has changed, and putting the parts together.
//
// Two requests are out at a time, to balancers that have told lately that they know more
// or are fetching it themselves; the next one goes to another. So what is sent to a
// balancer is bounded by two senders' budgets, and a fleet that lags behind as a whole
// gets parts from itself. With one request a third of the senders have nobody to serve
// at any moment.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

const (
	// wantPatience is how long no part may come before another balancer is asked. A
	// sender with a budget of 250 KB/s and all askers it takes sends a part to each
	// within 50 ms.
	wantPatience = 150 * time.Millisecond
	// wantPause lies between two requests at least, as answers may be none.
	wantPause = 20 * time.Millisecond
	// stallSpan is the time without a part after which a transfer is given up: nobody
	// has its parts any longer, or those who have cannot be reached.
	stallSpan = 500 * time.Millisecond
	// maxSources bounds the balancers remembered that know more, and sourceLife how long
	// they are.
	maxSources = 8
	sourceLife = time.Second
	// maxPending bounds the requests that are out.
	maxPending = 2
)

// pending is a request that is out.
type pending struct {
	to netip.AddrPort
	// heard is when the request was made or a part came.
	heard time.Time
}

// source is a balancer that knows more.
type source struct {
	address  netip.AddrPort
	revision state.Revision
	at       time.Time
}

// fetch is a transfer on its way here. The zero value asks for nothing.
type fetch struct {
	transfer *transfer
	pending  []pending
	// moved is when a part came.
	moved    time.Time
	nextWant time.Time
	// whole is set when everything is to be asked for, as a difference did not fit.
	whole   bool
	sources []source
}

// full reports whether as many requests are out as may be.
func (f *fetch) full(now time.Time) bool {
	f.pending = slices.DeleteFunc(f.pending, func(p pending) bool { return now.Sub(p.heard) >= wantPatience })
	return len(f.pending) >= maxPending || now.Before(f.nextWant)
}

// awaits returns the request to a peer that is out, or nil.
func (f *fetch) awaits(peer netip.AddrPort) *pending {
	for index := range f.pending {
		if f.pending[index].to == peer {
			return &f.pending[index]
		}
	}
	return nil
}

// answered notes that a peer has sent all that it does.
func (f *fetch) answered(peer netip.AddrPort) {
	f.pending = slices.DeleteFunc(f.pending, func(p pending) bool { return p.to == peer })
}

// sent notes a request.
func (f *fetch) sent(to netip.AddrPort, now time.Time) {
	f.answered(to)
	f.pending = append(f.pending, pending{to: to, heard: now})
	f.nextWant = now.Add(wantPause)
}

// next draws a balancer that knows more and is not being asked, false if there is none.
func (f *fetch) next(random *rand.Rand) (netip.AddrPort, bool) {
	if len(f.sources) == 0 {
		return netip.AddrPort{}, false
	}
	first := random.IntN(len(f.sources))
	for offset := range f.sources {
		if to := f.sources[(first+offset)%len(f.sources)].address; f.awaits(to) == nil {
			return to, true
		}
	}
	return netip.AddrPort{}, false
}

// learn remembers a balancer that knows more.
func (f *fetch) learn(address netip.AddrPort, revision state.Revision, now time.Time) {
	f.forget(address)
	if len(f.sources) >= maxSources {
		f.sources = f.sources[1:]
	}
	f.sources = append(f.sources, source{address, revision, now})
}

func (f *fetch) forget(address netip.AddrPort) {
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool { return s.address == address })
}

// drop forgets the transfer once it is whole, has stalled or is no longer needed.
func (f *fetch) drop() { f.transfer = nil }

// fetching returns the revision that parts are there of, or 0.
func (f *fetch) fetching() state.Revision {
	if f.transfer == nil {
		return 0
	}
	return f.transfer.id.to
}

// Fetching reports whether a peer that knows more has been asked.
func (n *Node) Fetching() bool { return len(n.view.sources) > 0 || n.view.transfer != nil }

// reached returns the revision to ask from: 0 for everything.
func (n *Node) reached() state.Revision {
	if !n.settings.Replica.Loaded() || n.view.whole {
		return 0
	}
	return n.settings.Replica.Revision()
}

// pursue asks for what is missing, if no answer is awaited.
func (n *Node) pursue(now time.Time) {
	f := &n.view
	revision := n.settings.Replica.Revision()
	loaded := n.settings.Replica.Loaded()
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool {
		return loaded && s.revision <= revision || now.Sub(s.at) > sourceLife
	})
	if f.transfer != nil && (loaded && f.transfer.id.to <= revision || now.Sub(f.moved) > stallSpan) {
		f.drop()
	}
	if f.full(now) || f.transfer == nil && len(f.pending) > 0 {
		return
	}
	to, found := f.next(n.settings.Rand)
	if !found {
		return
	}
	want := &wire.Want{Revision: uint64(n.reached())}
	if t := f.transfer; t != nil {
		want.Transfer, want.Have = t.id.encode(), t.have()
	}
	f.sent(to, now)
	n.sendWant(to, want)
}

func (n *Node) sendWant(to netip.AddrPort, want *wire.Want) {
	n.out = append(n.out, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Want{Want: want}})})
}

// compare takes in what the sender knows of the newest revision.
func (n *Node) compare(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	revision := n.settings.Replica.Revision()
	loaded := n.settings.Replica.Loaded()
	theirs := state.Revision(message.Revision)
	if most := max(theirs, state.Revision(message.Fetching)); most > revision || !loaded && most > 0 {
		n.view.learn(from, most, now)
		n.pursue(now)
	}
	if theirs == revision && loaded && message.ConfirmedMilliseconds > 0 {
		n.confirm(now.Add(-time.Duration(message.ConfirmedMilliseconds) * time.Millisecond))
	}
}

// learnDeparted asks peers for the backend servers that have left the platform's list
// and may still hold flows. Only a newcomer asks: the others have seen them leave.
func (n *Node) learnDeparted(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	current := n.settings.Replica.Loaded() && state.Revision(message.Revision) <= n.settings.Replica.Revision()
	f := &n.departed
	if n.departedAnswers >= departedSources || !current || message.Revision == 0 || f.full(now) || len(f.pending) > 0 {
		return
	}
	n.wantDeparted(from, now)
}

func (n *Node) wantDeparted(from netip.AddrPort, now time.Time) {
	f := &n.departed
	want := &wire.Want{Departed: true}
	if t := f.transfer; t != nil && f.awaits(from) != nil {
		want.Transfer, want.Have = t.id.encode(), t.have()
	} else {
		f.drop()
	}
	f.sent(from, now)
	n.sendWant(from, want)
}

// takePart takes a part in.
func (n *Node) takePart(part *wire.Part, from netip.AddrPort, now time.Time) error {
	if part.None {
		n.refused(part, from, now)
		return nil
	}
	if part.Transfer == nil || part.Transfer.Count > maxParts || part.Index >= part.Transfer.Count {
		return fmt.Errorf("gossip: part %d of %d from %s: at most %d parts are taken", part.Index, part.Transfer.GetCount(), from, maxParts)
	}
	id := decodeTransferID(part.Transfer)
	f := &n.view
	if id.departed {
		f = &n.departed
	}
	if !id.departed && n.settings.Replica.Loaded() && id.to <= n.settings.Replica.Revision() {
		return nil
	}
	begun := f.transfer == nil
	if begun {
		f.transfer = newTransfer(id)
	}
	t := f.transfer
	if t.id != id {
		return nil
	}
	t.put(part.Index, part.Data, now.Add(-time.Duration(part.AgeMilliseconds)*time.Millisecond))
	f.moved = now
	request := f.awaits(from)
	if request != nil {
		request.heard = now
	}
	if t.missing == 0 {
		f.drop()
		f.pending = nil
		return n.finish(t, from, now)
	}
	if part.Left == 0 {
		if id.departed && request != nil {
			n.wantDeparted(from, now)
		} else {
			f.answered(from)
		}
	}
	if !id.departed {
		n.pursue(now)
	}
	if begun && !id.departed {
		// Others may ask here for the parts that are there.
		n.round(now)
	}
	return nil
}

// refused takes in that a peer sends nothing.
func (n *Node) refused(part *wire.Part, from netip.AddrPort, now time.Time) {
	if part.Transfer != nil && part.Transfer.Departed {
		n.departed.answered(from)
		return
	}
	n.view.answered(from)
	n.view.forget(from)
	n.pursue(now)
}

// finish applies a transfer that is whole.
func (n *Node) finish(t *transfer, from netip.AddrPort, now time.Time) error {
	delta, err := t.delta(now)
	if err != nil {
		return fmt.Errorf("gossip: read difference of %s: %w", from, err)
	}
	if t.id.departed {
		n.departedAnswers++
	} else {
		n.outgoing.keep(t, now)
	}
	changed, err := n.settings.Replica.Apply(delta, now)
	if errors.Is(err, state.ErrDigestMismatch) {
		n.view.whole = true
		return fmt.Errorf("gossip: difference of %s, everything is asked for: %w", from, err)
	}
	if err != nil {
		return fmt.Errorf("gossip: difference of %s: %w", from, err)
	}
	if t.id.full {
		n.view.whole = false
	}
	if changed {
		n.settings.Changed(from.String(), now)
	}
	return nil
}

func (n *Node) marshal(exchange *wire.Exchange) []byte {
	data, err := proto.Marshal(exchange)
	if err != nil {
		// Only text that is not UTF-8 cannot be written, and it is checked on the
		// way in.
		n.settings.Log.Error(err, "gossip: message could not be written")
	}
	return data
}
