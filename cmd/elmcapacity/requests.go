package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
)

// measureRequests measures the latency that entry and agent add, and what a
// request costs them.
func (m *meter) measureRequests() error {
	fmt.Printf("\n## Requests, by rate\n\nOne entry, one agent, %d tokens each, against the same engine asked directly in the same run, %s each after a warm-up at the same rate.\n\n", tokens, loadTime)
	fmt.Print("| requests/s | direct: first byte p50, p99, ms | through elmcove: p50, p99, ms | added p50, p99, ms | entry: µs a request | agent: µs a request | whole |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, rate := range []int{10, 100, 400} {
		if err := m.measureRate(rate); err != nil {
			return err
		}
	}
	return nil
}

func (m *meter) measureRate(rate int) error {
	site, stop, err := m.start(1, 1, 0, engineStep)
	if err != nil {
		return err
	}
	defer stop()
	client := elmclient.New("curb-secret")
	defer client.Close()
	m.load(client, site.EntryURL("entry-1"), rate, warmUp)
	direct := m.load(client, site.Endpoints[0].URL, rate, loadTime)
	m.load(client, site.EntryURL("entry-1"), rate, warmUp)
	entryBefore, err := readUsage(site.ProcessID("entry-1"))
	if err != nil {
		return err
	}
	agentBefore, err := readUsage(site.ProcessID("draft-1"))
	if err != nil {
		return err
	}
	through := m.load(client, site.EntryURL("entry-1"), rate, loadTime)
	entryAfter, err := readUsage(site.ProcessID("entry-1"))
	if err != nil {
		return err
	}
	agentAfter, err := readUsage(site.ProcessID("draft-1"))
	if err != nil {
		return err
	}
	count := time.Duration(through.asked)
	fmt.Printf("| %d | %.2f, %.2f | %.2f, %.2f | %.2f, %.2f | %d | %d | %d of %d |\n", rate,
		milliseconds(direct.at(0.5)), milliseconds(direct.at(0.99)),
		milliseconds(through.at(0.5)), milliseconds(through.at(0.99)),
		milliseconds(through.at(0.5)-direct.at(0.5)), milliseconds(through.at(0.99)-direct.at(0.99)),
		((entryAfter.cpu - entryBefore.cpu) / count).Microseconds(),
		((agentAfter.cpu - agentBefore.cpu) / count).Microseconds(), len(through.first), through.asked)
	return nil
}

// sample is the outcome of a load.
type sample struct {
	asked int
	first []time.Duration
}

// at returns a quantile of the times to the first byte of whole answers.
func (s sample) at(quantile float64) time.Duration {
	if len(s.first) == 0 {
		return 0
	}
	return s.first[min(int(quantile*float64(len(s.first))), len(s.first)-1)]
}

// load sends requests at a steady rate.
func (m *meter) load(client *elmclient.Client, url string, rate int, length time.Duration) sample {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var result sample
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		result.asked++
		group.Go(func() {
			a := client.Draft(m.ctx, url, tokens)
			if !a.Whole(tokens) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.first = append(result.first, a.First)
		})
	}
	group.Wait()
	slices.Sort(result.first)
	return result
}
