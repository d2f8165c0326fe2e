package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"

	"wigeonmoor.example/internal/model"
)

// ServerConfig sets a backend server up.
type ServerConfig struct {
	Name    string
	Service netip.AddrPort
	Listen  netip.AddrPort
	Load    netip.AddrPort
	Caller  netip.AddrPort
}

// Server is a stand-in for a backend server: it takes bare IP packets inside UDP
// and answers callers directly.
type Server struct {
	settings ServerConfig
	endpoint *model.Endpoint
	mutex    sync.Mutex
	seen     Seen
}

// Seen is what a backend server saw, for the final comparison.
type Seen struct {
	Name      string
	Open      uint32
	Healthy   bool
	Shedding  bool
	Misrouted int
	// Accepted lists callers with their first sequence number.
	Accepted []string
	// Ran lists the requests in the order in which they ran.
	Ran []uint64
}

// NewServer returns a backend server without connections.
func NewServer(settings ServerConfig) *Server {
	s := &Server{settings: settings, seen: Seen{Name: settings.Name, Healthy: true}}
	s.endpoint = model.NewEndpoint(model.EndpointConfig{
		Service: settings.Service,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnAccept: func(caller netip.AddrPort, isn uint32) {
			s.seen.Accepted = append(s.seen.Accepted, fmt.Sprintf("%s/%d", caller, isn))
		},
		OnExecute: func(request uint64) { s.seen.Ran = append(s.seen.Ran, request) },
	})
	return s
}

// Serve answers until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	conn, err := listenUDP(ctx, s.settings.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { s.report(w, false) })
	mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) { s.report(w, true) })
	failed := make(chan error, 1)
	go func() { failed <- serveHTTP(ctx, s.settings.Load, mux) }()
	buffer := make([]byte, datagramBytes)
	for {
		length, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return <-failed
		}
		if answer := s.receive(buffer[:length]); answer != nil {
			_, _ = conn.WriteToUDPAddrPort(answer, s.settings.Caller)
		}
	}
}

func (s *Server) receive(data []byte) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, err := s.endpoint.Receive(data)
	if err != nil {
		s.seen.Misrouted++
		return nil
	}
	return answer
}

// report writes the load report, or with it everything that was seen.
func (s *Server) report(w http.ResponseWriter, whole bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.seen
	report.Open = uint32(s.endpoint.OpenConnections())
	if !whole {
		report.Accepted, report.Ran = nil, nil
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
