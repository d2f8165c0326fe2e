package gossip

// Differences of replicas on their way between balancers. A difference is one
// protobuf message, cut into parts that fit a datagram each; parts that arrived stay
// until the message is whole, so that a repeated answer fills the gaps.

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

const (
	// partBytes keeps a datagram within the usual 1,500 bytes.
	partBytes = 1200
	// maxParts bounds what an answer may hold: 9,000 backend servers are about
	// 900 KB.
	maxParts = 2048
)

// answer sends what has changed since a revision, or all departed backend servers.
func (n *Node) answer(want *wire.Want, to netip.AddrPort, now time.Time) {
	if !n.settings.Replica.Loaded() {
		return
	}
	delta := n.settings.Replica.Since(state.Revision(want.Revision))
	if want.Departed {
		delta = n.settings.Replica.Departed()
	}
	data, err := proto.Marshal(encodeDelta(delta, now))
	if err != nil {
		n.settings.Log.Error(err, "gossip: difference could not be written", "Peer", to)
		return
	}
	chunks := slices.Collect(slices.Chunk(data, partBytes))
	for index, chunk := range chunks {
		part := &wire.Part{
			From: uint64(delta.From), To: uint64(delta.To), Full: delta.Full,
			Index: uint32(index), Count: uint32(len(chunks)), Data: chunk, Departed: want.Departed,
		}
		n.out = append(n.out, Message{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Part{Part: part}})})
	}
}

// assembly collects the parts of one answer.
type assembly struct {
	from   netip.AddrPort
	since  uint64
	to     uint64
	pieces [][]byte
	left   int
}

func (a *assembly) fits(part *wire.Part, from netip.AddrPort) bool {
	return a.from == from && a.since == part.From && a.to == part.To && len(a.pieces) == int(part.Count)
}

func (n *Node) takePart(part *wire.Part, from netip.AddrPort, now time.Time) error {
	if part.Count == 0 || part.Count > maxParts || part.Index >= part.Count {
		return fmt.Errorf("gossip: part %d of %d from %s: at most %d parts are taken", part.Index, part.Count, from, maxParts)
	}
	if !part.Departed && state.Revision(part.To) <= n.settings.Replica.Revision() && n.settings.Replica.Loaded() {
		return nil
	}
	a := &n.parts
	if !a.fits(part, from) {
		*a = assembly{from: from, since: part.From, to: part.To, pieces: make([][]byte, part.Count), left: int(part.Count)}
	}
	if a.pieces[part.Index] == nil {
		a.pieces[part.Index] = part.Data
		a.left--
	}
	if a.left > 0 {
		return nil
	}
	message := &wire.Delta{}
	err := proto.Unmarshal(slices.Concat(a.pieces...), message)
	n.parts = assembly{}
	if err != nil {
		return fmt.Errorf("gossip: read difference of %s: %w", from, err)
	}
	if part.Departed || part.Full {
		n.departedAnswers++
	}
	if n.settings.Replica.Apply(decodeDelta(message, now), now) {
		n.settings.Changed(from.String(), now)
	}
	return nil
}

func encodeDelta(delta state.Delta, now time.Time) *wire.Delta {
	message := &wire.Delta{From: uint64(delta.From), To: uint64(delta.To), Full: delta.Full}
	for index := range delta.Backends {
		message.Backends = append(message.Backends, encodeBackend(&delta.Backends[index], now))
	}
	for index := range delta.Departed {
		removal := &delta.Departed[index]
		message.Departed = append(message.Departed, &wire.Departed{
			Backend:         encodeBackend(&removal.Backend, now),
			Revision:        uint64(removal.Revision),
			AgeMilliseconds: uint32(max(now.Sub(removal.At).Milliseconds(), 0)),
		})
	}
	if delta.Configuration != nil {
		message.Configuration = encodeConfiguration(delta.Configuration)
	}
	return message
}

func encodeBackend(backend *state.Backend, now time.Time) *wire.PublishedBackend {
	// Only IPv4 addresses are taken in.
	endpoint, _ := state.EndpointOf(backend.Address)
	return &wire.PublishedBackend{
		Name:             backend.Name,
		ID:               uint64(backend.ID),
		Service:          backend.Service,
		Domain:           backend.Domain,
		Endpoint:         uint64(endpoint),
		Slots:            uint32(max(backend.Slots, 0)),
		Draining:         backend.Standing == state.Draining,
		ColdMilliseconds: uint32(max(backend.ColdUntil.Sub(now).Milliseconds(), 0)),
		Started:          backend.Started,
		Revision:         uint64(backend.Revision),
	}
}

func encodeConfiguration(configuration *state.Configuration) *wire.Configuration {
	message := &wire.Configuration{
		Version:          uint64(configuration.Version),
		Revision:         uint64(configuration.Revision),
		IdleMilliseconds: uint32(configuration.IdleTimeout.Milliseconds()),
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		encoded := &wire.Route{
			Name: route.Name, Listen: uint64(route.Listen), Idempotent: route.Idempotent,
			TimeoutMilliseconds:   uint32(route.Timeout.Milliseconds()),
			ObjectiveMilliseconds: uint32(route.Objective.Milliseconds()),
			Priority:              uint32(route.Priority),
		}
		for _, share := range route.Shares {
			encoded.Shares = append(encoded.Shares, &wire.Share{Service: share.Service, Weight: uint32(share.Weight)})
		}
		message.Routes = append(message.Routes, encoded)
	}
	return message
}

func decodeDelta(message *wire.Delta, now time.Time) state.Delta {
	delta := state.Delta{From: state.Revision(message.From), To: state.Revision(message.To), Full: message.Full}
	for _, encoded := range message.Backends {
		delta.Backends = append(delta.Backends, decodeBackend(encoded, now))
	}
	for _, departed := range message.Departed {
		if departed.Backend == nil {
			continue
		}
		delta.Departed = append(delta.Departed, state.Removal{
			Backend:  decodeBackend(departed.Backend, now),
			Revision: state.Revision(departed.Revision),
			At:       now.Add(-time.Duration(departed.AgeMilliseconds) * time.Millisecond),
		})
	}
	if message.Configuration != nil {
		delta.Configuration = decodeConfiguration(message.Configuration)
	}
	return delta
}

func decodeBackend(encoded *wire.PublishedBackend, now time.Time) state.Backend {
	backend := state.Backend{
		Name:     encoded.Name,
		ID:       state.BackendID(encoded.ID),
		Service:  encoded.Service,
		Domain:   encoded.Domain,
		Address:  state.Endpoint(encoded.Endpoint).AddrPort(),
		Slots:    int(encoded.Slots),
		Standing: state.Serving,
		Started:  encoded.Started,
		Revision: state.Revision(encoded.Revision),
	}
	if encoded.Draining {
		backend.Standing = state.Draining
	}
	if encoded.ColdMilliseconds > 0 {
		backend.ColdUntil = now.Add(time.Duration(encoded.ColdMilliseconds) * time.Millisecond)
	}
	return backend
}

func decodeConfiguration(message *wire.Configuration) *state.Configuration {
	configuration := &state.Configuration{
		Version:     state.Version(message.Version),
		Revision:    state.Revision(message.Revision),
		IdleTimeout: time.Duration(message.IdleMilliseconds) * time.Millisecond,
	}
	for _, encoded := range message.Routes {
		route := state.Route{
			Name: encoded.Name, Listen: state.Endpoint(encoded.Listen), Idempotent: encoded.Idempotent,
			Timeout:   time.Duration(encoded.TimeoutMilliseconds) * time.Millisecond,
			Objective: time.Duration(encoded.ObjectiveMilliseconds) * time.Millisecond,
			Priority:  int(encoded.Priority),
		}
		for _, share := range encoded.Shares {
			route.Shares = append(route.Shares, state.Share{Service: share.Service, Weight: int(share.Weight)})
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	return configuration
}
