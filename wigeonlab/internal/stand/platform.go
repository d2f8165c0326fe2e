// Package stand holds the stand-ins for what surrounds the balancers: the
// platform, the fabric, backend servers and callers, each a process of its own.
package stand

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/watch"
)

// Bounds of the platform stand-in.
const (
	callsPerSecond = 2000
	maxWait        = time.Minute
)

// Platform is a stand-in for the configuration service: versioned values that are
// read and watched. Operators publish with PUT; balancers only use GET.
type Platform struct {
	mutex   sync.Mutex
	values  map[config.ValueName]config.Value
	changed chan struct{}
	window  int64
	calls   int
	total   int
	down    bool
}

// NewPlatform loads the values below a directory, each as version 1.
func NewPlatform(directory string) (*Platform, error) {
	p := &Platform{values: make(map[config.ValueName]config.Value), changed: make(chan struct{})}
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(directory, path)
		if err != nil {
			return err
		}
		name := config.ValueName(strings.TrimSuffix(filepath.ToSlash(relative), ".json"))
		p.values[name] = config.Value{Name: name, Version: 1, Data: data}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("platform: load %s: %w", directory, err)
	}
	return p, nil
}

// Serve answers until the context ends.
func (p *Platform) Serve(ctx context.Context, listen netip.AddrPort) error {
	return serveHTTP(ctx, listen, p.routes())
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name...}", p.get)
	mux.HandleFunc("PUT /v1/values/{name...}", p.put)
	mux.HandleFunc("POST /stand/down", p.setDown)
	mux.HandleFunc("GET /stand/calls", func(w http.ResponseWriter, _ *http.Request) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		_, _ = fmt.Fprintln(w, p.total)
	})
	return mux
}

func serveHTTP(ctx context.Context, listen netip.AddrPort, handler http.Handler) error {
	server := &http.Server{Addr: listen.String(), Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stand: serve on %s: %w", listen, err)
	}
	return nil
}

// admit counts a call, and refuses those above the rate or while the platform is
// down.
func (p *Platform) admit(w http.ResponseWriter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now().Unix()
	if now != p.window {
		p.window, p.calls = now, 0
	}
	p.calls++
	p.total++
	if p.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if p.calls > callsPerSecond {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w) {
		return
	}
	name := config.ValueName(r.PathValue("name"))
	// Values that are left out read as zero: any version, no wait.
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("Wait"))
	deadline := time.After(min(wait, maxWait))
	for {
		p.mutex.Lock()
		value, known := p.values[name]
		changed := p.changed
		p.mutex.Unlock()
		if !known {
			http.NotFound(w, r)
			return
		}
		if uint64(value.Version) > after {
			writeValue(w, r, value)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeValue answers with a value, compressed where the reader takes that.
func writeValue(w http.ResponseWriter, r *http.Request, value config.Value) {
	w.Header().Set(watch.VersionHeader, strconv.FormatUint(uint64(value.Version), 10))
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(value.Data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	packed := gzip.NewWriter(w)
	_, _ = packed.Write(value.Data)
	_ = packed.Close()
}

// put publishes a value. The header Version sets its version; without one it
// counts up.
func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	name := config.ValueName(r.PathValue("name"))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	version := p.values[name].Version + 1
	if text := r.Header.Get(watch.VersionHeader); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil || config.Version(parsed) < version {
			http.Error(w, fmt.Sprintf("version %q is below %d", text, version), http.StatusConflict)
			return
		}
		version = config.Version(parsed)
	}
	p.values[name] = config.Value{Name: name, Version: version, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) setDown(_ http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = r.URL.Query().Get("Down") == "true"
}
