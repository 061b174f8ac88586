package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pageItems is the largest number of items of a page.
	pageItems = 500
	// historyTime is the history that a watch can ask for.
	historyTime = 20 * time.Second
	// callLatency is the time that the store takes for a call.
	callLatency = 4 * time.Millisecond
)

// item is a key of the store as it stands in a response.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`

	at time.Time
}

// lease is a lease with its lifetime.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store stands in for the platform's store. While it is down, calls get 503 and leases pause.
type store struct {
	down atomic.Bool

	mutex     sync.Mutex
	revision  int64
	dropped   int64
	lastLease int64
	items     map[string]item
	events    []item
	leases    map[int64]lease
	changed   chan struct{}
}

// newStore returns an empty store.
func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
}

// put writes a key as the operator, a replica or another writer does. It does nothing while the
// store is down.
func (s *store) put(key string, value any) {
	document, err := json.Marshal(value)
	if s.down.Load() || err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, document, 0, false)
}

// remove removes a key. It does nothing while the store is down.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok && !s.down.Load() {
		s.write(key, nil, 0, true)
	}
}

// value returns the value of a key.
func (s *store) value(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	return string(s.items[key].Value)
}

// write records a change and wakes all watches. The mutex must be held.
func (s *store) write(key string, value []byte, leaseID int64, deleted bool) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: leaseID, Deleted: deleted, at: time.Now()}
	if old, ok := s.items[key]; ok && !deleted {
		i.CreateRevision = old.CreateRevision
	}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.events = append(s.events, i)
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys whose lease has ended. The mutex must be held.
func (s *store) expire() {
	if s.down.Load() {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			delete(s.leases, id)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		i := s.items[key]
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			s.write(key, nil, 0, true)
		}
	}
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down.Swap(down) && !down {
		for id, l := range s.leases { // They were paused.
			s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
		}
	}
}

// ServeHTTP implements the calls of PROTOCOL.md.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callLatency)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/elmcove/"), "/")
	switch call {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTransaction(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep", "kv-lease-end":
		s.serveLeaseChange(w, call, rest)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, s.items[key])
		}
	}
	shown := found[:min(len(found), pageItems)]
	writeJSON(w, map[string]any{"items": shown, "truncated": len(shown) < len(found), "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // 0 if there is none.
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mutex.Lock()
		s.expire()
		found := []item{}
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				found = append(found, i)
			}
		}
		changed, asOf, dropped := s.changed, s.revision, s.dropped
		s.mutex.Unlock()
		switch {
		case after < dropped:
			w.WriteHeader(http.StatusGone)
			return
		case s.down.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(found) > 0 || ended:
			writeJSON(w, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // A lease may have ended.
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of kv-txn.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	holds := true
	current := []item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range t.Deletes {
		s.write(key, nil, 0, true)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.lastLease, "ttlMs": body.TTL})
}

func (s *store) serveLeaseChange(w http.ResponseWriter, call, id string) {
	number, _ := strconv.ParseInt(id, 10, 64) // No lease has the ID 0.
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	l, ok := s.leases[number]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if call == "kv-lease-end" {
		delete(s.leases, number)
		s.expire()
	} else {
		s.leases[number] = lease{l.ttl, time.Now().Add(l.ttl)}
	}
	writeJSON(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

// writeJSON writes a response in JSON.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The caller may have disconnected.
}
