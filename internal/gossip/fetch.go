package gossip

// Requests for changes, and reassembly of the parts that arrive.
//
// Up to two requests are pending at a time, each to a different balancer that has recently
// announced a newer revision or is fetching one itself. The traffic sent to a balancer is
// therefore bounded by the budgets of two senders, and when a whole fleet is behind, its
// members get parts from each other. With a single request, a third of the senders are idle
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
	// requestIdleTimeout is how long a request may go without a part before the parts are
	// requested from another balancer. A sender with a budget of 250 KB/s that serves the
	// maximum number of requests sends a part for each within 50 ms.
	requestIdleTimeout = 150 * time.Millisecond
	// minRequestInterval is the minimum time between two requests. It limits the rate of
	// requests that are refused immediately.
	minRequestInterval = 20 * time.Millisecond
	// stallTimeout is the time without a part after which a transfer is abandoned: no peer
	// has its parts any longer, or those that have them are unreachable.
	stallTimeout = 500 * time.Millisecond
	// maxSources bounds the remembered balancers that have a newer revision, and sourceTTL
	// is how long each is remembered.
	maxSources = 8
	sourceTTL  = time.Second
	// maxPendingRequests bounds the requests that are pending at the same time.
	maxPendingRequests = 2
)

// pendingRequest is a request that may still be answered.
type pendingRequest struct {
	to netip.AddrPort
	// lastActivity is when the request was sent or its latest part arrived.
	lastActivity time.Time
}

// source is a balancer that has announced a newer revision.
type source struct {
	address  netip.AddrPort
	revision state.Revision
	seenAt   time.Time
}

// fetch is the state of receiving a transfer. The zero value has nothing to request.
type fetch struct {
	transfer *transfer
	pending  []pendingRequest
	// lastPart is when the latest part arrived.
	lastPart    time.Time
	nextRequest time.Time
	// needsFull is set when the full state has to be requested because a difference could
	// not be applied.
	needsFull bool
	sources   []source
}

// atRequestLimit drops timed-out requests and reports whether no further request may be
// sent now.
func (f *fetch) atRequestLimit(now time.Time) bool {
	f.pending = slices.DeleteFunc(f.pending, func(p pendingRequest) bool { return now.Sub(p.lastActivity) >= requestIdleTimeout })
	return len(f.pending) >= maxPendingRequests || now.Before(f.nextRequest)
}

// pendingTo returns the pending request to a peer, or nil.
func (f *fetch) pendingTo(peer netip.AddrPort) *pendingRequest {
	for index := range f.pending {
		if f.pending[index].to == peer {
			return &f.pending[index]
		}
	}
	return nil
}

// removePending removes the pending request to a peer.
func (f *fetch) removePending(peer netip.AddrPort) {
	f.pending = slices.DeleteFunc(f.pending, func(p pendingRequest) bool { return p.to == peer })
}

// addPending records a request that has been sent.
func (f *fetch) addPending(to netip.AddrPort, now time.Time) {
	f.removePending(to)
	f.pending = append(f.pending, pendingRequest{to: to, lastActivity: now})
	f.nextRequest = now.Add(minRequestInterval)
}

// pickSource returns a random source without a pending request, and false if there is none.
func (f *fetch) pickSource(random *rand.Rand) (netip.AddrPort, bool) {
	if len(f.sources) == 0 {
		return netip.AddrPort{}, false
	}
	first := random.IntN(len(f.sources))
	for offset := range f.sources {
		if to := f.sources[(first+offset)%len(f.sources)].address; f.pendingTo(to) == nil {
			return to, true
		}
	}
	return netip.AddrPort{}, false
}

// addSource records that a balancer has a newer revision. The oldest source makes room for
// it if necessary.
func (f *fetch) addSource(address netip.AddrPort, revision state.Revision, now time.Time) {
	f.removeSource(address)
	if len(f.sources) >= maxSources {
		f.sources = f.sources[1:]
	}
	f.sources = append(f.sources, source{address, revision, now})
}

func (f *fetch) removeSource(address netip.AddrPort) {
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool { return s.address == address })
}

// dropTransfer discards the transfer when it is complete, stalled or no longer needed.
func (f *fetch) dropTransfer() { f.transfer = nil }

// targetRevision returns the revision that the current transfer leads to, or 0 without one.
func (f *fetch) targetRevision() state.Revision {
	if f.transfer == nil {
		return 0
	}
	return f.transfer.id.to
}

// Fetching reports whether a peer is known to have a newer revision or a transfer is in
// progress.
func (n *Node) Fetching() bool { return len(n.stateFetch.sources) > 0 || n.stateFetch.transfer != nil }

// baseRevision returns the revision to request a difference from, 0 for the full state.
func (n *Node) baseRevision() state.Revision {
	if !n.config.Replica.Loaded() || n.stateFetch.needsFull {
		return 0
	}
	return n.config.Replica.Revision()
}

// requestMissing sends a request for missing changes to one source, unless the request
// limit is reached or the first request of a transfer is still unanswered.
func (n *Node) requestMissing(now time.Time) {
	f := &n.stateFetch
	revision := n.config.Replica.Revision()
	loaded := n.config.Replica.Loaded()
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool {
		return loaded && s.revision <= revision || now.Sub(s.seenAt) > sourceTTL
	})
	if f.transfer != nil && (loaded && f.transfer.id.to <= revision || now.Sub(f.lastPart) > stallTimeout) {
		f.dropTransfer()
	}
	if f.atRequestLimit(now) || f.transfer == nil && len(f.pending) > 0 {
		return
	}
	to, found := f.pickSource(n.config.Rand)
	if !found {
		return
	}
	want := &wire.Want{Revision: uint64(n.baseRevision())}
	if t := f.transfer; t != nil {
		want.Transfer, want.Have = t.id.encode(), t.haveBitmap()
	}
	f.addPending(to, now)
	n.sendWant(to, want)
}

func (n *Node) sendWant(to netip.AddrPort, want *wire.Want) {
	n.outbox = append(n.outbox, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Want{Want: want}})})
}

// compareRevisions compares the sender's revision with the local one. A sender with a newer
// revision becomes a source, and one with the same revision may confirm that the revision is
// current.
func (n *Node) compareRevisions(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	revision := n.config.Replica.Revision()
	loaded := n.config.Replica.Loaded()
	senderRevision := state.Revision(message.Revision)
	if newest := max(senderRevision, state.Revision(message.Fetching)); newest > revision || !loaded && newest > 0 {
		n.stateFetch.addSource(from, newest, now)
		n.requestMissing(now)
	}
	if senderRevision == revision && loaded && message.ConfirmedMilliseconds > 0 {
		n.confirm(now.Add(-time.Duration(message.ConfirmedMilliseconds) * time.Millisecond))
	}
}

// requestRemovalsIfNeeded requests the removals of backend servers, because the removed
// servers may still have flows. Only a balancer that has recently started needs them; all
// others were running when the servers were removed.
func (n *Node) requestRemovalsIfNeeded(message *wire.Gossip, from netip.AddrPort, now time.Time) {
	upToDate := n.config.Replica.Loaded() && state.Revision(message.Revision) <= n.config.Replica.Revision()
	f := &n.removalFetch
	if n.removalTransfers >= maxRemovalTransfers || !upToDate || message.Revision == 0 || f.atRequestLimit(now) || len(f.pending) > 0 {
		return
	}
	n.requestRemovals(from, now)
}

// requestRemovals sends a request for all removals. It continues the current transfer if
// that comes from the same peer, and starts over otherwise.
func (n *Node) requestRemovals(from netip.AddrPort, now time.Time) {
	f := &n.removalFetch
	want := &wire.Want{Departed: true}
	if t := f.transfer; t != nil && f.pendingTo(from) != nil {
		want.Transfer, want.Have = t.id.encode(), t.haveBitmap()
	} else {
		f.dropTransfer()
	}
	f.addPending(from, now)
	n.sendWant(from, want)
}

// handlePart stores a part, and applies the transfer when all parts have arrived.
func (n *Node) handlePart(part *wire.Part, from netip.AddrPort, now time.Time) error {
	if part.None {
		n.handleRefusal(part, from, now)
		return nil
	}
	if part.Transfer == nil || part.Transfer.Count > maxParts || part.Index >= part.Transfer.Count {
		return fmt.Errorf("gossip: part %d of %d from %s: invalid index, or more than %d parts", part.Index, part.Transfer.GetCount(), from, maxParts)
	}
	id := decodeTransferID(part.Transfer)
	f := &n.stateFetch
	if id.removalsOnly {
		f = &n.removalFetch
	}
	if !id.removalsOnly && n.config.Replica.Loaded() && id.to <= n.config.Replica.Revision() {
		return nil
	}
	isFirst := f.transfer == nil
	if isFirst {
		f.transfer = newTransfer(id)
		f.transfer.gap = state.Revision(part.Gap)
	}
	t := f.transfer
	if t.id != id {
		return nil
	}
	t.gap = min(t.gap, state.Revision(part.Gap))
	t.setPart(part.Index, part.Data, now.Add(-time.Duration(part.AgeMilliseconds)*time.Millisecond))
	f.lastPart = now
	request := f.pendingTo(from)
	if request != nil {
		request.lastActivity = now
	}
	if t.missing == 0 {
		f.dropTransfer()
		f.pending = nil
		return n.applyTransfer(t, from, now)
	}
	if part.Left == 0 {
		if id.removalsOnly && request != nil {
			n.requestRemovals(from, now)
		} else {
			f.removePending(from)
		}
	}
	if !id.removalsOnly {
		n.requestMissing(now)
	}
	if isFirst && !id.removalsOnly {
		// Announce at once that parts are available here, so that others can request them.
		n.sendRound(now)
	}
	return nil
}

// handleRefusal removes the request to a peer that has nothing to send or is overloaded.
func (n *Node) handleRefusal(part *wire.Part, from netip.AddrPort, now time.Time) {
	if part.Transfer != nil && part.Transfer.Departed {
		n.removalFetch.removePending(from)
		return
	}
	n.stateFetch.removePending(from)
	n.stateFetch.removeSource(from)
	n.requestMissing(now)
}

// applyTransfer decodes a complete transfer, applies it to the replica and offers it to
// peers.
func (n *Node) applyTransfer(t *transfer, from netip.AddrPort, now time.Time) error {
	delta, err := t.decode(now)
	if err != nil {
		return fmt.Errorf("gossip: decode transfer from %s: %w", from, err)
	}
	if t.id.removalsOnly {
		n.removalTransfers++
	} else {
		n.uploads.addOffer(t, now)
	}
	changed, err := n.config.Replica.Apply(delta, now)
	if errors.Is(err, state.ErrDigestMismatch) {
		n.stateFetch.needsFull = true
		return fmt.Errorf("gossip: apply transfer from %s (requesting the full state): %w", from, err)
	}
	if err != nil {
		return fmt.Errorf("gossip: apply transfer from %s: %w", from, err)
	}
	if t.id.full {
		n.stateFetch.needsFull = false
	}
	if changed {
		n.config.OnChange(from.String(), now)
	}
	return nil
}

func (n *Node) marshal(exchange *wire.Exchange) []byte {
	data, err := proto.Marshal(exchange)
	if err != nil {
		// The only possible cause is text that is not valid UTF-8, which is rejected on
		// input.
		n.config.Log.Error(err, "gossip: could not marshal message")
	}
	return data
}
