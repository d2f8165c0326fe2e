// Package watch reads the platform's configuration service.
//
// GET /v1/values/NAME returns a value, with its version in the Version header. With the
// query parameters After=V and Wait=DURATION it is a long poll: the service responds as soon
// as the value has a version newer than V, or with status 304 after the duration.
//
// A service that was restored from an older copy may assign versions again. All its responses
// have an Epoch header, which increases with each restore. The query parameter Epoch names the
// epoch of V; if it is not the current one, the service responds at once with the value that it
// has. A service without this header has a single epoch, 0.
//
// Only a few balancers in each failure domain use long polls. The others receive new
// versions from their peers and poll the platform only occasionally. Long polls in every
// balancer were rejected: with 1,300 balancers each change would cause 1,300 simultaneous
// calls, and the platform allows 2,000 calls per second.
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

const (
	// watchTimeout is the duration of a long poll without changes.
	watchTimeout = 10 * time.Second
	// pollInterval is the time between two calls of a balancer that does not use long polls.
	pollInterval = 15 * time.Second
	// retryInterval is the time until the next call after an error.
	retryInterval = 500 * time.Millisecond
	// requestTimeout limits a request, in addition to the duration of a long poll.
	requestTimeout = 5 * time.Second
)

// VersionHeader names the HTTP header that carries a value's version.
const VersionHeader = "Version"

// EpochHeader names the HTTP header that carries the epoch of the platform, and the query
// parameter that carries the epoch of the caller's version.
const EpochHeader = "Epoch"

// Epoch counts how often the platform was restored from an older copy.
type Epoch uint64

// errUnchanged is returned if there is no newer version of a value.
var errUnchanged = errors.New("watch: no newer version of the value")

// Config configures a Watcher. The callbacks are called from its two goroutines, possibly
// concurrently.
type Config struct {
	// URL is the base URL of the platform.
	URL string
	// Fabric is the fabric whose instance list is read.
	Fabric string
	// IsReader reports whether this balancer uses long polls.
	IsReader func() bool
	// CurrentBundle returns the current configuration, and false if there is none. Its
	// values are not read again.
	CurrentBundle func() (config.Bundle, bool)
	// OnBundle receives each new configuration. It is not validated yet.
	OnBundle func(config.Bundle)
	// OnInstances receives each new instance list.
	OnInstances func(config.Instances)
	// OnError receives the error of each failed attempt to read a value.
	OnError func(error)
}

// Client reads values from the platform.
type Client struct {
	url    string
	client *http.Client
}

// NewClient returns a client of the platform at a base URL.
func NewClient(url string) *Client {
	return &Client{url: url, client: &http.Client{}}
}

// Watcher reads the configuration and the instance list until its context is done.
type Watcher struct {
	*Client
	settings Config
	// indexEpoch is the epoch in which the latest index was read, 0 before the first. restored
	// is set from a change of it until a bundle has been read. Only the goroutine that watches
	// the index uses them.
	indexEpoch Epoch
	restored   bool
}

// New starts a Watcher.
func New(ctx context.Context, settings Config) *Watcher {
	w := &Watcher{Client: NewClient(settings.URL), settings: settings}
	go func() { w.watchValue(ctx, config.IndexName, w.handleIndex) }()
	go func() { w.watchValue(ctx, InstancesName(settings.Fabric), w.handleInstances) }()
	return w
}

// InstancesName returns the name of the value that holds a fabric's instance list.
func InstancesName(fabric string) config.ValueName {
	return config.InstancesName + "/" + config.ValueName(fabric)
}

// watchValue reads a value repeatedly and passes each new version to handle. If handle returns
// an error, the same version is read again.
func (w *Watcher) watchValue(ctx context.Context, name config.ValueName, handle func(context.Context, response) error) {
	var lastVersion config.Version
	var lastEpoch Epoch
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if lastVersion > 0 && w.settings.IsReader() {
			wait = watchTimeout
		}
		read, err := w.get(ctx, name, position{lastEpoch, lastVersion}, wait)
		if err == nil {
			err = handle(ctx, read)
		}
		switch {
		case err == nil:
			lastVersion, lastEpoch = read.value.Version, read.epoch
		case errors.Is(err, errUnchanged) && read.epoch != lastEpoch:
			// The platform does not know the parameter, but has been restored.
			lastVersion, lastEpoch = 0, read.epoch
			continue
		case !errors.Is(err, errUnchanged):
			w.settings.OnError(err)
			sleepWithJitter(ctx, retryInterval)
		}
		if err == nil || errors.Is(err, errUnchanged) {
			if !w.settings.IsReader() {
				sleepWithJitter(ctx, pollInterval)
			}
		}
	}
}

// sleepWithJitter sleeps for 50% to 150% of a duration, so that balancers do not call at the
// same time.
func sleepWithJitter(ctx context.Context, delay time.Duration) {
	jittered := delay/2 + time.Duration(rand.Int64N(int64(delay)))
	select {
	case <-ctx.Done():
	case <-time.After(jittered):
	}
}

// position is a version of a value with the epoch in which it was assigned.
type position struct {
	epoch   Epoch
	version config.Version
}

// response is a value with the epoch in which it was read.
type response struct {
	value config.Value
	epoch Epoch
}

// Get reads a value. If it has no version newer than the given one, Get waits for one up to
// the given duration, and then returns an error.
func (c *Client) Get(ctx context.Context, name config.ValueName, after config.Version, wait time.Duration) (config.Value, error) {
	read, err := c.get(ctx, name, position{version: after}, wait)
	return read.value, err
}

// get reads a value like Get. If it returns errUnchanged, the response has the epoch.
func (c *Client) get(ctx context.Context, name config.ValueName, after position, wait time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	query := url.Values{"After": {strconv.FormatUint(uint64(after.version), 10)}, "Wait": {wait.String()}}
	if after.epoch > 0 {
		query.Set(EpochHeader, strconv.FormatUint(uint64(after.epoch), 10))
	}
	address := c.url + "/v1/values/" + string(name) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return response{}, fmt.Errorf("watch: get %s: %w", name, err)
	}
	reply, err := c.client.Do(request)
	if err != nil {
		return response{}, fmt.Errorf("watch: get %s: %w", name, err)
	}
	defer func() { _ = reply.Body.Close() }()
	var read response
	if text := reply.Header.Get(EpochHeader); text != "" {
		epoch, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return response{}, fmt.Errorf("watch: get %s: header %s: %w", name, EpochHeader, err)
		}
		read.epoch = Epoch(epoch)
	}
	if reply.StatusCode == http.StatusNotModified {
		return read, errUnchanged
	}
	if reply.StatusCode != http.StatusOK {
		return response{}, fmt.Errorf("watch: get %s from %s: status %s", name, c.url, reply.Status)
	}
	read.value, err = readValue(name, reply)
	return read, err
}

// readValue reads a value from a response. It stops one byte after config.MaxValueBytes, which
// suffices for config.Decode to reject the value.
func readValue(name config.ValueName, reply *http.Response) (config.Value, error) {
	version, err := strconv.ParseUint(reply.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return config.Value{}, fmt.Errorf("watch: get %s: header %s: %w", name, VersionHeader, err)
	}
	data, err := io.ReadAll(io.LimitReader(reply.Body, config.MaxValueBytes+1))
	if err != nil {
		return config.Value{}, fmt.Errorf("watch: get %s: read body: %w", name, err)
	}
	return config.Value{Name: name, Version: config.Version(version), Data: data}, nil
}

// handleInstances decodes an instance list and passes it to OnInstances.
func (w *Watcher) handleInstances(_ context.Context, read response) error {
	list, err := config.Decode[config.Instances](string(read.value.Name), read.value.Data)
	if err != nil {
		return fmt.Errorf("watch: decode %s: %w", read.value.Name, err)
	}
	w.settings.OnInstances(list)
	return nil
}

// handleIndex reads the values that the index lists and the current configuration lacks, and
// passes the complete bundle to OnBundle. After a restore it reads all values, because versions
// of the current configuration may have been assigned again, and reports an index that is older
// than the current configuration, which stays in force.
func (w *Watcher) handleIndex(ctx context.Context, read response) error {
	index, err := config.Decode[config.Index](string(read.value.Name), read.value.Data)
	if err != nil {
		return fmt.Errorf("watch: decode %s: %w", read.value.Name, err)
	}
	current, ok := w.settings.CurrentBundle()
	entered := w.indexEpoch > 0 && read.epoch != w.indexEpoch
	w.indexEpoch = read.epoch
	w.restored = w.restored || entered
	if ok && index.Version <= current.Index.Version {
		if entered && index.Version < current.Index.Version {
			w.settings.OnError(fmt.Errorf("watch: platform was restored from a copy with index version %d, but version %d is in force: publish the configuration again with a version above %d",
				index.Version, current.Index.Version, current.Index.Version))
		}
		return nil
	}
	bundle := config.Bundle{Index: read.value}
	if !w.restored {
		bundle.Values = config.SelectValues(index, current.Values)
	}
	for _, entry := range index.Values {
		if bundle.Contains(entry) {
			continue
		}
		value, err := w.Get(ctx, entry.Name, 0, 0)
		if err != nil {
			return fmt.Errorf("watch: read the values of index version %d: %w", index.Version, err)
		}
		if value.Version != entry.Version {
			return fmt.Errorf("watch: read the values of index version %d: value %s has version %d, expected %d", index.Version, entry.Name, value.Version, entry.Version)
		}
		bundle.Values = append(bundle.Values, value)
	}
	w.restored = false
	w.settings.OnBundle(bundle)
	return nil
}
