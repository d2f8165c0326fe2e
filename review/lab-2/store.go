package main

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
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
	// silent holds the machines that get no response, watching those whose watch waits for a change.
	silent, watching map[int]bool
}

const (
	// pageItems is the number of items in a page of a range.
	pageItems = 50
	// answerTime is the time that the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

func newStore() *store {
	return &store{
		revision: 1, items: make(map[string]item), changed: make(chan struct{}),
		silent: make(map[int]bool), watching: make(map[int]bool),
	}
}

// setSilent sets the machines that get no response from now on.
func (s *store) setSilent(machines []int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = make(map[int]bool)
	for _, machine := range machines {
		s.silent[machine] = true
	}
}

func (s *store) isSilent(machine int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent[machine]
}

// readers returns the machines whose watch waits for a change.
func (s *store) readers() []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.watching))
}

func (s *store) setWatching(machine int, watching bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if watching {
		s.watching[machine] = true
	} else {
		delete(s.watching, machine)
	}
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.items, key)
	s.announce(item{Key: key, Revision: s.revision, Tombstone: true})
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

// handler answers the reading calls of one machine.
func (s *store) handler(machine int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		query := r.URL.Query()
		prefix := query.Get("prefix")
		var body map[string]any
		switch r.URL.Path {
		case "/api/kv-range":
			items, hasMore, revision := s.page(prefix, query.Get("after"))
			body = map[string]any{"items": list(items), "has_more": hasMore, "store_revision": revision}
		case "/api/kv-watch":
			after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
			wait, errWait := strconv.Atoi(query.Get("wait_ms"))
			if errAfter != nil || errWait != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			events, revision := s.watch(r.Context(), machine, prefix, after, time.Duration(wait)*time.Millisecond)
			body = map[string]any{"events": list(events), "store_revision": revision}
		default:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if s.isSilent(machine) {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A client that has gone reads no answer.
		_ = json.NewEncoder(w).Encode(body)
	})
}

// minWatch is the time from which a watch counts as waiting, which a poll does not.
const minWatch = time.Second

// watch returns the events after a revision, as soon as there are any or the time is over.
func (s *store) watch(ctx context.Context, machine int, prefix string, after uint64, wait time.Duration) (events []item, revision uint64) {
	if wait >= minWatch {
		s.setWatching(machine, true)
		defer s.setWatching(machine, false)
	}
	end := time.After(wait)
	for {
		events, revision, changed := s.since(prefix, after)
		if len(events) > 0 {
			return events, revision
		}
		select {
		case <-changed:
		case <-end:
			return events, revision
		case <-ctx.Done():
			return events, revision
		}
	}
}

// list returns the items, with an empty list in place of nil.
func list(items []item) []item { return append([]item{}, items...) }
