package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	ordersPrefix = "/orders/"
	ledgerPrefix = "/ledger/"
	ledgerID     = "i-ledger1"
	minServed    = 100
)

// playForeign lets another writer put entries without `sequence` and `version` under the id of a
// replica of the service "ledger". They name the service "desk". The rule ROUTE is broken if that
// replica runs a request of a route to "desk".
func playForeign(ctx context.Context, r *record, trouble bool) error {
	return withSite(r, func(s *site) error { return foreignCase(ctx, s, trouble) })
}

func foreignCase(ctx context.Context, s *site, trouble bool) error {
	c := newConfig(0, "desk", "ledger")
	c.add("orders", ordersPrefix, "non_idempotent", "desk", 1)
	c.add("ledger", ledgerPrefix, "idempotent", "ledger", 2)
	s.store.put("op/config", c)
	var wrong atomic.Int64
	ids := map[string]string{"i-desk1": "desk", "i-desk2": "desk", ledgerID: "ledger"}
	beating, stop := context.WithCancel(ctx)
	defer stop()
	address := ""
	for id, service := range ids {
		r, err := s.newReplica(id, service, 6, 30*time.Millisecond)
		if err != nil {
			return err
		}
		if id == ledgerID {
			address = r.address
			r.ran = func(q *http.Request, _ time.Time) {
				if strings.HasPrefix(q.URL.Path, ordersPrefix) {
					wrong.Add(1)
					s.record.line("WRONG SERVICE: %s (ledger) runs %s", id, q.URL.Path)
				}
			}
		}
		go r.beat(beating)
	}
	clients, err := s.startRouters(ctx, "edge-1", "edge-2")
	if err != nil {
		return err
	}
	sending, end := context.WithTimeout(ctx, 10*time.Second)
	defer end()
	l := &load{clients: clients}
	l.start(sending, http.MethodPost, ordersPrefix, 40)
	l.start(sending, http.MethodGet, ledgerPrefix, 10)
	for range 3 {
		time.Sleep(2500 * time.Millisecond)
		if trouble {
			s.record.line("another writer puts servers/%s", ledgerID)
			s.store.put("servers/"+ledgerID, map[string]any{
				"service": "desk", "address": address, "zone": zoneName, "slots": 6, "state": "ready", "coldLeftMs": 0,
			})
		}
	}
	answers := l.wait()
	count := statuses(answers)
	s.record.say("answers by status: %v; orders run by the ledger's replica: %d", count, wrong.Load())
	if count[http.StatusOK] < minServed {
		return fmt.Errorf("%w: only %d requests were served", errSetup, count[http.StatusOK])
	}
	if wrong.Load() > 0 {
		return fmt.Errorf("%w: ROUTE: the ledger's replica ran %d requests of a route that only desk serves", errBroken, wrong.Load())
	}
	return nil
}
