package elmlocal

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/elmcove/elmcove/internal/stand/elmbody"
	"github.com/elmcove/elmcove/internal/stand/elmengine"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
)

// EngineCounts returns the total counts of the engines in a data centre, or in
// all data centres if the name is empty. Peak is the maximum over the engines.
func (s *Site) EngineCounts(ctx context.Context, datacentre string) elmengine.Counts {
	var total elmengine.Counts
	for _, e := range s.Endpoints {
		if e.Service != s.plan.ModelService || (datacentre != "" && e.Datacentre != datacentre) {
			continue
		}
		var counts elmengine.Counts
		s.fetch(ctx, e.URL+"/control/counts", &counts)
		total.Started += counts.Started
		total.Finished += counts.Finished
		total.Cancelled += counts.Cancelled
		total.Overrun += counts.Overrun
		total.Tokens += counts.Tokens
		total.Peak = max(total.Peak, counts.Peak)
	}
	return total
}

// Executions returns how often the plain services have executed the request of
// an idempotency key. With an empty key it counts all requests, with and without
// keys. It compares suffixes, since agents prefix the key with the name of the
// workspace.
func (s *Site) Executions(ctx context.Context, key string) int {
	total := 0
	for _, e := range s.Endpoints {
		if e.Service != s.plan.PlainService {
			continue
		}
		var executions map[string]int
		s.fetch(ctx, e.URL+"/control/executions", &executions)
		for name, count := range executions {
			if strings.HasSuffix(name, key) {
				total += count
			}
		}
	}
	return total
}

// PlatformCounts returns the number of calls to the platform stand-in.
func (s *Site) PlatformCounts(ctx context.Context) elmplatform.Counts {
	var counts elmplatform.Counts
	s.fetch(ctx, s.Platform+"/control/counts", &counts)
	return counts
}

// BreakNext sets how the next response of each endpoint of a service ends.
func (s *Site) BreakNext(ctx context.Context, service string, ending elmbody.Ending) error {
	for _, e := range s.Endpoints {
		if e.Service != service {
			continue
		}
		if err := s.control(ctx, http.MethodPost, e.URL+"/control/break?ending="+string(ending), nil); err != nil {
			return err
		}
	}
	return nil
}

// InstanceNames returns the names of the entries and agents of a data centre.
func (s *Site) InstanceNames(datacentre string) []string {
	var names []string
	for _, i := range s.instances {
		if i.Datacentre == datacentre {
			names = append(names, i.Name)
		}
	}
	return names
}

// Revision returns the configuration revision that is in force at an entry.
func (s *Site) Revision(ctx context.Context, entry string) uint64 {
	var status struct {
		Revision uint64 `json:"revision"`
	}
	s.fetch(ctx, s.EntryURL(entry)+"/elmcove/status", &status)
	return status.Revision
}

// fetch reads a JSON document. On failure it leaves the document as it is, so a
// process that does not respond adds nothing to a total.
func (s *Site) fetch(ctx context.Context, url string, document any) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }() // The decoder has read the document.
	_ = json.NewDecoder(response.Body).Decode(document)
}
