// Package elmretries counts the requests and the retries of one service, and keeps an entry
// to its share of the retry budget, which all entries have together.
//
// The package does no input or output.
//
// # Usage
//
//	budget := elmretries.New(elmretries.Settings{Ratio: 0.2, Burst: 90, Window: 10 * time.Second})
//	budget.RecordRequest(now)
//	if budget.CanTake("draft", 1, shares, now) { budget.Take(now) }
package elmretries

import (
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmshare"
	"github.com/elmcove/elmcove/internal/limit/elmwindow"
)

const (
	// UsableRatio is the fraction of the limits that entries share which is used, so that the
	// limits hold while partitioned entries still use shares that others have taken
	// over, and after restarts.
	UsableRatio = 0.75
	// startBurst is the number of retries that an entry may take, beyond those for
	// its requests, while it does not know its share of the budget yet.
	startBurst = 1
)

// Settings are the limits of all entries together: Ratio is the allowed number of retries for
// each request, and Burst the number that is allowed in addition, both in each Window.
type Settings struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// Budget is an entry's part of the retry budget of a service. It is not safe for concurrent
// use.
type Budget struct {
	settings Settings
	requests *elmwindow.Counter
	retries  *elmwindow.Counter
}

// New returns the budget of a service that has had no request yet.
func New(settings Settings) *Budget {
	return &Budget{settings: settings, requests: elmwindow.New(settings.Window), retries: elmwindow.New(settings.Window)}
}

// RecordRequest records a request of a caller.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.Add(now) }

// Requests returns the number of requests in the last window.
func (b *Budget) Requests(now time.Duration) int { return b.requests.Sum(now) }

// CanTake reports whether n retries are left. Key identifies the service among the limits
// that shares divides.
func (b *Budget) CanTake(key string, n int, shares *elmshare.Ledger, now time.Duration) bool {
	burst := startBurst
	if shares.IsSettled(now) {
		burst = shares.Share(key, b.settings.Burst*UsableRatio, b.settings.Window, now)
	}
	allowed := b.settings.Ratio*UsableRatio*float64(b.requests.Sum(now)) + float64(burst)
	return float64(b.retries.Sum(now)+n) <= allowed
}

// Take counts a retry.
func (b *Budget) Take(now time.Duration) { b.retries.Add(now) }
