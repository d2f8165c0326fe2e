package gossip

// Splitting of differences into parts.
//
// A difference between two revisions is split into messages that each fit into a datagram
// and can be decoded on their own. The split depends only on the items, so that balancers
// with the same items produce the same parts, and a receiver can combine parts from several
// senders, including senders that have only some of the parts. Splitting the bytes of one
// message was rejected: the durations in it differ between senders, so that a single sender
// would have to deliver all of it. Streams were rejected for the same reasons as sessions
// between all pairs (see the package comment), and because a receiver depends on one sender
// and a starting fleet on one seed.

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
	// targetPartBytes is the intended size of a compressed part. It keeps the datagram
	// within the usual 1,500 bytes.
	targetPartBytes = 1200
	// backendCompressionRatio and routeCompressionRatio estimate the compressed size of an
	// item relative to its encoded size: names are random, but the other words recur.
	// Splitting by the actual compressed size was rejected, because that depends on the
	// durations.
	backendCompressionRatio = 0.6
	routeCompressionRatio   = 0.4
	// maxParts bounds the parts of a transfer: 9,000 backend servers and 3,000 routes need
	// about 400.
	maxParts = 2048
	// maxDecompressedBytes bounds the decompressed size of a part.
	maxDecompressedBytes = 64 << 10
	// itemOverheadBytes is the size of the field number and length of an embedded message.
	itemOverheadBytes = 3
	// maxDurationBytes is the maximum encoded size of a duration.
	maxDurationBytes = 6
	// maxConfigurationHeaderBytes is the maximum encoded size of a configuration without its
	// routes.
	maxConfigurationHeaderBytes = 48
)

// transferID identifies a transfer. Transfers with equal IDs have the same parts except for
// durations.
type transferID struct {
	from, to           state.Revision
	full, removalsOnly bool
	count              uint32
	digest             uint64
}

func (id transferID) encode() *wire.Transfer {
	return &wire.Transfer{
		From: uint64(id.from), To: uint64(id.to), Full: id.full, Departed: id.removalsOnly,
		Count: id.count, Digest: id.digest,
	}
}

func decodeTransferID(message *wire.Transfer) transferID {
	return transferID{
		from: state.Revision(message.From), to: state.Revision(message.To),
		full: message.Full, removalsOnly: message.Departed,
		count: message.Count, digest: message.Digest,
	}
}

// part holds the compressed data of a part, nil while it is missing, and when it was
// written.
type part struct {
	data      []byte
	writtenAt time.Time
}

// transfer holds all parts of a difference, or those that have arrived so far.
type transfer struct {
	id      transferID
	parts   []part
	missing int
	// gap is the Gap of the difference. Of the gaps that several senders report for the same
	// items, the lowest holds.
	gap state.Revision
	// lastUsed is when parts were last requested, or when the transfer was created or
	// completed.
	lastUsed time.Time
}

func newTransfer(id transferID) *transfer {
	return &transfer{id: id, parts: make([]part, id.count), missing: int(id.count)}
}

// setPart stores a part unless it is already present.
func (t *transfer) setPart(index uint32, data []byte, writtenAt time.Time) {
	if t.parts[index].data == nil {
		t.parts[index] = part{data: data, writtenAt: writtenAt}
		t.missing--
	}
}

// haveBitmap returns a bitmap of the parts that are present.
func (t *transfer) haveBitmap() []byte {
	bits := make([]byte, (len(t.parts)+7)/8)
	for index := range t.parts {
		if t.parts[index].data != nil {
			bits[index/8] |= 1 << (index % 8)
		}
	}
	return bits
}

// partsNotIn returns the indexes of up to limit parts that are present here and not set in
// the given bitmap. It starts at the given index and wraps around.
func (t *transfer) partsNotIn(have []byte, first, limit int) []uint32 {
	var list []uint32
	for offset := range t.parts {
		index := (first + offset) % len(t.parts)
		held := index/8 < len(have) && have[index/8]&(1<<(index%8)) != 0
		if !held && t.parts[index].data != nil {
			if list = append(list, uint32(index)); len(list) == limit {
				break
			}
		}
	}
	return list
}

// decode decodes all parts into one delta.
func (t *transfer) decode(now time.Time) (state.Delta, error) {
	delta := state.Delta{From: t.id.from, To: t.id.to, Gap: t.gap, Full: t.id.full}
	var configuration *wire.Configuration
	var decoder partDecoder
	for index := range t.parts {
		message, err := decoder.decode(t.parts[index].data)
		if err != nil {
			return state.Delta{}, fmt.Errorf("part %d of %d: %w", index, t.id.count, err)
		}
		if err := appendItems(&delta, message, t.parts[index].writtenAt); err != nil {
			return state.Delta{}, fmt.Errorf("part %d of %d: %w", index, t.id.count, err)
		}
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

// partDecoder decodes parts. The zero value is ready to use.
type partDecoder struct {
	inflate      io.ReadCloser
	decompressed bytes.Buffer
}

func (d *partDecoder) decode(data []byte) (*wire.Delta, error) {
	compressed := bytes.NewReader(data)
	if d.inflate == nil {
		d.inflate = flate.NewReader(compressed)
	} else if err := d.inflate.(flate.Resetter).Reset(compressed, nil); err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	d.decompressed.Reset()
	if _, err := d.decompressed.ReadFrom(io.LimitReader(d.inflate, maxDecompressedBytes)); err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	message := &wire.Delta{}
	if err := proto.Unmarshal(d.decompressed.Bytes(), message); err != nil {
		return nil, err
	}
	return message, nil
}

// splitter splits a difference into parts.
type splitter struct {
	now     time.Time
	current *wire.Delta
	// estimatedBytes is the estimated compressed size of the current part.
	estimatedBytes float64
	hash           *xxhash.Digest
	parts          []part
	err            error
}

// split splits a difference into the parts of a transfer.
func split(delta *state.Delta, removalsOnly bool, now time.Time) (*transfer, error) {
	s := &splitter{now: now, current: &wire.Delta{}, hash: xxhash.New()}
	for index := range delta.Backends {
		s.addBackend(&delta.Backends[index])
	}
	for index := range delta.Removals {
		s.addRemoval(&delta.Removals[index])
	}
	for index := range delta.Evacuations {
		s.addEvacuation(&delta.Evacuations[index])
	}
	switch {
	case delta.Configuration != nil:
		full := delta.Configuration
		s.addConfiguration(&wire.Configuration{
			Version: uint64(full.Version), Revision: uint64(full.Revision),
			IdleMilliseconds: uint32(full.IdleTimeout.Milliseconds()),
			Services:         encodeServices(full.Services),
		}, full.Routes, nil)
	case delta.ConfigurationDelta != nil:
		changes := delta.ConfigurationDelta
		s.addConfiguration(&wire.Configuration{
			Version: uint64(changes.Version), Revision: uint64(changes.Revision),
			IdleMilliseconds: uint32(changes.IdleTimeout.Milliseconds()),
			Services:         encodeServices(changes.Services),
			Amended:          true, Digest: uint64(changes.Digest),
		}, changes.Routes, changes.Removed)
	}
	s.flush()
	id := transferID{
		from: delta.From, to: delta.To, full: delta.Full, removalsOnly: removalsOnly,
		count: uint32(len(s.parts)), digest: s.hash.Sum64(),
	}
	return &transfer{id: id, parts: s.parts, gap: delta.Gap, lastUsed: now}, s.err
}

// reserve starts a new part if the current one has no room for an item of the given encoded
// size, and adds the item to the estimated size and the transfer's digest.
func (s *splitter) reserve(size int, ratio float64, key string, revision uint64) {
	estimate := float64(size+itemOverheadBytes) * ratio
	if s.estimatedBytes > 0 && s.estimatedBytes+estimate > targetPartBytes {
		s.flush()
	}
	s.estimatedBytes += estimate
	// Writing to the hash cannot fail.
	_, _ = fmt.Fprintf(s.hash, "%s %d\n", key, revision)
}

// flush compresses the current part and starts an empty one.
func (s *splitter) flush() {
	data, err := proto.Marshal(s.current)
	// Marshaling fails only on text that is not valid UTF-8, which is rejected on input.
	var compressed bytes.Buffer
	s.err = errors.Join(s.err, err, flate.StatelessDeflate(&compressed, data, true, nil))
	s.parts = append(s.parts, part{data: compressed.Bytes(), writtenAt: s.now})
	s.current, s.estimatedBytes = &wire.Delta{}, 0
}

func (s *splitter) addBackend(backend *state.Backend) {
	encoded := encodeBackend(backend, s.now)
	s.reserve(maxBackendBytes(encoded), backendCompressionRatio, encoded.Name, encoded.Revision)
	s.current.Backends = append(s.current.Backends, encoded)
}

// maxBackendBytes returns an upper bound of the encoded size of a backend server that does
// not depend on its remaining cold-start time.
func maxBackendBytes(encoded *wire.PublishedBackend) int {
	cold := encoded.ColdMilliseconds
	encoded.ColdMilliseconds = 0
	size := proto.Size(encoded) + maxDurationBytes
	encoded.ColdMilliseconds = cold
	return size
}

func (s *splitter) addRemoval(removal *state.Removal) {
	encoded := encodeRemoval(removal, s.now)
	s.reserve(maxBackendBytes(encoded.Backend)+itemOverheadBytes+2*maxDurationBytes, backendCompressionRatio, encoded.Backend.Name, encoded.Revision)
	s.current.Departed = append(s.current.Departed, encoded)
}

func (s *splitter) addEvacuation(evacuation *state.Evacuation) {
	encoded := encodeEvacuation(evacuation, s.now)
	s.reserve(proto.Size(encoded)+maxDurationBytes, 1, encoded.Domain, encoded.Revision)
	s.current.Evacuations = append(s.current.Evacuations, encoded)
}

func (s *splitter) addConfiguration(header *wire.Configuration, routes []state.Route, removed []state.RouteRemoval) {
	s.reserve(maxConfigurationHeaderBytes+proto.Size(&wire.Configuration{Services: header.Services}), 1, "configuration", header.Version)
	s.current.Configuration = header
	for index := range routes {
		encoded := encodeRoute(&routes[index])
		s.reserve(proto.Size(encoded)+itemOverheadBytes, routeCompressionRatio, encoded.Name, encoded.Revision)
		s.currentConfiguration().Routes = append(s.currentConfiguration().Routes, encoded)
	}
	for _, removal := range removed {
		encoded := &wire.RouteRemoval{Listen: uint64(removal.Listen), Revision: uint64(removal.Revision)}
		s.reserve(proto.Size(encoded)+itemOverheadBytes, routeCompressionRatio, removal.Listen.String(), encoded.Revision)
		s.currentConfiguration().Gone = append(s.currentConfiguration().Gone, encoded)
	}
}

// currentConfiguration returns the configuration of the current part, and creates it if
// necessary.
func (s *splitter) currentConfiguration() *wire.Configuration {
	if s.current.Configuration == nil {
		s.current.Configuration = &wire.Configuration{}
	}
	return s.current.Configuration
}
