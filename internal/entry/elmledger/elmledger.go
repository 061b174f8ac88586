// Package elmledger keeps a bounded log of the decisions for recent requests, so
// that operators can see why a request was placed, retried or refused.
//
// # Usage
//
//	ledger := elmledger.New(4096)
//	ledger.Record("entry-1-7", "sent to agent-3")
//	lines := ledger.Explain("entry-1-7")
package elmledger

import (
	"sync"
	"time"
)

// Decision is one decision and its time.
type Decision struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// Ledger keeps the decisions of a bounded number of requests. It is safe for
// concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	size      int
	requests  []string
	next      int
	decisions map[string][]Decision
}

// New returns a Ledger that keeps the last size requests.
func New(size int) *Ledger {
	return &Ledger{size: size, requests: make([]string, size), decisions: make(map[string][]Decision, size)}
}

// Record adds a decision to a request. If the request is new and the ledger is
// full, it drops the oldest request.
func (l *Ledger) Record(request, text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.decisions[request]; !ok {
		delete(l.decisions, l.requests[l.next])
		l.requests[l.next] = request
		l.next = (l.next + 1) % l.size
	}
	l.decisions[request] = append(l.decisions[request], Decision{Time: time.Now().UTC(), Text: text})
}

// Explain returns the decisions of a request in order, or nil if the ledger does
// not have the request.
func (l *Ledger) Explain(request string) []Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Decision(nil), l.decisions[request]...)
}
