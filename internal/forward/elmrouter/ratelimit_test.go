package elmrouter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform/stand"
)

const (
	rateLimit     = "3.5"
	limitWindow   = 4 * time.Second
	allowedWindow = 1.5*4*3.5 + 5
)

// mostInWindow returns the most requests in any limitWindow from a time on.
func mostInWindow(list []stand.ReceivedRequest, from time.Time) int {
	most := 0
	for _, first := range list {
		n := 0
		for _, r := range list {
			if !first.At.Before(from) && !r.At.Before(first.At) && r.At.Before(first.At.Add(limitWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against LIMIT: an endpoint that announces how many requests a second it
// accepts from all entries together gets more, because each entry ignores it or takes
// all of it for itself.
func TestRateLimitHoldsForAllEntriesTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3, nil)
	entries := []*fixture{f, f.addEntry("entry-2"), f.addEntry("entry-3"), f.addEntry("entry-4")}
	limited := f.endpoints[0]
	limited.SetRateLimit(rateLimit)
	announced := time.Now()
	ctx, stop := context.WithTimeout(t.Context(), 9*time.Second)
	defer stop()
	var wait sync.WaitGroup
	served := make([]int, len(entries))
	for i, e := range entries {
		wait.Go(func() {
			for ctx.Err() == nil {
				if got := e.call(t.Context(), "POST", "/once/a", "", nil); got.status == 200 {
					served[i]++
				}
				<-time.After(60 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	list := limited.Requests()
	if most := mostInWindow(list, announced.Add(time.Second)); float64(most) > allowedWindow {
		t.Errorf("%d requests in %v, want %v at most", most, limitWindow, allowedWindow)
	}
	if len(list) < 10 {
		t.Errorf("the endpoint got only %d requests in 9 s", len(list))
	}
	for i, n := range served {
		if n < 100 {
			t.Errorf("entry %d served %d requests, want 100: the other endpoints can carry them", i+1, n)
		}
	}
}
