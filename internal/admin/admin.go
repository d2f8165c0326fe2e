// Package admin serves a balancer's read-only HTTP interface for operators.
//
//	GET  /status             what is in force and held
//	GET  /peers              what is believed of each other balancer
//	GET  /backends           backend servers with health, load and owned flows
//	GET  /explain            why a flow goes where it does: Protocol, Caller, Service
//	POST /validate           checks documents without taking them
//	GET  /healthz, /readyz   for supervisors
//	GET  /debug/vars         metrics (expvar)
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

// Times and sizes of the interface.
const (
	headerTimeout    = 5 * time.Second
	maxValidateBytes = 64 << 20
)

// Config sets the interface up.
type Config struct {
	Listen   netip.AddrPort
	Instance config.Instance
	Core     *owned.Core
	// Control runs something on the control goroutine and waits for it.
	Control func(func())
	// Totals returns the counters of the parts around the core.
	Totals func() map[string]int64
}

// Status is the answer to /status.
type Status struct {
	Instance      string
	Domain        string
	Fabric        string
	Ready         bool
	Reader        bool
	ConfigVersion config.Version
	HeldSlots     int
	Records       int64
	Gain          place.Ratio
	Incarnation   uint64
}

// Peer is one line of the answer to /peers.
type Peer struct {
	Name          string
	Domain        string
	Address       netip.AddrPort
	Status        string
	Ready         bool
	ConfigVersion config.Version
	Heard         string
}

// ValidateRequest is the body of /validate: the published values by name.
type ValidateRequest struct {
	Index  json.RawMessage
	Values map[config.ValueName]json.RawMessage
}

// ValidateReply is the answer to /validate.
type ValidateReply struct {
	Accepted bool
	Problems []string
}

type server struct {
	settings Config
}

// Serve listens until the context ends.
func Serve(ctx context.Context, settings Config) error {
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return fmt.Errorf("admin: listen for operators on %s: %w", settings.Listen, err)
	}
	s := &server{settings: settings}
	web := &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	publishMetrics(settings)
	go func() {
		<-ctx.Done()
		_ = web.Close()
	}()
	// Serve returns only once the listener is closed.
	go func() { _ = web.Serve(listener) }()
	return nil
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /peers", s.peers)
	mux.HandleFunc("GET /backends", s.backends)
	mux.HandleFunc("GET /explain", s.explain)
	mux.HandleFunc("POST /validate", s.validate)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// answer writes an answer as JSON. A caller that has gone away gets nothing.
func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value)
}

func (s *server) readStatus() Status {
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
	s.settings.Control(func() {
		members := s.settings.Core.Members()
		status.Ready = members.Ready()
		status.Incarnation = members.Incarnation()
	})
	return status
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.readStatus())
}

func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.readStatus().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *server) peers(w http.ResponseWriter, _ *http.Request) {
	peers := []Peer{}
	s.settings.Control(func() {
		for _, known := range s.settings.Core.Members().Peers() {
			heard := "never"
			if !known.LastAck.IsZero() {
				heard = time.Since(known.LastAck).Round(time.Millisecond).String()
			}
			peers = append(peers, Peer{
				Name:          known.Instance.Name,
				Domain:        known.Instance.Domain,
				Address:       known.Instance.Address,
				Status:        string(known.Status),
				Ready:         known.Ready,
				ConfigVersion: known.Version,
				Heard:         heard,
			})
		}
	})
	answer(w, peers)
}

func (s *server) backends(w http.ResponseWriter, _ *http.Request) {
	var backends []owned.BackendStatus
	s.settings.Control(func() { backends = s.settings.Core.Backends() })
	answer(w, backends)
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	key, err := readKey(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var explanation owned.Explanation
	s.settings.Control(func() { explanation, err = s.settings.Core.Explain(key) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	answer(w, explanation)
}

func readKey(r *http.Request) (flow.Key, error) {
	query := r.URL.Query()
	caller, err := netip.ParseAddrPort(query.Get("Caller"))
	if err != nil {
		return flow.Key{}, fmt.Errorf("admin: explain: Caller %q: write it as 203.0.113.9:40000", query.Get("Caller"))
	}
	service, err := netip.ParseAddrPort(query.Get("Service"))
	if err != nil {
		return flow.Key{}, fmt.Errorf("admin: explain: Service %q: write it as 198.51.100.1:443", query.Get("Service"))
	}
	protocol := flow.Protocol(query.Get("Protocol"))
	if protocol == "" {
		protocol = flow.TCP
	}
	if protocol != flow.TCP && protocol != flow.UDP {
		return flow.Key{}, fmt.Errorf("admin: explain: Protocol %q: use TCP or UDP", protocol)
	}
	return flow.Key{Protocol: protocol, Caller: caller, Service: service}, nil
}

// validate checks documents as this balancer would, and takes nothing.
func (s *server) validate(w http.ResponseWriter, r *http.Request) {
	var request ValidateRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValidateBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, "admin: validate: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, check(request, s.settings))
}

func check(request ValidateRequest, settings Config) ValidateReply {
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

// publishMetrics registers the counters once a process.
func publishMetrics(settings Config) {
	if expvar.Get("Core") != nil {
		return
	}
	expvar.Publish("Core", expvar.Func(func() any { return settings.Core.Counters.Values() }))
	expvar.Publish("Shell", expvar.Func(func() any { return settings.Totals() }))
	expvar.Publish("HeldSlots", expvar.Func(func() any { return settings.Core.HeldSlotCount() }))
	expvar.Publish("Records", expvar.Func(func() any { return settings.Core.RecordCount() }))
}
