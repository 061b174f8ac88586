package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	coldTime = 3 * time.Second
	coldPerS = 38
	// coldBound is coldPerS x coldOver + coldSlack.
	coldBound = 62
	// crashRate is the rate of requests at which a cold replica crashes.
	crashRate = 2 * coldBound
	// outage is how long the store is down, as platform_down in the site file.
	outage = 4500 * time.Millisecond
)

// arrivals counts the requests that a cold replica gets.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
	most  int
}

// add adds an arrival, and returns how many came within the last second.
func (a *arrivals) add(at time.Time) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.times = append(a.times, at)
	for at.Sub(a.times[0]) >= time.Second {
		a.times = a.times[1:]
	}
	a.most = max(a.most, len(a.times))
	return len(a.times)
}

// playCold takes the store down. A second later one of two replicas turns cold, which it states
// in its health responses at once, and in its entry as soon as the store takes it. The rule
// FAILBACK is broken if the cold replica gets more requests in a second than the bound.
// Without trouble the store stays up.
func playCold(ctx context.Context, r *record, trouble bool) error {
	return withSite(r, func(s *site) error { return coldCase(ctx, s, trouble) })
}

func coldCase(ctx context.Context, s *site, trouble bool) error {
	c := newConfig(coldPerS, "desk")
	c.add("orders", ordersPrefix, "non_idempotent", "desk", 1)
	s.store.put("op/config", c)
	beating, stop := context.WithCancel(ctx)
	defer stop()
	var replicas []*replica
	for _, id := range []string{"i-desk1", "i-desk2"} {
		r, err := s.newReplica(id, "desk", 12, 20*time.Millisecond)
		if err != nil {
			return err
		}
		replicas = append(replicas, r)
		go r.beat(beating)
	}
	cold := replicas[0]
	var seen arrivals
	cold.ran = func(_ *http.Request, at time.Time) {
		cold.mutex.Lock()
		isCold := cold.coldLeft() > 0
		cold.mutex.Unlock()
		if !isCold {
			return
		}
		if rate := seen.add(at); rate > crashRate {
			s.record.line("CRASH: cold replica %s got %d requests within a second", cold.id, rate)
			cold.crash()
		}
	}
	clients, err := s.startRouters(ctx, "edge-1", "edge-2")
	if err != nil {
		return err
	}
	sending, end := context.WithTimeout(ctx, 11*time.Second)
	defer end()
	l := &load{clients: clients}
	l.start(sending, http.MethodPost, ordersPrefix, 360)
	time.Sleep(4 * time.Second)
	if trouble {
		s.record.line("the store is down")
		s.store.setDown(true)
	}
	time.Sleep(time.Second)
	s.record.line("replica %s turns cold", cold.id)
	cold.chill(coldTime)
	time.Sleep(outage - time.Second)
	s.store.setDown(false)
	s.record.line("the store is up")
	answers := l.wait()
	count := statuses(answers)
	s.record.say("answers by status (0: none): %v; most requests in a second at the cold replica: %d, bound %d; crashed: %t",
		count, seen.most, coldBound, cold.crashed.Load())
	if count[http.StatusOK] < minServed {
		return fmt.Errorf("%w: only %d requests were served", errSetup, count[http.StatusOK])
	}
	if seen.most > coldBound {
		return fmt.Errorf("%w: FAILBACK: a cold replica got %d requests within a second, the bound is %d", errBroken, seen.most, coldBound)
	}
	return nil
}
