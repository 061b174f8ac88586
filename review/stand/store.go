package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as responses show it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createRevision,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

const (
	// history is how long events are kept (historyS).
	history = 20 * time.Second
	// pageItems and pageBytes bound a page of kv-range.
	pageItems, pageBytes = 500, 1 << 20
	// answerTime is how long an answer takes.
	answerTime = 4 * time.Millisecond
)

// store is a stand-in for the platform's store (PROTOCOL.md).
type store struct {
	mutex     sync.Mutex
	revision  int64
	lastLease int64
	items     map[string]item
	events    []event
	compacted int64
	leases    map[int64]lease
	changed   chan struct{}
}

type event struct {
	item
	at time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mutex.Lock()
			s.expire()
			s.mutex.Unlock()
		}
	}()
	return s
}

// put writes a key for the operator or an endpoint.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(item{Key: key, Value: value})
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(item{Key: key, Deleted: true})
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

func (s *store) write(i item) {
	old, exists := s.items[i.Key]
	if i.Deleted && !exists {
		return
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if exists {
		i.Created = old.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
		i.Created = 0
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, event{i, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases and drops old events. The mutex must be held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.end(id)
		}
	}
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.compacted = s.events[0].Revision
		s.events = s.events[1:]
	}
}

// end ends a lease and removes its keys. The mutex must be held.
func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	path := strings.TrimPrefix(r.URL.Path, "/elmcove/")
	switch {
	case path == "kv-range":
		s.serveRange(w, r)
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTransaction(w, r)
	case path == "kv-lease", strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		s.serveLease(w, r, path)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	document, _ := json.Marshal(body) // Always encodes.
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(document)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	asOf := s.revision
	s.mutex.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, number := 0, 0
	for number < len(found) && number < pageItems && (number == 0 || size+len(found[number].Value) <= pageBytes) {
		size += len(found[number].Value)
		number++
	}
	answer(w, http.StatusOK, map[string]any{"items": found[:number], "truncated": number < len(found), "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mutex.Lock()
		changed, asOf, compacted := s.changed, s.revision, s.compacted
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				found = append(found, e.item)
			}
		}
		s.mutex.Unlock()
		if after < compacted {
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		if len(found) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []item{}, true
	for _, e := range body.Expected {
		i, exists := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if exists {
			current = append(current, i)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if _, granted := s.leases[p.Lease]; p.Lease != 0 && !granted {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Deletes {
		s.write(item{Key: key, Deleted: true})
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request, path string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	action, number, _ := strings.Cut(path, "/")
	if action == "kv-lease" {
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		s.lastLease++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": body.TTL})
		return
	}
	id, _ := strconv.ParseInt(number, 10, 64)
	l, granted := s.leases[id]
	switch {
	case !granted:
		answer(w, http.StatusNotFound, map[string]any{})
	case action == "kv-keep":
		l.expiry = time.Now().Add(l.ttl)
		s.leases[id] = l
		answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	default:
		s.end(id)
		answer(w, http.StatusOK, map[string]any{})
	}
}

// storePath is the path of one process to the store, which can be cut.
type storePath struct {
	store *store
	mutex sync.Mutex
	cut   bool
}

func newStorePath(s *store) *storePath { return &storePath{store: s} }

// setCut cuts the path, or heals it. Over a cut path each connection is reset.
func (p *storePath) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
}

func (p *storePath) isCut() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cut
}

func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.isCut() {
		panic(http.ErrAbortHandler)
	}
	recorder := httptest.NewRecorder()
	p.store.ServeHTTP(recorder, r)
	if p.isCut() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}
