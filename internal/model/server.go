package model

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/owned"
)

// server is one backend server of a bench.
type server struct {
	backend  config.Backend
	service  config.Service
	endpoint *Endpoint
	// newAt lists when new connections arrived.
	newAt []time.Time
	dead  bool
}

func (b *Bench) addServers(documents config.Documents) {
	for _, service := range documents.Services {
		for _, backend := range service.Backends {
			if known, ok := b.servers[backend.Address]; ok {
				known.backend = backend
				continue
			}
			b.servers[backend.Address] = b.newServer(service, backend)
		}
	}
}

func (b *Bench) newServer(service config.Service, backend config.Backend) *server {
	added := &server{backend: backend, service: service}
	added.endpoint = NewEndpoint(EndpointConfig{
		Service: service.Address,
		Random:  b.random,
		Accepted: func(caller netip.AddrPort, isn uint32) {
			added.newAt = append(added.newAt, time.Now())
			b.Callers.accepted(caller, isn, backend.Name)
		},
		Ran: b.Callers.ran,
	})
	return added
}

// serve has a backend server answer a packet, straight to the caller as direct
// server return does.
func (b *Bench) serve(target *server, data []byte) {
	answer, err := target.endpoint.Receive(data)
	if err != nil {
		b.Callers.Misrouted++
		return
	}
	if answer == nil || b.lost() {
		return
	}
	b.after(b.settings.Delay, func() { b.Callers.Receive(answer) })
}

// StopServer ends a backend server without a word.
func (b *Bench) StopServer(name string) {
	for _, server := range b.servers {
		if server.backend.Name == name {
			server.dead = true
		}
	}
}

// Open returns the number of connections of each backend server of a service.
func (b *Bench) Open(service string) map[string]int {
	open := make(map[string]int)
	for _, server := range b.servers {
		if server.service.Name == service {
			open[server.backend.Name] = server.endpoint.Open()
		}
	}
	return open
}

// NewSince returns how many connections a backend server got since a time.
func (b *Bench) NewSince(name string, since time.Time) int {
	count := 0
	for _, server := range b.servers {
		for _, at := range server.newAt {
			if server.backend.Name == name && at.After(since) {
				count++
			}
		}
	}
	return count
}

// toServer carries a packet to a backend server.
func (b *Bench) toServer(from *Node, action owned.Action) {
	target := b.servers[action.To]
	domain := config.Instance{Domain: target.backend.Domain}
	if target.dead || b.separated(from.Instance, domain) || b.lost() {
		return
	}
	b.after(b.settings.Delay, func() { b.serve(target, action.Packet) })
}
