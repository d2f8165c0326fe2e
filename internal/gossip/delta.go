package gossip

// Conversion between the items of a state.Delta and wire messages. Durations in a message
// are relative to the time when it was written, because the clocks of instances differ.

import (
	"fmt"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/wire"
)

func encodeRemoval(removal *state.Removal, now time.Time) *wire.Departed {
	return &wire.Departed{
		Backend:         encodeBackend(&removal.Backend, now),
		Revision:        uint64(removal.Revision),
		AgeMilliseconds: uint32(max(now.Sub(removal.RemovedAt).Milliseconds(), 0)),
	}
}

func encodeBackend(backend *state.Backend, now time.Time) *wire.PublishedBackend {
	// Addresses other than IPv4 are rejected on input.
	endpoint, _ := state.EndpointOf(backend.Address)
	return &wire.PublishedBackend{
		Name:             backend.Name,
		ID:               uint64(backend.ID),
		Service:          backend.Service,
		Domain:           backend.Domain,
		Endpoint:         uint64(endpoint),
		Slots:            uint32(max(backend.Slots, 0)),
		Draining:         backend.State == state.Draining,
		ColdMilliseconds: uint32(max(backend.ColdUntil.Sub(now).Milliseconds(), 0)),
		Started:          backend.Started,
		Revision:         uint64(backend.Revision),
	}
}

func encodeRoute(route *state.Route) *wire.Route {
	encoded := &wire.Route{
		Name: route.Name, Listen: uint64(route.Listen), Idempotent: route.Idempotent,
		TimeoutMilliseconds:   uint32(route.Timeout.Milliseconds()),
		ObjectiveMilliseconds: uint32(route.Objective.Milliseconds()),
		Priority:              uint32(route.Priority),
		Revision:              uint64(route.Revision),
	}
	for _, share := range route.Shares {
		encoded.Shares = append(encoded.Shares, &wire.Share{Service: share.Service, Weight: uint32(share.Weight)})
	}
	return encoded
}

func encodeEvacuation(evacuation *state.Evacuation, now time.Time) *wire.Evacuation {
	encoded := &wire.Evacuation{Domain: evacuation.Domain, Active: evacuation.Active, Revision: uint64(evacuation.Revision)}
	if !evacuation.ExpiresAt.IsZero() {
		// 0 means that the evacuation does not expire.
		encoded.ExpiresMilliseconds = uint32(max(evacuation.ExpiresAt.Sub(now).Milliseconds(), 1))
	}
	return encoded
}

// appendItems decodes the items of a part and appends them to a delta. writtenAt is the
// time when the part was written, on this balancer's clock. It returns an error if an item is
// incomplete: its sender is at fault, and no other item of it can be trusted.
func appendItems(delta *state.Delta, message *wire.Delta, writtenAt time.Time) error {
	for index, encoded := range message.Backends {
		if encoded.Name == "" || encoded.Service == "" || encoded.Domain == "" || encoded.Endpoint == 0 || encoded.Slots == 0 || encoded.Revision == 0 {
			return fmt.Errorf("backend server %d (%s) is incomplete", index, encoded.Name)
		}
		delta.Backends = append(delta.Backends, decodeBackend(encoded, writtenAt))
	}
	for index, encoded := range message.Departed {
		if encoded.Backend == nil || encoded.Backend.Name == "" || encoded.Revision == 0 {
			return fmt.Errorf("removal %d is incomplete", index)
		}
		delta.Removals = append(delta.Removals, state.Removal{
			Backend:   decodeBackend(encoded.Backend, writtenAt),
			Revision:  state.Revision(encoded.Revision),
			RemovedAt: writtenAt.Add(-time.Duration(encoded.AgeMilliseconds) * time.Millisecond),
		})
	}
	for index, encoded := range message.Evacuations {
		if encoded.Domain == "" || encoded.Revision == 0 {
			return fmt.Errorf("evacuation %d is incomplete", index)
		}
		evacuation := state.Evacuation{Domain: encoded.Domain, Active: encoded.Active, Revision: state.Revision(encoded.Revision)}
		if encoded.ExpiresMilliseconds > 0 {
			evacuation.ExpiresAt = writtenAt.Add(time.Duration(encoded.ExpiresMilliseconds) * time.Millisecond)
		}
		delta.Evacuations = append(delta.Evacuations, evacuation)
	}
	return nil
}

func decodeBackend(encoded *wire.PublishedBackend, writtenAt time.Time) state.Backend {
	backend := state.Backend{
		Name:     encoded.Name,
		ID:       state.BackendID(encoded.ID),
		Service:  encoded.Service,
		Domain:   encoded.Domain,
		Address:  state.Endpoint(encoded.Endpoint).AddrPort(),
		Slots:    int(encoded.Slots),
		State:    state.Serving,
		Started:  encoded.Started,
		Revision: state.Revision(encoded.Revision),
	}
	if encoded.Draining {
		backend.State = state.Draining
	}
	if encoded.ColdMilliseconds > 0 {
		backend.ColdUntil = writtenAt.Add(time.Duration(encoded.ColdMilliseconds) * time.Millisecond)
	}
	return backend
}

func decodeRoute(encoded *wire.Route) state.Route {
	route := state.Route{
		Name: encoded.Name, Listen: state.Endpoint(encoded.Listen), Idempotent: encoded.Idempotent,
		Timeout:   time.Duration(encoded.TimeoutMilliseconds) * time.Millisecond,
		Objective: time.Duration(encoded.ObjectiveMilliseconds) * time.Millisecond,
		Priority:  int(encoded.Priority),
		Revision:  state.Revision(encoded.Revision),
	}
	for _, share := range encoded.Shares {
		route.Shares = append(route.Shares, state.Share{Service: share.Service, Weight: int(share.Weight)})
	}
	return route
}

func encodeServices(services []state.Service) []*wire.Service {
	encoded := make([]*wire.Service, 0, len(services))
	for _, service := range services {
		encoded = append(encoded, &wire.Service{
			Name: service.Name, ColdRate: service.ColdRate, ColdMilliseconds: uint32(service.ColdStart.Milliseconds()),
		})
	}
	return encoded
}

func decodeServices(encoded []*wire.Service) []state.Service {
	var services []state.Service
	for _, service := range encoded {
		services = append(services, state.Service{
			Name: service.Name, ColdRate: service.ColdRate, ColdStart: time.Duration(service.ColdMilliseconds) * time.Millisecond,
		})
	}
	return services
}

// decodeConfiguration sets the configuration or the configuration delta of a delta from the
// merged configurations of all its parts.
func decodeConfiguration(delta *state.Delta, message *wire.Configuration, now time.Time) {
	routes := make([]state.Route, 0, len(message.Routes))
	for _, encoded := range message.Routes {
		routes = append(routes, decodeRoute(encoded))
	}
	idle := time.Duration(message.IdleMilliseconds) * time.Millisecond
	if !message.Amended {
		delta.Configuration = &state.Configuration{
			Version: state.Version(message.Version), Revision: state.Revision(message.Revision),
			IdleTimeout: idle, Routes: routes, Services: decodeServices(message.Services),
		}
		return
	}
	delta.ConfigurationDelta = &state.ConfigurationDelta{
		Version: state.Version(message.Version), Revision: state.Revision(message.Revision),
		IdleTimeout: idle, Routes: routes, Services: decodeServices(message.Services), Digest: state.Digest(message.Digest),
	}
	for _, removed := range message.Gone {
		removal := state.RouteRemoval{Listen: state.Endpoint(removed.Listen), Revision: state.Revision(removed.Revision), RemovedAt: now}
		delta.ConfigurationDelta.Removed = append(delta.ConfigurationDelta.Removed, removal)
	}
}
