package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or in a response to a watch also its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store as PROTOCOL.md describes it.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// changed is closed and replaced with each change.
	changed chan struct{}
}

const (
	// pageItems is the number of items in a page of a range.
	pageItems = 50
	// answerTime is the time that the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

var sequenceField = regexp.MustCompile(`"sequence":\d+`)

// put writes a key. An entry of a target that differs in its sequence only is no change.
func (s *store) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, exists := s.items[key]
	if exists && strings.HasPrefix(key, "servers/") &&
		bytes.Equal(sequenceField.ReplaceAll(old.Value, nil), sequenceField.ReplaceAll([]byte(value), nil)) {
		old.Value = []byte(value)
		s.items[key] = old
		return
	}
	s.revision++
	next := item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
	if exists {
		next.Created = old.Created
	}
	s.items[key] = next
	s.announce(next)
}

// announce adds an event and wakes the waiting watches.
func (s *store) announce(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns the items with a prefix after a key, and whether there are more.
func (s *store) page(prefix, after string) (items []item, hasMore bool, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > pageItems {
		items, hasMore = items[:pageItems], true
	}
	return items, hasMore, s.revision
}

// since returns the events with a prefix after a revision, and a channel that is closed with the
// next change.
func (s *store) since(prefix string, after uint64) (events []item, revision uint64, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

// ServeHTTP answers the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	prefix := query.Get("prefix")
	switch r.URL.Path {
	case "/api/kv-range":
		items, hasMore, revision := s.page(prefix, query.Get("after"))
		respond(w, map[string]any{"items": list(items), "has_more": hasMore, "store_revision": revision})
	case "/api/kv-watch":
		after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, errWait := strconv.Atoi(query.Get("wait_ms"))
		if errAfter != nil || errWait != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		end := time.After(time.Duration(wait) * time.Millisecond)
		for {
			events, revision, changed := s.since(prefix, after)
			if len(events) > 0 {
				respond(w, map[string]any{"events": list(events), "store_revision": revision})
				return
			}
			select {
			case <-changed:
			case <-end:
				respond(w, map[string]any{"events": list(events), "store_revision": revision})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// list returns the items, with an empty list in place of nil.
func list(items []item) []item { return append([]item{}, items...) }

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has gone reads no answer.
	_ = json.NewEncoder(w).Encode(body)
}
