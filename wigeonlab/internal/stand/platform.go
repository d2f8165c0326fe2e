// Package stand provides stand-ins for the environment of the balancers: a simulated
// configuration service (the platform), network (the fabric), backend servers and callers.
// Each runs as a separate process on loopback addresses; packets are carried in UDP datagrams.
package stand

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
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

const (
	// maxCallsPerSecond is the platform's limit of GET calls of values.
	maxCallsPerSecond = 2000
	// maxPollWait limits the duration of a long poll.
	maxPollWait = time.Minute
)

// Platform simulates the configuration service, which stores versioned values. Operators
// publish values with PUT; balancers read and long-poll them with GET.
type Platform struct {
	mutex  sync.Mutex
	epoch  watch.Epoch
	values map[config.ValueName]config.Value
	// changed is closed and replaced when a value is published.
	changed chan struct{}
	// windowSecond is the Unix time, in seconds, in which windowCalls are counted.
	windowSecond int64
	windowCalls  int
	totalCalls   int
	// down is set while the platform rejects all GET calls of values.
	down bool
}

// NewPlatform returns a platform with the files below a directory as values, each as version
// 1. A value is named by the file's relative path without ".json".
func NewPlatform(directory string) (*Platform, error) {
	p := &Platform{epoch: 1, values: make(map[config.ValueName]config.Value), changed: make(chan struct{})}
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
		return nil, fmt.Errorf("stand: load values from %s: %w", directory, err)
	}
	return p, nil
}

// Serve serves HTTP until the context is canceled. It returns an error if it cannot listen.
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
		_, _ = fmt.Fprintln(w, p.totalCalls)
	})
	return mux
}

// serveHTTP serves HTTP until the context is canceled. It returns an error if it cannot listen.
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

// admitOrReject counts a call and reports whether to answer it. It responds with an error to calls
// above the rate limit and to all calls while the platform is down.
func (p *Platform) admitOrReject(w http.ResponseWriter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now().Unix()
	if now != p.windowSecond {
		p.windowSecond, p.windowCalls = now, 0
	}
	p.windowCalls++
	p.totalCalls++
	if p.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if p.windowCalls > maxCallsPerSecond {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

// get returns a value. The parameter After makes it wait until the value's version is greater, for
// at most the parameter Wait; after that, the response has the status 304.
func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admitOrReject(w) {
		return
	}
	name := config.ValueName(r.PathValue("name"))
	// Missing parameters are parsed as zero: any version, without waiting.
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("Wait"))
	deadline := time.After(min(wait, maxPollWait))
	for {
		p.mutex.Lock()
		value, known := p.values[name]
		changed, epoch := p.changed, strconv.FormatUint(uint64(p.epoch), 10)
		p.mutex.Unlock()
		w.Header().Set(watch.EpochHeader, epoch)
		if known := r.URL.Query().Get(watch.EpochHeader); known != "" && known != epoch {
			after = 0
		}
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

// writeValue writes a value as the response, compressed if the client accepts gzip.
func writeValue(w http.ResponseWriter, r *http.Request, value config.Value) {
	w.Header().Set(watch.VersionHeader, strconv.FormatUint(uint64(value.Version), 10))
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(value.Data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(value.Data)
	_ = compressed.Close()
}

// put publishes a value. The header Version sets its version, which must be greater than the
// current one; without the header, the current version is incremented.
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
			http.Error(w, fmt.Sprintf("version %q is not a number or is less than %d", text, version), http.StatusConflict)
			return
		}
		version = config.Version(parsed)
	}
	p.values[name] = config.Value{Name: name, Version: version, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Copy returns a copy of all values for Restore.
func (p *Platform) Copy() map[config.ValueName]config.Value {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.values)
}

// Restore replaces all values by those of an earlier copy, which starts a new epoch.
func (p *Platform) Restore(values map[config.ValueName]config.Value) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.epoch++
	p.values = maps.Clone(values)
	close(p.changed)
	p.changed = make(chan struct{})
}

// setDown starts an outage if the parameter Down is "true", and ends it otherwise.
func (p *Platform) setDown(_ http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = r.URL.Query().Get("Down") == "true"
}
