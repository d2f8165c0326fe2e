// Package admin serves a balancer's read-only HTTP interface for operators.
//
//	GET  /status             configuration version, readiness and flow counts
//	GET  /peers              the other balancers, with their status
//	GET  /backends           the backend servers, with health, load and owned flows
//	GET  /explain            the routing decision for a flow and its reasons; the query
//	                         parameters are Protocol (TCP by default), Caller and Service
//	POST /validate           validates configuration documents without applying them
//	GET  /healthz            responds "ok" while the process runs
//	GET  /readyz             responds 200 if the balancer is ready, 503 otherwise
//	GET  /debug/vars         metrics (expvar)
//
// All responses are JSON except those of /healthz and /readyz and error messages.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/internal/place"
)

// Limits on requests.
const (
	readHeaderTimeout       = 5 * time.Second
	maxValidateRequestBytes = 64 << 20
)

// Config configures the interface.
type Config struct {
	Listen   netip.AddrPort
	Instance config.Instance
	Core     *owned.Core
	// RunOnControlGoroutine calls a function on the goroutine that owns the core's control
	// state, and returns when the function has returned.
	RunOnControlGoroutine func(func())
	// DaemonCounters returns the counters of the daemon outside of the core, such as those
	// of its sockets and links.
	DaemonCounters func() map[string]int64
}

// Status is the response to /status.
type Status struct {
	Instance string
	Domain   string
	Fabric   string
	Ready    bool
	// Reader is set if this balancer is one of the few in its failure domain that watch
	// the platform with long polls.
	Reader bool
	// ConfigVersion is the version of the active configuration, or 0 if there is none.
	ConfigVersion config.Version
	// HeldSlots is the number of hash slots that this balancer owns.
	HeldSlots int
	// Records is the number of flow records.
	Records int64
	// Gain is the factor by which a server's relative excess of open flows is multiplied to
	// get the probability that a new flow is placed elsewhere.
	Gain place.Ratio
	// Incarnation is this balancer's incarnation number in the membership protocol.
	Incarnation uint64
}

// Peer is one element of the response to /peers.
type Peer struct {
	Name          string
	Domain        string
	Address       netip.AddrPort
	Status        string
	Ready         bool
	ConfigVersion config.Version
	// Heard is the time since the peer last acknowledged a probe, or "never".
	Heard string
}

// ValidateRequest is the body of a request to /validate. Values holds the documents to
// validate by name.
type ValidateRequest struct {
	Index  json.RawMessage
	Values map[config.ValueName]json.RawMessage
}

// ValidateReply is the response to /validate.
type ValidateReply struct {
	Accepted bool
	Problems []string
}

type server struct {
	settings Config
}

// Serve starts to serve the interface in the background until ctx is canceled. It returns an
// error if it cannot listen on the address.
func Serve(ctx context.Context, settings Config) error {
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return fmt.Errorf("admin: listen on %s: %w", settings.Listen, err)
	}
	s := &server{settings: settings}
	httpServer := &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	publishMetrics(settings)
	go func() {
		<-ctx.Done()
		_ = httpServer.Close()
	}()
	// Serve returns only after the listener has been closed, so its error is of no use.
	go func() { _ = httpServer.Serve(listener) }()
	return nil
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /peers", s.handlePeers)
	mux.HandleFunc("GET /backends", s.handleBackends)
	mux.HandleFunc("GET /explain", s.handleExplain)
	mux.HandleFunc("POST /validate", s.handleValidate)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.handleReadyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// writeJSON writes a response as JSON. It ignores write errors, which mean that the client has
// disconnected.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value)
}

func (s *server) currentStatus() Status {
	status := Status{
		Instance:  s.settings.Instance.Name,
		Domain:    s.settings.Instance.Domain,
		Fabric:    s.settings.Instance.Fabric,
		Reader:    s.settings.Core.IsPlatformReader(),
		HeldSlots: s.settings.Core.HeldSlotCount(),
		Records:   s.settings.Core.RecordCount(),
		Gain:      s.settings.Core.Placer().Gain(),
	}
	if compiled := s.settings.Core.Compiled(); compiled != nil {
		status.ConfigVersion = compiled.Version
	}
	s.settings.RunOnControlGoroutine(func() {
		members := s.settings.Core.Members()
		status.Ready = members.Ready()
		status.Incarnation = members.Incarnation()
	})
	return status
}

func (s *server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.currentStatus())
}

func (s *server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	if !s.currentStatus().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *server) handlePeers(w http.ResponseWriter, _ *http.Request) {
	peers := []Peer{}
	s.settings.RunOnControlGoroutine(func() {
		for _, peer := range s.settings.Core.Members().Peers() {
			sinceLastAck := "never"
			if !peer.LastAck.IsZero() {
				sinceLastAck = time.Since(peer.LastAck).Round(time.Millisecond).String()
			}
			peers = append(peers, Peer{
				Name:          peer.Instance.Name,
				Domain:        peer.Instance.Domain,
				Address:       peer.Instance.Address,
				Status:        string(peer.Status),
				Ready:         peer.Ready,
				ConfigVersion: peer.Version,
				Heard:         sinceLastAck,
			})
		}
	})
	writeJSON(w, peers)
}

func (s *server) handleBackends(w http.ResponseWriter, _ *http.Request) {
	var backends []owned.BackendStatus
	s.settings.RunOnControlGoroutine(func() { backends = s.settings.Core.Backends() })
	writeJSON(w, backends)
}

func (s *server) handleExplain(w http.ResponseWriter, r *http.Request) {
	key, err := parseFlowKey(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var explanation owned.Explanation
	s.settings.RunOnControlGoroutine(func() { explanation, err = s.settings.Core.Explain(key) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

// parseFlowKey reads the flow's key from the query parameters of /explain.
func parseFlowKey(r *http.Request) (flow.Key, error) {
	query := r.URL.Query()
	caller, err := netip.ParseAddrPort(query.Get("Caller"))
	if err != nil {
		return flow.Key{}, fmt.Errorf("admin: explain: invalid Caller %q: expected an IP address and port such as 203.0.113.9:40000", query.Get("Caller"))
	}
	service, err := netip.ParseAddrPort(query.Get("Service"))
	if err != nil {
		return flow.Key{}, fmt.Errorf("admin: explain: invalid Service %q: expected an IP address and port such as 198.51.100.1:443", query.Get("Service"))
	}
	protocol := flow.Protocol(query.Get("Protocol"))
	if protocol == "" {
		protocol = flow.TCP
	}
	if protocol != flow.TCP && protocol != flow.UDP {
		return flow.Key{}, fmt.Errorf("admin: explain: unknown Protocol %q: expected TCP or UDP", protocol)
	}
	return flow.Key{Protocol: protocol, Caller: caller, Service: service}, nil
}

// handleValidate validates documents as this balancer would before it applied them.
func (s *server) handleValidate(w http.ResponseWriter, r *http.Request) {
	var request ValidateRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValidateRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, "admin: validate: decode request: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, validateDocuments(request, s.settings))
}

// validateDocuments compiles the documents without storing the result.
func validateDocuments(request ValidateRequest, settings Config) ValidateReply {
	index, err := config.Decode[config.Index](string(config.IndexName), request.Index)
	if err == nil {
		bundle := config.Bundle{Index: config.Value{Name: config.IndexName, Version: index.Version, Data: request.Index}}
		for name, data := range request.Values {
			bundle.Values = append(bundle.Values, config.Value{Name: name, Data: data})
		}
		_, err = config.Compile(bundle, settings.Instance.Fabric, settings.Core.Compiled())
	}
	reply := ValidateReply{Accepted: err == nil, Problems: []string{}}
	var problems config.Problems
	switch {
	case errors.As(err, &problems):
		for _, problem := range problems {
			reply.Problems = append(reply.Problems, problem.String())
		}
	case err != nil:
		reply.Problems = append(reply.Problems, err.Error())
	}
	return reply
}

// publishMetrics registers the metrics with expvar. Only the first call in a process has an
// effect, because expvar panics if a name is registered twice.
func publishMetrics(settings Config) {
	if expvar.Get("Core") != nil {
		return
	}
	expvar.Publish("Core", expvar.Func(func() any { return settings.Core.Counters.Values() }))
	expvar.Publish("Shell", expvar.Func(func() any { return settings.DaemonCounters() }))
	expvar.Publish("HeldSlots", expvar.Func(func() any { return settings.Core.HeldSlotCount() }))
	expvar.Publish("Records", expvar.Func(func() any { return settings.Core.RecordCount() }))
}
