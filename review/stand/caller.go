package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// sent is a request of a caller and its answer.
type sent struct {
	at           time.Time
	attempt      string
	entry, path  string
	status       int
	body, failed string
}

// caller sends requests to entries. It is safe for concurrent use.
type caller struct {
	w      *world
	client *http.Client
	mutex  sync.Mutex
	number int
	log    []sent
	wait   sync.WaitGroup
}

// host is the host of all routes.
const host = "ficu95.example"

func newCaller(w *world) *caller {
	return &caller{w: w, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send sends a request to an entry in the background.
func (c *caller) send(e *entry, path string) {
	c.mutex.Lock()
	c.number++
	attempt := fmt.Sprintf("%016x", c.number)
	c.mutex.Unlock()
	c.wait.Go(func() {
		s := sent{at: time.Now(), attempt: attempt, entry: e.name, path: path}
		s.status, s.body, s.failed = c.exchange(e, path, attempt)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.log = append(c.log, s)
	})
}

func (c *caller) exchange(e *entry, path, attempt string) (status int, body, failed string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+e.front+path, nil) //nolint:gosec // The address is a loopback address.
	if err != nil {
		return 0, "", err.Error()
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Credential", key)
	response, err := c.client.Do(request) //nolint:gosec // The address is a loopback address.
	if err != nil {
		return 0, "", err.Error()
	}
	defer response.Body.Close() //nolint:errcheck // It has been read.
	document, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, string(document), err.Error()
	}
	return response.StatusCode, string(document), ""
}

// pace sends requests to entries in turn, some a second, until a time after the start.
func (c *caller) pace(entries []*entry, perSecond int, until float64, path func() string) {
	end := c.w.began.Add(time.Duration(until * float64(time.Second)))
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		c.send(entries[n%len(entries)], path())
	}
}

// all waits for the answers and returns all requests.
func (c *caller) all() []sent {
	c.wait.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]sent(nil), c.log...)
}

// statuses counts answers by status.
func statuses(list []sent) map[int]int {
	counts := map[int]int{}
	for _, s := range list {
		counts[s.status]++
	}
	return counts
}
