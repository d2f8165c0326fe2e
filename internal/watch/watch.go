// Package watch reads the platform's configuration service.
//
// A value is read with GET /v1/values/NAME, which answers with the value and its
// version in the header Version. With After=V and Wait=SPAN the answer is held
// back until there is a newer version than V, or ends with 304 after the span.
//
// Only a few balancers of each failure domain watch; the others hear of a new
// version from their peers and read the platform once in a while only. A watch in
// every balancer was rejected: at 1,300 balancers each change would cost 1,300
// calls of the 2,000 a second, at once.
package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wigeonmoor.example/internal/config"
)

// Times of the watch.
const (
	watchSpan   = 10 * time.Second
	pollPeriod  = 15 * time.Second
	retryPeriod = 500 * time.Millisecond
	callTimeout = 5 * time.Second
)

// VersionHeader names the HTTP header that carries a value's version.
const VersionHeader = "Version"

// errUnchanged is returned when a watch ends without a newer version.
var errUnchanged = errors.New("watch: unchanged")

// Config sets a watcher up. The callbacks are called from its goroutines.
type Config struct {
	URL    string
	Fabric string
	// Reader reports whether this balancer is one of those that watch.
	Reader func() bool
	// Have returns the configuration in force, whose values need not be read.
	Have      func() (config.Bundle, bool)
	Bundle    func(config.Bundle)
	Instances func(config.Instances)
	Failed    func(error)
}

// Reader reads single values.
type Reader struct {
	url    string
	client *http.Client
}

// NewReader returns a reader of the platform at a base URL.
func NewReader(url string) *Reader {
	return &Reader{url: url, client: &http.Client{}}
}

// Watcher keeps reading the platform until its context ends.
type Watcher struct {
	*Reader
	settings Config
}

// New starts to read the platform.
func New(ctx context.Context, settings Config) *Watcher {
	w := &Watcher{Reader: NewReader(settings.URL), settings: settings}
	go func() { w.follow(ctx, config.IndexName, w.takeIndex) }()
	go func() { w.follow(ctx, InstancesName(settings.Fabric), w.takeInstances) }()
	return w
}

// InstancesName names the list of a fabric's balancers.
func InstancesName(fabric string) config.ValueName {
	return config.InstancesName + "/" + config.ValueName(fabric)
}

// follow reads one value again and again. Only a value that was taken counts as
// seen, so that a refused or incomplete one is read again.
func (w *Watcher) follow(ctx context.Context, name config.ValueName, take func(context.Context, config.Value) error) {
	var seen config.Version
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if seen > 0 && w.settings.Reader() {
			wait = watchSpan
		}
		value, err := w.Get(ctx, name, seen, wait)
		if err == nil {
			err = take(ctx, value)
		}
		switch {
		case err == nil:
			seen = value.Version
		case !errors.Is(err, errUnchanged):
			w.settings.Failed(err)
			pause(ctx, retryPeriod)
		}
		if err == nil || errors.Is(err, errUnchanged) {
			if !w.settings.Reader() {
				pause(ctx, pollPeriod)
			}
		}
	}
}

// pause waits for a span that varies by a half, so that balancers do not call at
// the same time.
func pause(ctx context.Context, span time.Duration) {
	varied := span/2 + time.Duration(rand.Int64N(int64(span)))
	select {
	case <-ctx.Done():
	case <-time.After(varied):
	}
}

// Get reads a value that is newer than a version, waiting for it for a while.
func (r *Reader) Get(ctx context.Context, name config.ValueName, after config.Version, wait time.Duration) (config.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{"After": {strconv.FormatUint(uint64(after), 10)}, "Wait": {wait.String()}}
	address := r.url + "/v1/values/" + string(name) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return config.Value{}, fmt.Errorf("watch: get %s: %w", name, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return config.Value{}, fmt.Errorf("watch: get %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return config.Value{}, errUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return config.Value{}, fmt.Errorf("watch: get %s from %s: status %s", name, r.url, response.Status)
	}
	return readValue(name, response)
}

func readValue(name config.ValueName, response *http.Response) (config.Value, error) {
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return config.Value{}, fmt.Errorf("watch: get %s: header %s: %w", name, VersionHeader, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, config.MaxValueBytes+1))
	if err != nil {
		return config.Value{}, fmt.Errorf("watch: get %s: read body: %w", name, err)
	}
	return config.Value{Name: name, Version: config.Version(version), Data: data}, nil
}

func (w *Watcher) takeInstances(_ context.Context, value config.Value) error {
	list, err := config.Decode[config.Instances](string(value.Name), value.Data)
	if err != nil {
		return fmt.Errorf("watch: take %s: %w", value.Name, err)
	}
	w.settings.Instances(list)
	return nil
}

// takeIndex reads the values that the index names and are not held.
func (w *Watcher) takeIndex(ctx context.Context, value config.Value) error {
	index, err := config.Decode[config.Index](string(value.Name), value.Data)
	if err != nil {
		return fmt.Errorf("watch: take %s: %w", value.Name, err)
	}
	held, ok := w.settings.Have()
	if ok && index.Version <= held.Index.Version {
		return nil
	}
	bundle := config.Bundle{Index: value, Values: config.SelectValues(index, held.Values)}
	for _, entry := range index.Values {
		if bundle.Contains(entry) {
			continue
		}
		read, err := w.Get(ctx, entry.Name, 0, 0)
		if err != nil {
			return fmt.Errorf("watch: index %d: %w", index.Version, err)
		}
		if read.Version != entry.Version {
			return fmt.Errorf("watch: index %d: value %s has version %d, expected %d", index.Version, entry.Name, read.Version, entry.Version)
		}
		bundle.Values = append(bundle.Values, read)
	}
	w.settings.Bundle(bundle)
	return nil
}
