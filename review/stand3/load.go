package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests to routers in turn, and counts the answers.
type load struct {
	clients []*client
	number  atomic.Int64
	waiting sync.WaitGroup

	mutex   sync.Mutex
	answers []answer
}

// start begins to send requests with a method below a prefix, so many per second, until the
// context ends.
func (l *load) start(ctx context.Context, method, prefix string, perS int) {
	l.waiting.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perS))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			c := l.clients[i%len(l.clients)]
			attempt := attemptID(int(l.number.Add(1)))
			l.waiting.Go(func() {
				a := c.send(context.WithoutCancel(ctx), method, prefix+"item", attempt, "", 3*time.Second)
				l.mutex.Lock()
				defer l.mutex.Unlock()
				l.answers = append(l.answers, a)
			})
		}
	})
}

// wait waits for the last answers and returns all.
func (l *load) wait() []answer {
	l.waiting.Wait()
	return l.answers
}

// statuses counts the answers by status.
func statuses(answers []answer) map[int]int {
	count := map[int]int{}
	for _, a := range answers {
		count[a.status]++
	}
	return count
}

// startRouters starts routers and waits until they are ready.
func (s *site) startRouters(ctx context.Context, names ...string) ([]*client, error) {
	var clients []*client
	var processes []*process
	for _, name := range names {
		p, err := s.router(name, s.machine())
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
	}
	for _, p := range processes {
		if err := s.awaitReady(ctx, p); err != nil {
			return nil, err
		}
		clients = append(clients, s.client(p.front()))
	}
	return clients, nil
}

// once sends one request.
func (l *load) once(ctx context.Context, prefix string) {
	attempt := attemptID(int(l.number.Add(1)))
	l.waiting.Go(func() {
		a := l.clients[0].send(context.WithoutCancel(ctx), http.MethodPost, prefix+"item", attempt, "", 8*time.Second)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.answers = append(l.answers, a)
	})
}
