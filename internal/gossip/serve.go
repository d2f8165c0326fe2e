package gossip

// Sending the parts of transfers to balancers that request them.
//
// All parts share one token bucket, which is a fraction of the balancer's link, so that
// callers' packets and health checks are not delayed. The requests are served round robin,
// one part at a time.

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

// BytesPerSecond is a data rate.
type BytesPerSecond float64

const (
	// DefaultTransferRate is a fifth of a link of 10 Mbit/s.
	DefaultTransferRate BytesPerSecond = 250_000
	// burstDuration determines the size of the token bucket: it holds the bytes of one tick
	// of the process.
	burstDuration = 50 * time.Millisecond
	// datagramHeaderBytes is the size of the IP and UDP headers.
	datagramHeaderBytes = 28
	// maxPartsPerRequest bounds the parts sent for one request, so that no receiver depends
	// on a slow sender for long, and requests spread over all balancers that have parts.
	maxPartsPerRequest = 16
	// maxRequests bounds the requests served at a time. A request is dropped after
	// requestTTL, because its sender has turned to another balancer by then.
	maxRequests = 8
	requestTTL  = 2 * requestIdleTimeout
	// maxOffers bounds the transfers kept for further requests, and offerTTL is how long
	// each is kept after its last use.
	maxOffers = 4
	offerTTL  = 3 * time.Second
	// epochFullDelay is the time after entering an epoch during which a balancer refuses
	// requests that it can answer only with the full state. Other balancers have entered the
	// epoch earlier and can send a delta.
	epochFullDelay = time.Second
)

// request is the unsent remainder of a peer's request.
type request struct {
	to         netip.AddrPort
	transfer   *transfer
	indexes    []uint32
	receivedAt time.Time
}

// uploads is the state of sending transfers.
type uploads struct {
	rate BytesPerSecond
	// budget is the level of the token bucket in bytes.
	budget     float64
	refilledAt time.Time
	requests   []request
	offers     []*transfer
}

// refill adds to the budget what has accrued since the last call.
func (u *uploads) refill(now time.Time) {
	maxBudget := float64(u.rate) * burstDuration.Seconds()
	// The bucket always holds at least one part, even at a low rate.
	maxBudget = max(maxBudget, targetPartBytes+datagramHeaderBytes)
	if !u.refilledAt.IsZero() {
		u.budget += float64(u.rate) * now.Sub(u.refilledAt).Seconds()
	} else {
		u.budget = maxBudget
	}
	u.budget = min(u.budget, maxBudget)
	u.refilledAt = now
}

// handleWant handles a peer's request for parts.
func (n *Node) handleWant(want *wire.Want, to netip.AddrPort, now time.Time) {
	t, err := n.transferFor(want, now)
	if err != nil {
		n.config.Log.Error(err, "gossip: could not create transfer", "Peer", to)
	}
	if t == nil {
		n.sendRefusal(to, want.Transfer)
		return
	}
	u := &n.uploads
	u.requests = slices.DeleteFunc(u.requests, func(r request) bool {
		return r.to == to && r.transfer.id.removalsOnly == t.id.removalsOnly || now.Sub(r.receivedAt) > requestTTL
	})
	have := want.Have
	if want.Transfer == nil || decodeTransferID(want.Transfer) != t.id {
		have = nil
	}
	// Start at a random part, so that the receivers can exchange parts with each other.
	indexes := t.partsNotIn(have, n.config.Rand.IntN(len(t.parts)), maxPartsPerRequest)
	if len(indexes) == 0 || len(u.requests) >= maxRequests {
		n.sendRefusal(to, t.id.encode())
		return
	}
	t.lastUsed = now
	u.requests = append(u.requests, request{to: to, transfer: t, indexes: indexes, receivedAt: now})
	n.sendParts(now)
}

// transferFor returns the transfer that answers a request, nil if there is none.
func (n *Node) transferFor(want *wire.Want, now time.Time) (*transfer, error) {
	since := state.Revision(want.Revision)
	if want.Transfer == nil {
		return n.transferSince(since, want.Departed, now)
	}
	id := decodeTransferID(want.Transfer)
	if t := n.findTransfer(id); t != nil || id.removalsOnly || id.to != n.config.Replica.Revision() {
		return t, nil
	}
	// Balancers with the same items split them into the same parts.
	t, err := n.transferSince(id.from, false, now)
	if t == nil || t.id != id {
		return nil, err
	}
	return t, nil
}

// transferSince returns a transfer of the removals, or of what has changed since a revision. It
// returns nil if there is nothing to send, or if other balancers can send less.
func (n *Node) transferSince(since state.Revision, removalsOnly bool, now time.Time) (*transfer, error) {
	replica := n.config.Replica
	if !replica.Loaded() || !removalsOnly && since >= replica.Revision() {
		if t := n.stateFetch.transfer; t != nil && t.id.from == since && t.id.to > since && !removalsOnly {
			return t, nil
		}
		return nil, nil
	}
	if removalsOnly {
		delta := replica.RemovalDelta()
		return split(&delta, true, now)
	}
	if since > 0 && !replica.HasDeltaSince(since) {
		if since.Epoch() == replica.Revision().Epoch() && now.Sub(replica.EnteredEpochAt()) < epochFullDelay {
			return nil, nil
		}
		// All balancers that need the full state get the same transfer.
		since = 0
	}
	if t := n.findOfferSince(since, now); t != nil {
		return t, nil
	}
	delta := replica.DeltaSince(since)
	if delta.Full {
		// New balancers request removals separately, from several peers.
		delta.From, delta.Removals = 0, nil
	}
	t, err := split(&delta, false, now)
	if err != nil {
		return nil, err
	}
	n.uploads.addOffer(t, now)
	return t, nil
}

// findTransfer returns the transfer with an ID, complete or partial, or nil.
func (n *Node) findTransfer(id transferID) *transfer {
	if t := n.stateFetch.transfer; t != nil && t.id == id {
		return t
	}
	for _, t := range n.uploads.offers {
		if t.id == id {
			return t
		}
	}
	return nil
}

// findOfferSince returns the offered transfer that starts at a revision, or nil. A large
// transfer in recent use is still offered for a while after the next change, so that its
// receivers can exchange parts with each other.
func (n *Node) findOfferSince(since state.Revision, now time.Time) *transfer {
	for _, t := range n.uploads.offers {
		shared := len(t.parts) > maxPartsPerRequest && now.Sub(t.lastUsed) < stallTimeout
		if t.id.from == since && (shared || t.id.to == n.config.Replica.Revision()) {
			return t
		}
	}
	return nil
}

// addOffer keeps a transfer for further requests, and drops the least recently used one if
// there are too many.
func (u *uploads) addOffer(t *transfer, now time.Time) {
	t.lastUsed = now
	u.offers = append(u.offers, t)
	if len(u.offers) > maxOffers {
		oldest := slices.MinFunc(u.offers, func(a, b *transfer) int { return cmp.Compare(a.lastUsed.UnixNano(), b.lastUsed.UnixNano()) })
		u.offers = slices.DeleteFunc(u.offers, func(t *transfer) bool { return t == oldest })
	}
}

// sendRefusal informs a peer that no parts will be sent.
func (n *Node) sendRefusal(to netip.AddrPort, id *wire.Transfer) {
	n.sendPart(to, &wire.Part{Transfer: id, None: true})
}

// sendParts sends the requested parts until the budget is used up.
func (n *Node) sendParts(now time.Time) {
	u := &n.uploads
	u.refill(now)
	for len(u.requests) > 0 {
		r := u.requests[0]
		if now.Sub(r.receivedAt) > requestTTL {
			u.requests = u.requests[1:]
			continue
		}
		next := r.transfer.parts[r.indexes[0]]
		cost := float64(len(next.data) + datagramHeaderBytes)
		if u.budget < cost {
			return
		}
		u.budget -= cost
		u.requests = u.requests[1:]
		n.sendPart(r.to, &wire.Part{
			Transfer: r.transfer.id.encode(), Index: r.indexes[0], Data: next.data,
			AgeMilliseconds: uint32(now.Sub(next.writtenAt).Milliseconds()), Left: uint32(len(r.indexes) - 1),
			Gap: uint64(r.transfer.gap),
		})
		if r.indexes = r.indexes[1:]; len(r.indexes) > 0 {
			u.requests = append(u.requests, r)
		}
	}
	u.offers = slices.DeleteFunc(u.offers, func(t *transfer) bool { return now.Sub(t.lastUsed) > offerTTL })
}

func (n *Node) sendPart(to netip.AddrPort, part *wire.Part) {
	n.outbox = append(n.outbox, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Part{Part: part}})})
}
