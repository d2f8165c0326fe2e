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

// ServerConfig configures a Server.
type ServerConfig struct {
	Name string
	// Service is the address of the service, for which packets are accepted.
	Service netip.AddrPort
	// Listen receives packets from balancers. Load serves load reports over HTTP.
	Listen netip.AddrPort
	Load   netip.AddrPort
	// Caller receives the answers.
	Caller netip.AddrPort
}

// Server simulates a backend server: it receives plain IP packets in UDP datagrams and sends
// answers directly to the callers.
type Server struct {
	settings ServerConfig
	endpoint *model.Endpoint
	// mutex guards endpoint and observed.
	mutex    sync.Mutex
	observed Observations
}

// Observations is what a backend server has observed. It is the load report and, with Accepted
// and Ran, the basis of the checks after a run.
type Observations struct {
	Name     string
	Open     uint32
	Healthy  bool
	Shedding bool
	// Misrouted counts packets that were malformed or for another service.
	Misrouted int
	// Accepted lists the accepted flows, each as the caller's address and initial
	// sequence number.
	Accepted []string
	// Ran lists the numbers of the requests in the order in which they ran.
	Ran []uint64
}

// NewServer returns a backend server without connections.
func NewServer(settings ServerConfig) *Server {
	s := &Server{settings: settings, observed: Observations{Name: settings.Name, Healthy: true}}
	s.endpoint = model.NewEndpoint(model.EndpointConfig{
		Service: settings.Service,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnAccept: func(caller netip.AddrPort, isn uint32) {
			s.observed.Accepted = append(s.observed.Accepted, fmt.Sprintf("%s/%d", caller, isn))
		},
		OnExecute: func(request uint64) { s.observed.Ran = append(s.observed.Ran, request) },
	})
	return s
}

// Serve answers packets and serves HTTP until the context is canceled. It returns an error if
// it cannot listen.
func (s *Server) Serve(ctx context.Context) error {
	conn, err := listenUDP(ctx, s.settings.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { s.writeReport(w, false) })
	mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) { s.writeReport(w, true) })
	failed := make(chan error, 1)
	go func() { failed <- serveHTTP(ctx, s.settings.Load, mux) }()
	buffer := make([]byte, maxDatagramBytes)
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

// receive handles a packet and returns the answer, or nil if there is none.
func (s *Server) receive(data []byte) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, err := s.endpoint.Receive(data)
	if err != nil {
		s.observed.Misrouted++
		return nil
	}
	return answer
}

// writeReport writes the load report as JSON or, if full, all observations.
func (s *Server) writeReport(w http.ResponseWriter, full bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.observed
	report.Open = uint32(s.endpoint.OpenConnections())
	if !full {
		report.Accepted, report.Ran = nil, nil
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
