package main

// The platform's metadata store, as PROTOCOL.md describes it. It keeps a history of all writes; a watch
// returns every write since a revision, one event each.

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// history is how long the store keeps writes, history_s of the small deployments.
	history = 20 * time.Second
	// The limits of a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// storeDelay is the usual time of an answer.
	storeDelay = 4 * time.Millisecond
	maxWait    = 30 * time.Second
)

// item is a key as it was written, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// store is the metadata store.
type store struct {
	mutex     sync.Mutex
	revision  uint64
	items     map[string]item
	events    []item
	discarded uint64
	// changed is closed and replaced by each write.
	changed chan struct{}
	// largest is the size of the largest answer to a watch, gone the number of answers 410.
	largest int
	gone    int
}

// newStore starts a store.
func newStore(address netip.AddrPort) (*store, error) {
	s := &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a key and returns when the store has acknowledged it. A value that is already there
// changes nothing.
func (s *store) put(key string, value []byte) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, found := s.items[key]
	if found && string(current.Value) == string(value) {
		return time.Now()
	}
	s.revision++
	created := s.revision
	if found {
		created = current.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, at: time.Now()}
	s.items[key] = written
	s.record(written)
	return written.at
}

// remove removes a key.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.items[key]; !found {
		return time.Now()
	}
	s.revision++
	delete(s.items, key)
	removed := item{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()}
	s.record(removed)
	return removed.at
}

// answers returns the size of the largest answer to a watch, and the number of answers 410.
func (s *store) answers() (largest, gone int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.largest, s.gone
}

// record adds a write to the history and discards old ones.
func (s *store) record(written item) {
	s.events = append(s.events, written)
	s.discardOld()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) discardOld() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.discarded = s.events[0].Revision
		s.events = s.events[1:]
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{found, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"has_more"`
		StoreRevision uint64 `json:"store_revision"`
	}{Items: []item{}, StoreRevision: s.revision}
	bytes := 0
	for _, key := range keys {
		found := s.items[key]
		if len(page.Items) > 0 && (len(page.Items) >= maxPageItems || bytes+len(found.Value) > maxPageBytes) {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, found)
		bytes += len(found.Value)
	}
	s.mutex.Unlock()
	answer(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMilliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(min(time.Duration(waitMilliseconds)*time.Millisecond, maxWait))
	for {
		s.mutex.Lock()
		s.discardOld()
		lost := after < s.discarded || after > s.revision
		if lost {
			s.gone++
		}
		changes := struct {
			Events        []item `json:"events"`
			StoreRevision uint64 `json:"store_revision"`
		}{Events: []item{}, StoreRevision: s.revision}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				changes.Events = append(changes.Events, event)
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		switch {
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0:
			size := answer(w, changes)
			s.mutex.Lock()
			s.largest = max(s.largest, size)
			s.mutex.Unlock()
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a body after the usual delay and returns its size.
func answer(w http.ResponseWriter, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return 0
	}
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
	return len(data)
}
