package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// headerTimeout is how long an HTTP client may take to send the headers of a request.
const headerTimeout = 2 * time.Second

// serveHTTP starts the server of the readiness endpoint and the server of the read-only admin
// interface.
func (b *Balancer) serveHTTP(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+b.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !b.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := startServer(ctx, b.config.Settings.ReadyAddress, ready); err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /backends", func(w http.ResponseWriter, _ *http.Request) {
		b.writeJSON(w, "/backends", b.core.Backends())
	})
	admin.HandleFunc("GET /configuration", func(w http.ResponseWriter, _ *http.Request) {
		b.writeJSON(w, "/configuration", b.configuration.Load())
	})
	admin.HandleFunc("GET /evacuations", func(w http.ResponseWriter, _ *http.Request) {
		b.writeJSON(w, "/evacuations", b.core.Evacuations())
	})
	admin.HandleFunc("GET /metrics", b.serveMetrics)
	return startServer(ctx, b.config.Settings.AdminAddress, admin)
}

// writeJSON writes the response of the admin interface to a request of a path.
func (b *Balancer) writeJSON(w http.ResponseWriter, path string, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		b.log.Info("entry: failed to write a response", "Path", path, "Problem", err.Error())
	}
}

// startServer starts an HTTP server that is closed when the context is done. It returns an
// error if it cannot listen on the address.
func startServer(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("entry: listen on HTTP address %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() {
		// Serve returns when the server is closed.
		_ = server.Serve(listener)
	}()
	return nil
}
