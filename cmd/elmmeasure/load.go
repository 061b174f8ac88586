package main

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const (
	// draftRate and orderRate are requests per second.
	draftRate          = 40
	draftTokens        = 30
	orderRate          = 5
	orderRetries       = 40
	orderRetryInterval = 250 * time.Millisecond
	pollInterval       = 25 * time.Millisecond
	warmUpTime         = 4 * time.Second
)

// draft is the result of one completion request, as its caller observes it.
type draft struct {
	sentAt     time.Time
	firstToken time.Duration
	// gaps holds the times between tokens.
	gaps      []time.Duration
	completed bool
	status    int
	// broken is whether the connection failed or the stream ended early.
	broken bool
}

// loadGenerator sends drafts and orders to the entries of a site.
type loadGenerator struct {
	ctx     context.Context
	stop    context.CancelFunc
	site    *elmlocal.Site
	client  *elmclient.Client
	senders sync.WaitGroup

	mutex  sync.Mutex
	random *rand.Rand
	// avoidedDatacentre is the data centre whose entries get no requests, if any.
	avoidedDatacentre string
	drafts            []draft
	// orderKeys holds the idempotency keys of all orders.
	orderKeys []string
	// unanswered counts the orders that got no answer after all retries.
	unanswered int
}

func newLoadGenerator(ctx context.Context, site *elmlocal.Site, seed uint64) *loadGenerator {
	ctx, stop := context.WithCancel(ctx)
	return &loadGenerator{ctx: ctx, stop: stop, site: site, client: elmclient.New("curb-secret"), random: rand.New(rand.NewPCG(seed, 7))}
}

// warmUp sends drafts until all engines are warm, before the measurement begins.
func (l *loadGenerator) warmUp() {
	begin := time.Now()
	for time.Since(begin) < warmUpTime {
		l.senders.Go(func() { _ = l.sendDraft() })
		sleep(l.ctx, time.Second/draftRate)
	}
	l.senders.Wait()
}

// begin starts sending drafts and orders.
func (l *loadGenerator) begin() {
	l.senders.Go(func() {
		l.sendAtRate(draftRate, func() {
			d := l.sendDraft()
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.drafts = append(l.drafts, d)
		})
	})
	l.senders.Go(func() { l.sendAtRate(orderRate, l.sendOrder) })
}

// end stops sending and waits for open requests.
func (l *loadGenerator) end() {
	l.stop()
	l.senders.Wait()
	l.client.Close()
}

// sendAtRate calls a function at a steady rate until the load ends.
func (l *loadGenerator) sendAtRate(rate int, send func()) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			group.Go(send)
		case <-l.ctx.Done():
			return
		}
	}
}

// avoid stops sending requests to the entries of a data centre, as the platform's
// balancer does. An empty name ends this.
func (l *loadGenerator) avoid(datacentre string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.avoidedDatacentre = datacentre
}

// entryURL returns the URL of a random entry outside the avoided data centre.
func (l *loadGenerator) entryURL() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	names := l.site.EntryNames()
	for {
		name := names[l.random.IntN(len(names))]
		if l.avoidedDatacentre == "" || !isAway(name, l.site) {
			return l.site.EntryURL(name)
		}
	}
}

// sendDraft requests a completion and records the time of each token.
func (l *loadGenerator) sendDraft() draft {
	d := draft{sentAt: time.Now()}
	body := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"lid %d"}]}`, draftTokens, d.sentAt.UnixNano())
	request, err := http.NewRequestWithContext(context.WithoutCancel(l.ctx), http.MethodPost, l.entryURL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return d
	}
	request.Header.Set("Authorization", "Bearer curb-secret")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.broken = true
		return d
	}
	defer func() { _ = response.Body.Close() }() // A failure to close it does not affect the result.
	d.status = response.StatusCode
	if d.status != http.StatusOK {
		return d
	}
	d.readStream(response)
	return d
}

// readStream reads the event stream and records when tokens arrive.
func (d *draft) readStream(response *http.Response) {
	scanner := bufio.NewScanner(response.Body)
	last := d.sentAt
	count := 0
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			d.completed = count == draftTokens
		}
		if !strings.Contains(line, "content") {
			continue
		}
		now := time.Now()
		if count == 0 {
			d.firstToken = now.Sub(d.sentAt)
		} else {
			d.gaps = append(d.gaps, now.Sub(last))
		}
		last = now
		count++
	}
	d.broken = !d.completed
}

// sendOrder sends a work order under an idempotency key, and retries through any entry
// until it is answered.
func (l *loadGenerator) sendOrder() {
	key := uuid.Must(uuid.NewV7()).String()
	l.mutex.Lock()
	l.orderKeys = append(l.orderKeys, key)
	l.mutex.Unlock()
	ctx := context.WithoutCancel(l.ctx)
	for range orderRetries {
		if a := l.client.Order(ctx, l.entryURL(), key); a.Status == http.StatusOK {
			return
		}
		sleep(ctx, orderRetryInterval)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unanswered++
}

// watchStarts polls when the engines of the data centre that is out of service last
// started a request. The function that it returns stops polling and returns that time,
// counted from since.
func (l *loadGenerator) watchStarts(since time.Time) func() time.Duration {
	done := make(chan struct{})
	last := make(chan time.Duration)
	go func() {
		var latest time.Duration
		started := l.site.EngineCounts(l.ctx, awayDatacentre).Started
		for {
			select {
			case <-done:
				last <- latest
				return
			case <-time.After(pollInterval):
			}
			if now := l.site.EngineCounts(l.ctx, awayDatacentre).Started; now != started {
				started = now
				latest = time.Since(since)
			}
		}
	}()
	return func() time.Duration {
		close(done)
		return <-last
	}
}

// waitForStart waits until the engines of the data centre start requests again, for at
// most calmTime. It returns the time since the data centre's return in seconds, or
// infinity if they did not.
func (l *loadGenerator) waitForStart(ctx context.Context, returnedAt time.Time) float64 {
	started := l.site.EngineCounts(ctx, awayDatacentre).Started
	for limit := time.Now().Add(calmTime); time.Now().Before(limit); sleep(ctx, pollInterval) {
		if l.site.EngineCounts(ctx, awayDatacentre).Started > started {
			return time.Since(returnedAt).Seconds()
		}
	}
	return math.Inf(1)
}

// sleep waits for a time, or until the context is done.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
