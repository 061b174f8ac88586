package main

import (
	"bufio"
	"context"
	"fmt"
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
	draftRate    = 40
	draftTokens  = 30
	orderRate    = 5
	orderRetries = 40
	retryPause   = 250 * time.Millisecond
	watchPause   = 25 * time.Millisecond
	warmTime     = 4 * time.Second
)

// draft is what a caller saw of one request for a completion.
type draft struct {
	asked  time.Time
	first  time.Duration
	gaps   []time.Duration
	whole  bool
	status int
	broken bool
}

// load sends drafts and orders to the entries of a site.
type load struct {
	ctx    context.Context
	stop   context.CancelFunc
	site   *elmlocal.Site
	client *elmclient.Client
	group  sync.WaitGroup

	mutex   sync.Mutex
	random  *rand.Rand
	avoided string
	drafts  []draft
	keys    []string
	unsure  int
}

func newLoad(ctx context.Context, site *elmlocal.Site, seed uint64) *load {
	ctx, stop := context.WithCancel(ctx)
	return &load{ctx: ctx, stop: stop, site: site, client: elmclient.New("curb-secret"), random: rand.New(rand.NewPCG(seed, 7))}
}

// warmUp lets all engines get warm before anything is measured.
func (l *load) warmUp() {
	begin := time.Now()
	for time.Since(begin) < warmTime {
		l.group.Go(func() { _ = l.draft() })
		pause(l.ctx, time.Second/draftRate)
	}
	l.group.Wait()
}

func (l *load) begin() {
	l.group.Go(func() {
		l.each(draftRate, func() {
			d := l.draft()
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.drafts = append(l.drafts, d)
		})
	})
	l.group.Go(func() { l.each(orderRate, l.order) })
}

// end stops sending and waits for what is open.
func (l *load) end() {
	l.stop()
	l.group.Wait()
	l.client.Close()
}

// each calls a function at a steady rate until the load ends.
func (l *load) each(rate int, send func()) {
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

// avoid lets no more requests go to the entries of a data centre, as the
// platform's balancer does.
func (l *load) avoid(datacentre string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.avoided = datacentre
}

func (l *load) entry() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	names := l.site.EntryNames()
	for {
		name := names[l.random.IntN(len(names))]
		if l.avoided == "" || !isAway(name, l.site) {
			return l.site.EntryURL(name)
		}
	}
}

// draft asks for a completion and notes the time of each token.
func (l *load) draft() draft {
	d := draft{asked: time.Now()}
	body := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"lid %d"}]}`, draftTokens, d.asked.UnixNano())
	request, err := http.NewRequestWithContext(context.WithoutCancel(l.ctx), http.MethodPost, l.entry()+"/v1/chat/completions", strings.NewReader(body))
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
	defer func() { _ = response.Body.Close() }() // Nothing is left to read.
	d.status = response.StatusCode
	if d.status != http.StatusOK {
		return d
	}
	d.read(response)
	return d
}

func (d *draft) read(response *http.Response) {
	scanner := bufio.NewScanner(response.Body)
	last := d.asked
	count := 0
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			d.whole = count == draftTokens
		}
		if !strings.Contains(line, "content") {
			continue
		}
		now := time.Now()
		if count == 0 {
			d.first = now.Sub(d.asked)
		} else {
			d.gaps = append(d.gaps, now.Sub(last))
		}
		last = now
		count++
	}
	d.broken = !d.whole
}

// order sends a work order, and again through other entries until it is
// answered.
func (l *load) order() {
	key := uuid.Must(uuid.NewV7()).String()
	l.mutex.Lock()
	l.keys = append(l.keys, key)
	l.mutex.Unlock()
	ctx := context.WithoutCancel(l.ctx)
	for range orderRetries {
		if a := l.client.Order(ctx, l.entry(), key); a.Status == http.StatusOK {
			return
		}
		pause(ctx, retryPause)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unsure++
}

// watchNewWork notes when the engines of the data centre last started a
// request, until the function that it returns is called.
func (l *load) watchNewWork(since time.Time) func() time.Duration {
	done := make(chan struct{})
	last := make(chan time.Duration)
	go func() {
		var latest time.Duration
		started := l.site.EngineCounts(l.ctx, away).Started
		for {
			select {
			case <-done:
				last <- latest
				return
			case <-time.After(watchPause):
			}
			if now := l.site.EngineCounts(l.ctx, away).Started; now != started {
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

// waitForWork waits until the engines of the data centre start requests again.
func (l *load) waitForWork(ctx context.Context) time.Time {
	started := l.site.EngineCounts(ctx, away).Started
	for limit := time.Now().Add(calmTime); time.Now().Before(limit); pause(ctx, watchPause) {
		if l.site.EngineCounts(ctx, away).Started > started {
			break
		}
	}
	return time.Now()
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
