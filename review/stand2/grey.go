package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	service = "work-desk"
	key     = "key-of-the-crew"
	// replicas is the number of replicas, of which one is grey: a share of 0.125.
	replicas = 8
	orders   = 150
	// orderPause is the time between two orders.
	orderPause = 80 * time.Millisecond
	// greyFrom and greyTo bound the time in which the replica is grey: for 5 s.
	greyFrom, greyTo = 2 * time.Second, 7 * time.Second
)

// config is a configuration with a route for work orders and one for lookups.
func config(version int, tenants []any) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 1500, "sloMs": 150, "priority": 2,
			"service": service, "attempts": attempts, "public": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-order", "/order/", "non_idempotent", 1), route("r-look", "/look/", "idempotent", 2)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 6000},
		"tenants":  tenants,
	}
}

// crew is the only tenant.
func crew(keys ...string) []any {
	return []any{map[string]any{"name": "crew", "apiKeys": keys}}
}

// startReplicas starts replicas, of which the first one fails requests as told.
func (w *world) startReplicas(number int, fails func() bool) (*sync.Mutex, *[]run, error) {
	mutex, runs := &sync.Mutex{}, &[]run{}
	for i := range number {
		p := &replica{id: fmt.Sprintf("i-%08x", 0x2b9bcd10+i), world: w, mutex: mutex, runs: runs}
		if i == 0 {
			p.fails = fails
		}
		if err := w.serve(100+i, p); err != nil {
			return nil, nil, err
		}
		w.beat(p.id, service, w.address(100+i))
	}
	return mutex, runs, nil
}

// isFailed reports whether the grey replica fails its nth request: at any time at most two of five.
func isFailed(n int) bool { return n%5 == 3 || n%5 == 0 }

// greyCase has one replica of eight fail two of five requests that it has run, by its own status
// 503. It breaks REFUSED if a caller is told by 503 that its order has not run, and it has.
func greyCase(w *world, trouble bool) (bool, error) {
	var counting sync.Mutex
	n, began := 0, time.Time{}
	mutex, runs, err := w.startReplicas(replicas, func() bool {
		counting.Lock()
		defer counting.Unlock()
		if now := time.Since(began); !trouble || now < greyFrom || now >= greyTo {
			return false
		}
		n++
		return isFailed(n)
	})
	if err != nil {
		return false, err
	}
	w.put("op/config", config(7, crew(key)))
	if err := w.startRouters(3); err != nil {
		return false, err
	}
	promised := map[string]bool{}
	var wait sync.WaitGroup
	var noting sync.Mutex
	gate := make(chan struct{}, 6)
	counting.Lock()
	began = time.Now()
	counting.Unlock()
	for i := range orders {
		gate <- struct{}{}
		time.Sleep(orderPause)
		wait.Go(func() {
			defer func() { <-gate }()
			for try := range 2 {
				a := attempt{id: fmt.Sprintf("%08x%08x", i+1, try+1), method: http.MethodPost, path: "/order/2f", key: key, body: fmt.Sprintf("order %d", i), deadline: 1500 * time.Millisecond}
				got := w.send(w.fronts[(i+try)%len(w.fronts)], a)
				if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests {
					return
				}
				noting.Lock() // The answer promises that the order has not run, so that the client sends it again.
				promised[a.id] = true
				noting.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	denied, times := 0, map[string]int{}
	for _, r := range *runs {
		times[r.body]++
		if promised[r.attempt] {
			denied++
			w.record.add("REFUSED: %s (%s) ran at %s, and its client was told by 429 or 503 that it had not", r.attempt, r.body, r.replica)
		}
	}
	twice := 0
	for _, n := range times {
		if n > 1 {
			twice++
		}
	}
	w.record.add("%d orders, %d requests ran, %d that were answered 429 or 503 had run, %d orders were carried out more than once", orders, len(*runs), denied, twice)
	fmt.Printf("%d orders, %d requests that were answered 429 or 503 had run, %d orders were carried out more than once\n", orders, denied, twice)
	return denied > 0, nil
}
