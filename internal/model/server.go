package model

import (
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/owned"
)

// server is a simulated backend server.
type server struct {
	backend  config.Backend
	service  config.Service
	endpoint *Endpoint
	// acceptedAt holds the times at which connections were accepted.
	acceptedAt []time.Time
	stopped    bool
}

// addServers creates the backend servers whose addresses are new and updates the others.
// Backend servers that the documents no longer contain are kept.
func (s *Simulation) addServers(documents config.Documents) {
	for _, service := range documents.Services {
		for _, backend := range service.Backends {
			if existing, ok := s.servers[backend.Address]; ok {
				existing.backend = backend
				continue
			}
			s.servers[backend.Address] = s.newServer(service, backend)
		}
	}
}

func (s *Simulation) newServer(service config.Service, backend config.Backend) *server {
	added := &server{backend: backend, service: service}
	added.endpoint = NewEndpoint(EndpointConfig{
		Service: service.Address,
		Random:  s.random,
		OnAccept: func(caller netip.AddrPort, isn uint32) {
			added.acceptedAt = append(added.acceptedAt, time.Now())
			s.Callers.recordAccept(caller, isn, backend.Name)
		},
		OnExecute: s.Callers.recordExecution,
	})
	return added
}

// answerPacket makes a backend server process a packet. The answer goes directly to the
// caller (direct server return).
func (s *Simulation) answerPacket(target *server, data []byte) {
	answer, err := target.endpoint.Receive(data)
	if err != nil {
		s.Callers.Misrouted++
		return
	}
	if answer == nil || s.drawLoss() {
		return
	}
	s.after(s.settings.Delay, func() { s.Callers.Receive(answer) })
}

// StopServer stops a backend server, which then drops all packets and no longer answers.
func (s *Simulation) StopServer(name string) {
	for _, server := range s.servers {
		if server.backend.Name == name {
			server.stopped = true
		}
	}
}

// OpenConnections returns the number of open connections of each backend server of a service.
func (s *Simulation) OpenConnections(service string) map[string]int {
	open := make(map[string]int)
	for _, server := range s.servers {
		if server.service.Name == service {
			open[server.backend.Name] = server.endpoint.OpenConnections()
		}
	}
	return open
}

// NewConnectionsSince returns the number of connections that a backend server has accepted
// since a time.
func (s *Simulation) NewConnectionsSince(name string, since time.Time) int {
	count := 0
	for _, server := range s.servers {
		for _, at := range server.acceptedAt {
			if server.backend.Name == name && at.After(since) {
				count++
			}
		}
	}
	return count
}

// sendToServer sends a packet to a backend server.
func (s *Simulation) sendToServer(from *Node, action owned.Action) {
	target := s.servers[action.To]
	domain := config.Instance{Domain: target.backend.Domain}
	if target.stopped || s.partitioned(from.Instance, domain) || s.drawLoss() {
		return
	}
	s.after(s.settings.Delay, func() { s.answerPacket(target, action.Packet) })
}
