package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
)

// measureRequests measures the latency that entry and agent add to a request, and
// the processor time that each of them uses for it.
func (m *meter) measureRequests() error {
	fmt.Printf("\n## Requests, by rate\n\nOne entry, one agent, %d tokens each, against the same engine asked directly in the same run, %s each after a warm-up at the same rate.\n\n", tokensPerRequest, loadDuration)
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
	m.load(client, site.EntryURL("entry-1"), rate, warmUpDuration)
	direct := m.load(client, site.Endpoints[0].URL, rate, loadDuration)
	m.load(client, site.EntryURL("entry-1"), rate, warmUpDuration)
	entryBefore, err := readUsage(site.ProcessID("entry-1"))
	if err != nil {
		return err
	}
	agentBefore, err := readUsage(site.ProcessID("draft-1"))
	if err != nil {
		return err
	}
	proxied := m.load(client, site.EntryURL("entry-1"), rate, loadDuration)
	entryAfter, err := readUsage(site.ProcessID("entry-1"))
	if err != nil {
		return err
	}
	agentAfter, err := readUsage(site.ProcessID("draft-1"))
	if err != nil {
		return err
	}
	count := time.Duration(proxied.sent)
	fmt.Printf("| %d | %.2f, %.2f | %.2f, %.2f | %.2f, %.2f | %d | %d | %d of %d |\n", rate,
		milliseconds(direct.quantile(0.5)), milliseconds(direct.quantile(0.99)),
		milliseconds(proxied.quantile(0.5)), milliseconds(proxied.quantile(0.99)),
		milliseconds(proxied.quantile(0.5)-direct.quantile(0.5)), milliseconds(proxied.quantile(0.99)-direct.quantile(0.99)),
		((entryAfter.cpu - entryBefore.cpu) / count).Microseconds(),
		((agentAfter.cpu - agentBefore.cpu) / count).Microseconds(), len(proxied.firstByteTimes), proxied.sent)
	return nil
}

// sample is the result of a load run.
type sample struct {
	sent           int
	firstByteTimes []time.Duration
}

// quantile returns a quantile of the times to the first byte of complete answers.
func (s sample) quantile(fraction float64) time.Duration {
	if len(s.firstByteTimes) == 0 {
		return 0
	}
	return s.firstByteTimes[min(int(fraction*float64(len(s.firstByteTimes))), len(s.firstByteTimes)-1)]
}

// load sends requests at a constant rate and waits for all answers.
func (m *meter) load(client *elmclient.Client, url string, rate int, length time.Duration) sample {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var result sample
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		result.sent++
		group.Go(func() {
			a := client.StreamCompletion(m.ctx, url, tokensPerRequest)
			if !a.Complete(tokensPerRequest) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.firstByteTimes = append(result.firstByteTimes, a.FirstByte)
		})
	}
	group.Wait()
	slices.Sort(result.firstByteTimes)
	return result
}
