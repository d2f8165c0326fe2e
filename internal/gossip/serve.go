package gossip

// Sending parts of transfers to balancers that ask.
//
// All that is sent this way shares one budget, a part of the balancer's link, so that
// callers' packets and checks never wait behind it. Askers take turns, a part each.

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

// Rate is a number of bytes a second.
type Rate float64

const (
	// DefaultBulkRate is a fifth of a link of 10 Mbit/s.
	DefaultBulkRate Rate = 250_000
	// burstSpan is the budget's part that may be sent at once: that of a tick of the
	// process.
	burstSpan = 50 * time.Millisecond
	// datagramBytes is what IP and UDP add to a datagram.
	datagramBytes = 28
	// partsPerWant bounds the parts sent for one request, so that nobody waits long for
	// a sender that is slow, and askers spread over those that have parts.
	partsPerWant = 16
	// maxRequests bounds the askers served at a time. A request lives for requestLife:
	// its sender asks another one by then.
	maxRequests = 8
	requestLife = 2 * wantPatience
	// offersKept bounds the transfers kept to serve from, and offerLife how long they
	// are kept after their last use.
	offersKept = 4
	offerLife  = 3 * time.Second
)

// request is what is left to send to one asker.
type request struct {
	to       netip.AddrPort
	transfer *transfer
	wanted   []uint32
	at       time.Time
}

// outgoing is what is sent of transfers.
type outgoing struct {
	rate     Rate
	budget   float64
	filledAt time.Time
	requests []request
	offers   []*transfer
}

// fill adds what the budget has gained.
func (d *outgoing) fill(now time.Time) {
	most := float64(d.rate) * burstSpan.Seconds()
	// A part is sent even where a tick's budget is less.
	most = max(most, partBytes+datagramBytes)
	if !d.filledAt.IsZero() {
		d.budget += float64(d.rate) * now.Sub(d.filledAt).Seconds()
	} else {
		d.budget = most
	}
	d.budget = min(d.budget, most)
	d.filledAt = now
}

// answer takes in what a peer wants.
func (n *Node) answer(want *wire.Want, to netip.AddrPort, now time.Time) {
	t, err := n.offer(want, now)
	if err != nil {
		n.settings.Log.Error(err, "gossip: difference could not be written", "Peer", to)
	}
	if t == nil {
		n.sendNone(to, want.Transfer)
		return
	}
	d := &n.outgoing
	d.requests = slices.DeleteFunc(d.requests, func(r request) bool {
		return r.to == to && r.transfer.id.departed == t.id.departed || now.Sub(r.at) > requestLife
	})
	have := want.Have
	if want.Transfer == nil || decodeTransferID(want.Transfer) != t.id {
		have = nil
	}
	// Askers start at different parts, so that they can help each other.
	wanted := t.lacking(have, n.settings.Rand.IntN(len(t.pieces)), partsPerWant)
	if len(wanted) == 0 || len(d.requests) >= maxRequests {
		n.sendNone(to, t.id.encode())
		return
	}
	t.used = now
	d.requests = append(d.requests, request{to: to, transfer: t, wanted: wanted, at: now})
	n.serve(now)
}

// offer returns the transfer to serve a request from, or nil.
func (n *Node) offer(want *wire.Want, now time.Time) (*transfer, error) {
	if want.Transfer != nil {
		return n.kept(decodeTransferID(want.Transfer)), nil
	}
	replica := n.settings.Replica
	since := state.Revision(want.Revision)
	if !replica.Loaded() || !want.Departed && since >= replica.Revision() {
		if t := n.view.transfer; t != nil && t.id.from == since && t.id.to > since && !want.Departed {
			return t, nil
		}
		return nil, nil
	}
	if want.Departed {
		delta := replica.TombstoneDelta()
		return cut(&delta, true, now)
	}
	if t := n.keptSince(since, now); t != nil {
		return t, nil
	}
	delta := replica.DeltaSince(since)
	if delta.Full {
		// Newcomers ask for these besides, of several peers.
		delta.From, delta.Tombstones = 0, nil
	}
	t, err := cut(&delta, false, now)
	if err != nil {
		return nil, err
	}
	n.outgoing.keep(t, now)
	return t, nil
}

// kept returns the transfer of a name, whole or in part.
func (n *Node) kept(id transferID) *transfer {
	if t := n.view.transfer; t != nil && t.id == id {
		return t
	}
	for _, t := range n.outgoing.offers {
		if t.id == id {
			return t
		}
	}
	return nil
}

// keptSince returns the transfer to offer to those who have reached a revision. A great
// one that others are taking goes on being offered for a while after the next change, so
// that they can help each other.
func (n *Node) keptSince(since state.Revision, now time.Time) *transfer {
	for _, t := range n.outgoing.offers {
		shared := len(t.pieces) > partsPerWant && now.Sub(t.used) < stallSpan
		if t.id.from == since && (shared || t.id.to == n.settings.Replica.Revision()) {
			return t
		}
	}
	return nil
}

// keep adds a transfer to those that requests are served from.
func (d *outgoing) keep(t *transfer, now time.Time) {
	t.used = now
	d.offers = append(d.offers, t)
	if len(d.offers) > offersKept {
		oldest := slices.MinFunc(d.offers, func(a, b *transfer) int { return cmp.Compare(a.used.UnixNano(), b.used.UnixNano()) })
		d.offers = slices.DeleteFunc(d.offers, func(t *transfer) bool { return t == oldest })
	}
}

func (n *Node) sendNone(to netip.AddrPort, id *wire.Transfer) {
	n.sendPart(to, &wire.Part{Transfer: id, None: true})
}

// serve sends parts as far as the budget goes.
func (n *Node) serve(now time.Time) {
	d := &n.outgoing
	d.fill(now)
	for len(d.requests) > 0 {
		r := d.requests[0]
		if now.Sub(r.at) > requestLife {
			d.requests = d.requests[1:]
			continue
		}
		one := r.transfer.pieces[r.wanted[0]]
		cost := float64(len(one.data) + datagramBytes)
		if d.budget < cost {
			return
		}
		d.budget -= cost
		d.requests = d.requests[1:]
		n.sendPart(r.to, &wire.Part{
			Transfer: r.transfer.id.encode(), Index: r.wanted[0], Data: one.data,
			AgeMilliseconds: uint32(now.Sub(one.written).Milliseconds()), Left: uint32(len(r.wanted) - 1),
		})
		if r.wanted = r.wanted[1:]; len(r.wanted) > 0 {
			d.requests = append(d.requests, r)
		}
	}
	d.offers = slices.DeleteFunc(d.offers, func(t *transfer) bool { return now.Sub(t.used) > offerLife })
}

func (n *Node) sendPart(to netip.AddrPort, part *wire.Part) {
	n.out = append(n.out, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Part{Part: part}})})
}
