package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// slots is the number of requests that an endpoint works on at a time, and workTime how long
// each takes.
const slots, workTime = 6, 10 * time.Millisecond

// heartbeat is the time between two entries of an endpoint (heartbeatMs).
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached an endpoint and ran there.
type arrival struct {
	at                time.Time
	attempt, path, id string
	cold              bool
}

// endpoint is a stand-in for a replica of a service.
type endpoint struct {
	w             *world
	service, zone string
	address       string

	mutex     sync.Mutex
	id        string
	up        bool
	coldUntil time.Time
	sequence  int
	slots     chan struct{}
	arrivals  []arrival
}

// startEndpoint starts an endpoint that is warm.
func (w *world) startEndpoint(id, service, zone string) (*endpoint, error) {
	e := &endpoint{w: w, service: service, zone: zone, id: id, up: true, slots: make(chan struct{}, slots)}
	var err error
	if e.address, err = w.listen("127.0.0.1", e); err != nil {
		return nil, err
	}
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e, nil
}

// register writes the endpoint's entry to the store.
func (e *endpoint) register() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.up {
		return
	}
	e.sequence++
	document, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": cap(e.slots), "state": "ready",
		"coldLeftMs": max(time.Until(e.coldUntil).Milliseconds(), 0), "sequence": e.sequence,
	})
	e.w.store.put("servers/"+e.id, document)
}

// crash ends the endpoint. It says nothing; its entry is removed after three heartbeats.
func (e *endpoint) crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.up = false
	id := e.id
	time.AfterFunc(3*heartbeat, func() { e.w.store.remove("servers/" + id) })
}

// restart starts the endpoint again under another id. It is cold for some time.
func (e *endpoint) restart(id string, cold time.Duration) {
	e.mutex.Lock()
	e.id, e.up, e.coldUntil, e.sequence = id, true, time.Now().Add(cold), 0
	e.mutex.Unlock()
	e.register()
}

// cool makes the endpoint cold for some time, without a restart.
func (e *endpoint) cool(cold time.Duration) {
	e.mutex.Lock()
	e.coldUntil = time.Now().Add(cold)
	e.mutex.Unlock()
	e.register()
}

// all returns the requests that ran.
func (e *endpoint) all() []arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// accept records a request unless the endpoint is down or another one is expected.
func (e *endpoint) accept(r *http.Request) (id string, up, expected bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	named := r.Header.Get("Expect-Instance")
	expected = named == "" || named == e.id
	if e.up && expected {
		e.arrivals = append(e.arrivals, arrival{time.Now(), r.Header.Get("Attempt-Id"), r.RequestURI, e.id, time.Now().Before(e.coldUntil)})
	}
	return e.id, e.up, expected
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, up, expected := e.accept(r)
	if !up {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if !expected {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.slots <- struct{}{}
	time.Sleep(workTime)
	<-e.slots
	w.Header().Set("Response-Seal", "seal-"+id+"-"+attempt)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s of %s", attempt, e.service)
}
