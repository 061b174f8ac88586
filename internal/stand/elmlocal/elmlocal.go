// Package elmlocal runs a whole site as separate processes on loopback, for
// demonstrations and tests. It starts the programs elmcove and elmstand, and
// ends only what it started.
//
// # Usage
//
//	site, err := elmlocal.Start(ctx, elmlocal.Granite("bin", folder))
//	defer site.Stop()
//	err = site.WaitReady(ctx)
package elmlocal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/stand/elmrelay"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

const (
	stopTimeout  = 10 * time.Second
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	entryLag     = 200
	// maxNeighbours is the number of agents of each service that an entry's
	// settings name.
	maxNeighbours = 2
)

// ErrLocal reports a site that can't be started.
var ErrLocal = errors.New("local site")

// Site is a site that runs.
type Site struct {
	plan      Plan
	host      string
	given     map[string]bool
	relays    map[string]*elmrelay.Relay
	keys      string
	instances []elmkvapi.Instance
	mutex     sync.Mutex
	processes map[string]*exec.Cmd
	done      map[string]chan struct{}

	// Platform is the URL of the platform's stand-in.
	Platform string
	// Entries are the addresses of the entries by instance name.
	Entries map[string]string
	// Endpoints are the endpoints in order of start.
	Endpoints []Endpoint
}

// Start starts all processes of a plan.
func Start(ctx context.Context, plan Plan) (*Site, error) {
	s := &Site{
		plan:      plan,
		host:      loopback(os.Getpid(), sites.Add(1)),
		given:     map[string]bool{},
		relays:    map[string]*elmrelay.Relay{},
		keys:      filepath.Join(plan.Folder, "keys"),
		processes: map[string]*exec.Cmd{},
		done:      map[string]chan struct{}{},
		Entries:   map[string]string{},
	}
	if err := elmkeys.Make(s.keys); err != nil {
		return nil, err
	}
	if err := s.startAll(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// EntryNames returns the names of the entries in order.
func (s *Site) EntryNames() []string {
	names := make([]string, 0, s.plan.Entries)
	for i := range s.plan.Entries {
		names = append(names, entryName(i))
	}
	return names
}

// EntryURL returns the URL of an entry.
func (s *Site) EntryURL(name string) string { return "http://" + s.Entries[name] }

// Stop ends all processes.
func (s *Site) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.processes {
		_ = p.Process.Signal(syscall.SIGCONT) // It may have ended.
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, r := range s.relays {
		r.Close()
	}
	deadline := time.After(stopTimeout)
	for name, done := range s.done {
		select {
		case <-done:
		case <-deadline:
			_ = s.processes[name].Process.Kill()
		}
	}
}

// WaitReady waits until each entry is linked to all agents.
func (s *Site) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for name := range s.Entries {
		for !s.ready(ctx, name) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("%w: %s is not ready: %w", ErrLocal, name, ctx.Err())
			}
		}
	}
	return nil
}

// List gives the platform's stand-in the list of instances, other than those
// left out.
func (s *Site) List(ctx context.Context, without ...string) error {
	left := map[string]bool{}
	for _, name := range without {
		left[name] = true
	}
	listed := make([]elmkvapi.Instance, 0, len(s.instances))
	for _, i := range s.instances {
		if !left[i.Name] {
			listed = append(listed, i)
		}
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	return s.control(ctx, http.MethodPut, s.Platform+"/control/instances", body)
}

// SetFault makes the platform's stand-in fail in a way, or not.
func (s *Site) SetFault(ctx context.Context, kind string) error {
	return s.control(ctx, http.MethodPost, s.Platform+"/control/fault?kind="+kind, nil)
}

func (s *Site) control(ctx context.Context, method, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	_ = response.Body.Close() // It is empty.
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", ErrLocal, url, response.Status)
	}
	return nil
}

func (s *Site) ready(ctx context.Context, name string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.EntryURL(name)+"/elmcove/status", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // Nothing is left to read.
	var status struct {
		Revision uint64 `json:"revision"`
		Agents   []struct {
			Linked  bool `json:"linked"`
			Leaving bool `json:"leaving"`
		} `json:"agents"`
	}
	if json.NewDecoder(response.Body).Decode(&status) != nil || status.Revision == 0 {
		return false
	}
	linked := 0
	for _, a := range status.Agents {
		if a.Linked && !a.Leaving {
			linked++
		}
	}
	return linked == len(s.Endpoints)
}

func (s *Site) startAll(ctx context.Context) error {
	platform, err := s.freePort("tcp")
	if err != nil {
		return err
	}
	s.Platform = "http://" + platform
	if err := s.start("platform", "elmstand", "-kind", "platform", "-http", platform); err != nil {
		return err
	}
	if err := s.startEndpoints(); err != nil {
		return err
	}
	if err := s.startEntries(); err != nil {
		return err
	}
	return s.listWhenUp(ctx)
}

func (s *Site) listWhenUp(ctx context.Context) error {
	for {
		err := s.List(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func (s *Site) startEntries() error {
	for i := range s.plan.Entries {
		address, err := s.freePort("tcp")
		if err != nil {
			return err
		}
		name := entryName(i)
		settings := s.settings(name, i)
		settings.HTTP = address
		settings.Neighbours = s.links(settings.Datacentre)
		s.Entries[name] = address
		s.instances = append(s.instances, elmkvapi.Instance{
			Name:       name,
			Role:       elmkvapi.InstanceRoleEntry,
			Datacentre: settings.Datacentre,
			Address:    address,
			State:      elmkvapi.InstanceStateLive,
		})
		if err := s.startWithSettings(name, "entry", settings); err != nil {
			return err
		}
	}
	return nil
}

// links returns the link addresses of some agents of a data centre, for each
// service.
func (s *Site) links(datacentre string) []string {
	var links []string
	found := map[string]int{}
	for _, i := range s.instances {
		if i.Role != elmkvapi.InstanceRoleAgent || i.Datacentre != datacentre || found[i.Service.Value] >= maxNeighbours {
			continue
		}
		found[i.Service.Value]++
		links = append(links, i.Address)
	}
	return links
}

func (s *Site) settings(name string, index int) elmsettings.Settings {
	settings := elmsettings.Settings{
		Instance:   name,
		Datacentre: s.plan.Datacentres[index%len(s.plan.Datacentres)],
		Site:       s.plan.Name,
		Platform:   s.Platform,
		Keys:       s.keys,
		Lag:        entryLag,
	}
	if !s.plan.Untraced {
		settings.Traces = filepath.Join(s.plan.Folder, name+".traces.json")
	}
	return settings
}

func entryName(index int) string {
	return "entry-" + strconv.Itoa(index+1)
}
