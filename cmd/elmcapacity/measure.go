package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/stand/elmclient"
	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const (
	graniteFolder    = "examples/granite/"
	idleDuration     = 8 * time.Second
	warmUpDuration   = 2 * time.Second
	loadDuration     = 5 * time.Second
	tokensPerRequest = 20
	// changeAgents and changeCount are the number of agents and of configuration
	// changes in measureChanges.
	changeAgents = 16
	changeCount  = 30
	changePause  = 100 * time.Millisecond
	// engineStep is the step duration of the engine in measureRequests.
	engineStep = 5 * time.Millisecond
)

// meter starts sites of several sizes and measures their processes.
type meter struct {
	ctx context.Context
	bin string
}

// start starts a site, applies the Granite Ring configuration and waits until the
// site is ready. The returned function stops it.
func (m *meter) start(entries, models, plains int, step time.Duration) (*elmlocal.Site, func(), error) {
	folder, err := os.MkdirTemp("", "elmcapacity-")
	if err != nil {
		return nil, nil, err
	}
	plan := elmlocal.Granite(m.bin, folder)
	plan.Datacentres = []string{"worcester"}
	plan.Entries = entries
	plan.ModelEndpoints = models
	plan.PlainEndpoints = plains
	plan.StepTime = step
	plan.CallTime = time.Millisecond
	plan.SharedEndpoints = true
	plan.Untraced = true
	plan.WarmCapacity = 100_000
	plan.ColdCapacity = 100_000
	site, err := elmlocal.Start(m.ctx, plan)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		site.Stop()
		_ = os.RemoveAll(folder) // A leftover temporary folder is harmless.
	}
	_, err = site.Command(m.ctx, "apply", "-platform", site.Platform, "-base", graniteFolder+"base.json", "-overlay", graniteFolder+"overlay.json")
	if err == nil {
		err = site.WaitReady(m.ctx)
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return site, stop, nil
}

// measureIdleProcess measures a process and the network without any requests.
func (m *meter) measureIdleProcess(site *elmlocal.Site, name string) (usage, error) {
	sleep(m.ctx, warmUpDuration)
	pid := site.ProcessID(name)
	before, err := readUsage(pid)
	if err != nil {
		return usage{}, err
	}
	sleep(m.ctx, idleDuration)
	after, err := readUsage(pid)
	return usage{cpu: after.cpu - before.cpu, resident: after.resident, anonymous: after.anonymous, octets: after.octets - before.octets}, err
}

// measureAgents measures an idle entry, by number of linked agents.
func (m *meter) measureAgents() error {
	fmt.Print("## An idle entry, by linked agents\n\nOne entry, real processes, ", idleDuration, " each.\n\n")
	fmt.Print("| agents | entry: processor, % of a core | entry: memory, MB | without program pages, MB | bytes/s per link, both ways |\n| --- | --- | --- | --- | --- |\n")
	for _, count := range []int{4, 32, 64, 128} {
		if err := m.measureIdle("entry-1", 1, count, count); err != nil {
			return err
		}
	}
	return nil
}

// measureEntries measures an idle agent, by number of linked entries.
func (m *meter) measureEntries() error {
	fmt.Print("\n## An idle agent, by linked entries\n\nOne agent, real processes, ", idleDuration, " each.\n\n")
	fmt.Print("| entries | agent: processor, % of a core | agent: memory, MB | without program pages, MB | bytes/s per link, both ways |\n| --- | --- | --- | --- | --- |\n")
	for _, count := range []int{2, 8, 32} {
		if err := m.measureIdle("dispatch-1", count, 1, count); err != nil {
			return err
		}
	}
	return nil
}

func (m *meter) measureIdle(name string, entries, agents, links int) error {
	site, stop, err := m.start(entries, 0, agents, time.Millisecond)
	if err != nil {
		return err
	}
	defer stop()
	used, err := m.measureIdleProcess(site, name)
	if err != nil {
		return err
	}
	perLink := float64(used.octets) / idleDuration.Seconds() / float64(links)
	fmt.Printf("| %d | %.2f | %.1f | %.1f | %.0f |\n", links, percent(used.cpu, idleDuration),
		float64(used.resident)/kilobyte, float64(used.anonymous)/kilobyte, perLink)
	return nil
}

// measureWorkspaces measures the size and decoding time of a configuration, by
// number of workspaces.
func (m *meter) measureWorkspaces() error {
	fmt.Print("\n## A configuration, by workspaces\n\n| workspaces | document, KB | decoding, ms |\n| --- | --- | --- |\n")
	for _, count := range []int{100, 500, 1900, 4000} {
		document, err := sampleDocument(count)
		if err != nil {
			return err
		}
		begin := time.Now()
		if _, err := elmconfig.Decode(document); err != nil {
			return err
		}
		fmt.Printf("| %d | %.1f | %.2f |\n", count, float64(len(document))/kilobyte, milliseconds(time.Since(begin)))
	}
	return nil
}

func sampleDocument(count int) ([]byte, error) {
	config := elmconfig.Config{
		Site:        "granite",
		Datacentres: map[string]elmconfig.Datacentre{},
		Services:    map[string]elmconfig.Service{},
		Workspaces:  map[string]elmconfig.Workspace{},
	}
	for i := range 24 {
		config.Datacentres[fmt.Sprintf("datacentre-%d", i)] = elmconfig.Datacentre{State: elmconfig.StateIn}
	}
	for i := range 7 {
		config.Services[fmt.Sprintf("model-%d", i)] = elmconfig.Service{Kind: "model", TimeoutSeconds: 60}
	}
	for i := range count {
		config.Workspaces[fmt.Sprintf("workspace-%d", i)] = elmconfig.Workspace{
			Credential:     fmt.Sprintf("sha256:%064d", i),
			MaxConcurrency: 256,
			MaxBodyBytes:   65536,
		}
	}
	return config.Encode()
}

// measureClaims measures the calls to the key-value service that requests with an
// idempotency key cause.
func (m *meter) measureClaims() error {
	site, stop, err := m.start(1, 0, 1, time.Millisecond)
	if err != nil {
		return err
	}
	defer stop()
	client := elmclient.New("curb-secret")
	defer client.Close()
	fmt.Print("\n## Keyed requests\n\n| orders | reads an order | writes an order | leases in all | record, bytes | p50, ms | whole |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, count := range []int{50, 200, 800} {
		before := site.PlatformCounts(m.ctx)
		complete := 0
		var times []time.Duration
		var last string
		for range count {
			last = uuid.Must(uuid.NewV7()).String()
			begin := time.Now()
			if a := client.Order(m.ctx, site.EntryURL("entry-1"), last); a.Status == http.StatusOK {
				complete++
				times = append(times, time.Since(begin))
			}
		}
		after := site.PlatformCounts(m.ctx)
		slices.Sort(times)
		fmt.Printf("| %d | %.2f | %.2f | %d | %d | %.2f | %d |\n", count,
			float64(after.Reads-before.Reads)/float64(count), float64(after.Writes-before.Writes)/float64(count),
			after.Leases, m.recordBytes(site, last), milliseconds(sample{firstByteTimes: times}.quantile(0.5)), complete)
	}
	return nil
}

// recordBytes returns the size of the claim record of an idempotency key.
func (m *meter) recordBytes(site *elmlocal.Site, key string) int {
	request, err := http.NewRequestWithContext(m.ctx, http.MethodGet, site.Platform+"/kv/claim:curb:"+key, http.NoBody)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // The body has been read.
	var value struct {
		Data []byte `json:"data"`
	}
	_ = json.NewDecoder(response.Body).Decode(&value) // An absent record counts as 0 bytes.
	return len(value.Data)
}

func percent(used, of time.Duration) float64 { return 100 * used.Seconds() / of.Seconds() }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sleep waits for a time, or until the context is done.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
