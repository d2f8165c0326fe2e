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

// headerLimit bounds how long a caller of the HTTP interfaces may take to ask.
const headerLimit = 2 * time.Second

// serveHTTP opens the readiness answer and the operators' read-only interface.
func (e *Entry) serveHTTP(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+e.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := serve(ctx, e.config.Settings.ReadyAddress, ready); err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /backends", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.core.Backends()); err != nil {
			e.log.Info("entry: answer not written", "Problem", err.Error())
		}
	})
	admin.HandleFunc("GET /metrics", e.writeMetrics)
	return serve(ctx, e.config.Settings.AdminAddress, admin)
}

func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("entry: listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() {
		// It ends with the listener.
		_ = server.Serve(listener)
	}()
	return nil
}
