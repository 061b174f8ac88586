// Package elmfleet maintains the links from an entry to the agents and the
// capacity that the agents report for their endpoints.
//
// # Usage
//
//	fleet := elmfleet.New(hello, dialer, holder, logger)
//	fleet.SetAgents(ctx, roster.Agents())
//	candidates := fleet.Candidates("draft", tried)
//	call, err := fleet.Call(ctx, "agent-1", open)
package elmfleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/route/elmpicker"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// ErrNoLink reports that there is no link to an agent.
var ErrNoLink = errors.New("no link to the agent")

// Status is the state of an agent and its link as an entry last received it.
type Status struct {
	Agent       string `json:"agent"`
	Datacentre  string `json:"datacentre"`
	Service     string `json:"service"`
	Linked      bool   `json:"linked"`
	Leaving     bool   `json:"leaving"`
	Window      int    `json:"window"`
	Outstanding int    `json:"outstanding"`
	Running     int    `json:"running"`
	Limit       int    `json:"limit"`
	Revision    uint64 `json:"revision"`
}

// ConfigHolder holds the configuration that an entry and its agents exchange over
// links.
type ConfigHolder interface {
	// Revision returns the newest revision that the process has.
	Revision() uint64
	// Since returns the updates that bring a neighbour from the given revision
	// to the newest.
	Since(revision uint64) []*elmwire.Update
	// Adopt applies an update that a neighbour sent.
	Adopt(update *elmwire.Update)
}

// Fleet maintains the links of one entry. It is safe for concurrent use.
type Fleet struct {
	hello  *elmwire.Hello
	dialer *elmlink.Dialer
	logger *elmlog.Logger
	holder ConfigHolder

	mutex   sync.Mutex
	members map[string]*member
	done    sync.WaitGroup
}

// New returns a Fleet without links.
func New(hello *elmwire.Hello, dialer *elmlink.Dialer, holder ConfigHolder, logger *elmlog.Logger) *Fleet {
	return &Fleet{hello: hello, dialer: dialer, holder: holder, logger: logger, members: map[string]*member{}}
}

// SetAgents maintains a link to each of the agents and closes the links to all
// others once they are idle. The context ends all links.
func (f *Fleet) SetAgents(ctx context.Context, agents []elmkvapi.Instance) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wanted := make(map[string]elmkvapi.Instance, len(agents))
	for _, i := range agents {
		wanted[i.Name] = i
	}
	for name, m := range f.members {
		if i, ok := wanted[name]; !ok || i.Address != m.instance.Address {
			m.retire()
			delete(f.members, name)
		}
	}
	for name, i := range wanted {
		if _, ok := f.members[name]; !ok {
			f.members[name] = f.start(ctx, i)
		}
	}
}

// Wait blocks until all links have ended and then closes their socket.
func (f *Fleet) Wait() {
	f.done.Wait()
	f.dialer.Close()
}

// Candidates returns the connected endpoints of a service that accept new
// requests, except those already tried.
func (f *Fleet) Candidates(service string, tried []string) []elmpicker.Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var candidates []elmpicker.Candidate
	for name, m := range f.members {
		if !m.serves(service) || slices.Contains(tried, name) {
			continue
		}
		if c, ok := m.candidate(); ok {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b elmpicker.Candidate) int {
		if a.Agent < b.Agent {
			return -1
		}
		return 1
	})
	return candidates
}

// Call sends a request to an agent.
func (f *Fleet) Call(ctx context.Context, agent string, open *elmwire.Open) (*Call, error) {
	f.mutex.Lock()
	m, ok := f.members[agent]
	f.mutex.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrNoLink, agent)
	}
	return m.call(ctx, open)
}

// MarkFull records that an agent has just refused a request for lack of capacity.
func (f *Fleet) MarkFull(agent string) {
	f.mutex.Lock()
	m, ok := f.members[agent]
	f.mutex.Unlock()
	if ok {
		m.markFull()
	}
}

// AnnounceConfig sends the newest configuration to all agents that have an older one.
func (f *Fleet) AnnounceConfig() {
	for _, m := range f.list() {
		m.announce()
	}
}

// Status returns the status of each agent, sorted by name.
func (f *Fleet) Status() []Status {
	members := f.list()
	all := make([]Status, 0, len(members))
	for _, m := range members {
		all = append(all, m.status())
	}
	slices.SortFunc(all, func(a, b Status) int {
		if a.Agent < b.Agent {
			return -1
		}
		return 1
	})
	return all
}

func (f *Fleet) list() []*member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	members := make([]*member, 0, len(f.members))
	for _, m := range f.members {
		members = append(members, m)
	}
	return members
}

func (f *Fleet) start(ctx context.Context, instance elmkvapi.Instance) *member {
	m := &member{
		fleet:      f,
		instance:   instance,
		datacentre: instance.Datacentre,
		service:    instance.Service.Value,
		retired:    make(chan struct{}),
	}
	f.done.Go(func() { m.run(ctx) })
	return m
}

func (f *Fleet) dial(ctx context.Context, address string) (*elmlink.Link, error) {
	hello := &elmwire.Hello{
		Instance:    f.hello.GetInstance(),
		Datacentre:  f.hello.GetDatacentre(),
		Incarnation: f.hello.GetIncarnation(),
		Revision:    f.holder.Revision(),
	}
	return f.dialer.Dial(ctx, address, hello)
}
