package gossip

// Differences cut into parts.
//
// A difference between two revisions is cut into messages that fit a datagram each and
// can be read alone. The cut depends on nothing but the items, so that balancers with
// the same items cut alike, and a receiver can put parts of several senders together,
// also of those that have only some themselves. Cutting the bytes of one message was
// rejected: spans of time in it differ from sender to sender, so that one sender had to
// deliver all. Streams were rejected, as between all pairs in package link's case: with
// a stream a receiver hangs on one sender, and a fleet that starts on one seed.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/flate"
	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

const (
	// partBytes is the size that a part is to have once it is compressed, so that its
	// datagram stays within the usual 1,500 bytes.
	partBytes = 1200
	// backendShare and routeShare are what compression leaves of items, whose names are
	// random and whose other words recur. A cut by the compressed size itself would
	// depend on the spans of time.
	backendShare = 0.6
	routeShare   = 0.4
	// maxParts bounds what a transfer may hold: 9,000 backend servers and 3,000 routes
	// are about 400 parts.
	maxParts = 2048
	// maxPlainBytes bounds a part that is no longer compressed.
	maxPlainBytes = 64 << 10
	// itemBytes is what a message takes in another: its field number and length.
	itemBytes = 3
	// spanBytes is the most that a span of time takes.
	spanBytes = 6
	// headBytes is the most that a configuration takes without its routes.
	headBytes = 48
)

// transferID names a transfer. Equal ones have equal parts, but for spans of time.
type transferID struct {
	from, to       state.Revision
	full, departed bool
	count          uint32
	digest         uint64
}

func (id transferID) encode() *wire.Transfer {
	return &wire.Transfer{
		From: uint64(id.from), To: uint64(id.to), Full: id.full, Departed: id.departed,
		Count: id.count, Digest: id.digest,
	}
}

func decodeTransferID(message *wire.Transfer) transferID {
	return transferID{
		from: state.Revision(message.From), to: state.Revision(message.To),
		full: message.Full, departed: message.Departed,
		count: message.Count, digest: message.Digest,
	}
}

// piece is one part's data, nil while it is missing, and when it was written.
type piece struct {
	data    []byte
	written time.Time
}

// transfer holds the parts of a difference, or those that have arrived.
type transfer struct {
	id      transferID
	pieces  []piece
	missing int
	// used is when a part was last asked for or taken.
	used time.Time
}

func newTransfer(id transferID) *transfer {
	return &transfer{id: id, pieces: make([]piece, id.count), missing: int(id.count)}
}

// put takes a part in.
func (t *transfer) put(index uint32, data []byte, written time.Time) {
	if t.pieces[index].data == nil {
		t.pieces[index] = piece{data: data, written: written}
		t.missing--
	}
}

// have returns a bit for each part, set where it is here.
func (t *transfer) have() []byte {
	bits := make([]byte, (len(t.pieces)+7)/8)
	for index := range t.pieces {
		if t.pieces[index].data != nil {
			bits[index/8] |= 1 << (index % 8)
		}
	}
	return bits
}

// lacking returns up to so many parts that are here and not among the bits given, in
// order from some part on.
func (t *transfer) lacking(have []byte, first, most int) []uint32 {
	var list []uint32
	for offset := range t.pieces {
		index := (first + offset) % len(t.pieces)
		held := index/8 < len(have) && have[index/8]&(1<<(index%8)) != 0
		if !held && t.pieces[index].data != nil {
			if list = append(list, uint32(index)); len(list) == most {
				break
			}
		}
	}
	return list
}

// delta reads all parts.
func (t *transfer) delta(now time.Time) (state.Delta, error) {
	delta := state.Delta{From: t.id.from, To: t.id.to, Full: t.id.full}
	var configuration *wire.Configuration
	var unpacker unpacker
	for index := range t.pieces {
		message, err := unpacker.read(t.pieces[index].data)
		if err != nil {
			return state.Delta{}, fmt.Errorf("part %d of %d: %w", index, t.id.count, err)
		}
		decodeInto(&delta, message, t.pieces[index].written)
		switch {
		case message.Configuration == nil:
		case configuration == nil:
			configuration = message.Configuration
		default:
			proto.Merge(configuration, message.Configuration)
		}
	}
	if configuration != nil {
		decodeConfiguration(&delta, configuration, now)
	}
	return delta, nil
}

// unpacker reads parts. The zero value is ready.
type unpacker struct {
	inflate io.ReadCloser
	plain   bytes.Buffer
}

func (u *unpacker) read(data []byte) (*wire.Delta, error) {
	packed := bytes.NewReader(data)
	if u.inflate == nil {
		u.inflate = flate.NewReader(packed)
	} else if err := u.inflate.(flate.Resetter).Reset(packed, nil); err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	u.plain.Reset()
	if _, err := u.plain.ReadFrom(io.LimitReader(u.inflate, maxPlainBytes)); err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	message := &wire.Delta{}
	if err := proto.Unmarshal(u.plain.Bytes(), message); err != nil {
		return nil, err
	}
	return message, nil
}

// cutter cuts a difference into parts.
type cutter struct {
	now  time.Time
	part *wire.Delta
	// size is what the part is taken to have once it is compressed.
	size   float64
	hash   *xxhash.Digest
	pieces []piece
	err    error
}

// cut returns a difference as a transfer.
func cut(delta *state.Delta, departed bool, now time.Time) (*transfer, error) {
	c := &cutter{now: now, part: &wire.Delta{}, hash: xxhash.New()}
	for index := range delta.Backends {
		c.addBackend(&delta.Backends[index])
	}
	for index := range delta.Tombstones {
		c.addRemoval(&delta.Tombstones[index])
	}
	switch {
	case delta.Configuration != nil:
		whole := delta.Configuration
		c.addConfiguration(&wire.Configuration{
			Version: uint64(whole.Version), Revision: uint64(whole.Revision),
			IdleMilliseconds: uint32(whole.IdleTimeout.Milliseconds()),
		}, whole.Routes, nil)
	case delta.ConfigurationDelta != nil:
		amendment := delta.ConfigurationDelta
		c.addConfiguration(&wire.Configuration{
			Version: uint64(amendment.Version), Revision: uint64(amendment.Revision),
			IdleMilliseconds: uint32(amendment.IdleTimeout.Milliseconds()),
			Amended:          true, Digest: uint64(amendment.Digest),
		}, amendment.Routes, amendment.Removed)
	}
	c.flush()
	id := transferID{
		from: delta.From, to: delta.To, full: delta.Full, departed: departed,
		count: uint32(len(c.pieces)), digest: c.hash.Sum64(),
	}
	return &transfer{id: id, pieces: c.pieces, used: now}, c.err
}

// room begins a new part if an item of the given size has no room in this one, and
// counts the item in.
func (c *cutter) room(size int, share float64, key string, revision uint64) {
	packed := float64(size+itemBytes) * share
	if c.size > 0 && c.size+packed > partBytes {
		c.flush()
	}
	c.size += packed
	// The hash takes anything.
	_, _ = fmt.Fprintf(c.hash, "%s %d\n", key, revision)
}

func (c *cutter) flush() {
	data, err := proto.Marshal(c.part)
	// Only text that is not UTF-8 cannot be written, and it is checked on the way in.
	var packed bytes.Buffer
	c.err = errors.Join(c.err, err, flate.StatelessDeflate(&packed, data, true, nil))
	c.pieces = append(c.pieces, piece{data: packed.Bytes(), written: c.now})
	c.part, c.size = &wire.Delta{}, 0
}

func (c *cutter) addBackend(backend *state.Backend) {
	encoded := encodeBackend(backend, c.now)
	c.room(backendBytes(encoded), backendShare, encoded.Name, encoded.Revision)
	c.part.Backends = append(c.part.Backends, encoded)
}

// backendBytes is the size of a backend server whatever the time that is left of its
// start.
func backendBytes(encoded *wire.PublishedBackend) int {
	cold := encoded.ColdMilliseconds
	encoded.ColdMilliseconds = 0
	size := proto.Size(encoded) + spanBytes
	encoded.ColdMilliseconds = cold
	return size
}

func (c *cutter) addRemoval(removal *state.Tombstone) {
	encoded := encodeRemoval(removal, c.now)
	c.room(backendBytes(encoded.Backend)+itemBytes+2*spanBytes, backendShare, encoded.Backend.Name, encoded.Revision)
	c.part.Departed = append(c.part.Departed, encoded)
}

func (c *cutter) addConfiguration(head *wire.Configuration, routes []state.Route, removed []state.RouteTombstone) {
	c.room(headBytes, 1, "configuration", head.Version)
	c.part.Configuration = head
	for index := range routes {
		encoded := encodeRoute(&routes[index])
		c.room(proto.Size(encoded)+itemBytes, routeShare, encoded.Name, encoded.Revision)
		c.configuration().Routes = append(c.configuration().Routes, encoded)
	}
	for _, gone := range removed {
		encoded := &wire.RouteRemoval{Listen: uint64(gone.Listen), Revision: uint64(gone.Revision)}
		c.room(proto.Size(encoded)+itemBytes, routeShare, gone.Listen.String(), encoded.Revision)
		c.configuration().Gone = append(c.configuration().Gone, encoded)
	}
}

// configuration returns that of the part at hand.
func (c *cutter) configuration() *wire.Configuration {
	if c.part.Configuration == nil {
		c.part.Configuration = &wire.Configuration{}
	}
	return c.part.Configuration
}
