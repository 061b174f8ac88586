// Package elmlocal runs a complete site as separate processes on loopback
// addresses, for demonstrations and tests. It starts the programs elmcove and
// elmstand, and stops only the processes that it started.
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
	"github.com/elmcove/elmcove/internal/stand/elmloopback"
	"github.com/elmcove/elmcove/internal/stand/elmudprelay"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

const (
	stopTimeout  = 10 * time.Second
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// entryDrainDelayMs is the time for which a stopping entry still accepts requests.
	entryDrainDelayMs = 200
	// maxNeighbours limits the agents of each service that the settings of an
	// entry list.
	maxNeighbours = 2
)

// ErrLocal reports a failure to start or control a local site.
var ErrLocal = errors.New("local site")

// Site is a running local site. Its methods find processes by instance name.
type Site struct {
	plan        Plan
	network     *elmloopback.Network
	host        string
	issuedPorts int
	relays      map[string]*elmudprelay.Relay
	keys        string
	instances   []elmkvapi.Instance
	mutex       sync.Mutex
	processes   map[string]*exec.Cmd
	done        map[string]chan struct{}

	// Platform is the URL of the platform stand-in.
	Platform string
	// Entries maps the instance name of each entry to its HTTP address.
	Entries map[string]string
	// Endpoints lists the endpoints in start order.
	Endpoints []Endpoint
}

// Start starts all processes of a plan. If one fails to start, it stops the rest.
func Start(ctx context.Context, plan Plan) (*Site, error) {
	network, err := elmloopback.Reserve(ctx, uint64(os.Getpid()))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLocal, err)
	}
	s := &Site{
		plan:      plan,
		network:   network,
		host:      network.IP(hostNumber),
		relays:    map[string]*elmudprelay.Relay{},
		keys:      filepath.Join(plan.Folder, "keys"),
		processes: map[string]*exec.Cmd{},
		done:      map[string]chan struct{}{},
		Entries:   map[string]string{},
	}
	if err := elmkeys.Generate(s.keys); err != nil {
		s.Stop()
		return nil, err
	}
	if err := s.startAll(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// EntryNames returns the instance names of the entries in start order.
func (s *Site) EntryNames() []string {
	names := make([]string, 0, s.plan.Entries)
	for i := range s.plan.Entries {
		names = append(names, entryName(i))
	}
	return names
}

// EntryURL returns the base URL of an entry.
func (s *Site) EntryURL(name string) string { return "http://" + s.Entries[name] }

// Stop terminates all processes, kills those that still run after stopTimeout, and
// releases the site's addresses.
func (s *Site) Stop() {
	defer s.network.Release()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.processes {
		_ = p.Process.Signal(syscall.SIGCONT) // The process may have exited.
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, r := range s.relays {
		r.Close()
	}
	deadline, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for name, done := range s.done {
		select {
		case <-done:
		case <-deadline.Done():
			_ = s.processes[name].Process.Kill() // It may have exited.
		}
	}
}

// WaitReady waits until each entry has a configuration and links to all agents.
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

// SetInstances replaces the instance list of the platform stand-in with all
// instances of the site except the named ones.
func (s *Site) SetInstances(ctx context.Context, without ...string) error {
	excluded := map[string]bool{}
	for _, name := range without {
		excluded[name] = true
	}
	listed := make([]elmkvapi.Instance, 0, len(s.instances))
	for _, i := range s.instances {
		if !excluded[i.Name] {
			listed = append(listed, i)
		}
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	return s.control(ctx, http.MethodPut, s.Platform+"/control/instances", body)
}

// SetFault sets the fault that the platform stand-in injects. The kind "none"
// ends it.
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
	_ = response.Body.Close() // The body is empty.
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
	defer func() { _ = response.Body.Close() }() // The decoder has read the document.
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
	platform := s.newAddress()
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
	return s.publishInstances(ctx)
}

// publishInstances publishes the instance list as soon as the platform
// stand-in accepts requests.
func (s *Site) publishInstances(ctx context.Context) error {
	for {
		err := s.SetInstances(ctx)
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
		address := s.newAddress()
		name := entryName(i)
		settings := s.settings(name, i)
		settings.HTTP = address
		settings.Neighbours = s.neighbours(settings.Datacentre)
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

// neighbours returns the link addresses of up to maxNeighbours agents of each
// service in a data centre.
func (s *Site) neighbours(datacentre string) []string {
	var addresses []string
	counts := map[string]int{}
	for _, i := range s.instances {
		if i.Role != elmkvapi.InstanceRoleAgent || i.Datacentre != datacentre || counts[i.Service.Value] >= maxNeighbours {
			continue
		}
		counts[i.Service.Value]++
		addresses = append(addresses, i.Address)
	}
	return addresses
}

func (s *Site) settings(name string, index int) elmsettings.Settings {
	settings := elmsettings.Settings{
		Instance:   name,
		Datacentre: s.plan.Datacentres[index%len(s.plan.Datacentres)],
		Site:       s.plan.Name,
		Platform:   s.Platform,
		Keys:       s.keys,
		DrainDelay: entryDrainDelayMs,
	}
	if !s.plan.Untraced {
		settings.Traces = filepath.Join(s.plan.Folder, name+".traces.json")
	}
	return settings
}

func entryName(index int) string {
	return "entry-" + strconv.Itoa(index+1)
}
