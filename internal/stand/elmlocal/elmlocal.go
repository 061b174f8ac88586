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
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// Plan describes the site to start.
type Plan struct {
	// Bin is the folder with the programs, and Folder is for settings and
	// logs.
	Bin    string
	Folder string
	Name   string
	// Datacentres take entries and endpoints in turn.
	Datacentres []string
	Entries     int
	// Model and Plain name the services, and Models and Plains count their
	// endpoints.
	Model  string
	Models int
	Plain  string
	Plains int
	// Step is the time of one step of an engine.
	Step time.Duration
	// Call is the time of one call of a plain service.
	Call time.Duration
	// Shared lets all agents of a service use one endpoint process.
	Shared bool
	// Warm and Cold are the numbers of requests that an engine bears.
	Warm int
	Cold int
	// Untraced keeps no traces.
	Untraced bool
	// Relayed puts a relay before each agent, by which its links can be cut.
	Relayed bool
}

// Granite returns the plan of the Granite Ring example.
func Granite(bin, folder string) Plan {
	return Plan{
		Bin:         bin,
		Folder:      folder,
		Name:        "granite",
		Datacentres: []string{"worcester", "manchester", "springfield"},
		Entries:     7,
		Model:       "draft",
		Models:      12,
		Plain:       "dispatch",
		Plains:      3,
		Step:        6 * time.Millisecond,
		Call:        6 * time.Millisecond,
		Warm:        32,
		Cold:        2,
	}
}

// Endpoint is an endpoint that was started, and its agent.
type Endpoint struct {
	Agent      string
	Service    string
	Datacentre string
	// URL is the address of the endpoint itself.
	URL string
	// HTTP is the address of the agent's pages.
	HTTP string
}

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

// Signal sends a signal to a process by its name.
func (s *Site) Signal(name string, signal syscall.Signal) error {
	s.mutex.Lock()
	p, ok := s.processes[name]
	s.mutex.Unlock()
	if !ok {
		return fmt.Errorf("%w: no process %q", ErrLocal, name)
	}
	if err := p.Process.Signal(signal); err != nil {
		return fmt.Errorf("%w: signal %s: %w", ErrLocal, name, err)
	}
	return nil
}

// Wait waits until a process has ended.
func (s *Site) Wait(ctx context.Context, name string) error {
	s.mutex.Lock()
	done := s.done[name]
	s.mutex.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: wait for %s: %w", ErrLocal, name, ctx.Err())
	}
}

// ProcessID returns the identifier of a process by its name.
func (s *Site) ProcessID(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.processes[name].Process.Pid
}

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

// Command runs an operator's command and returns what it printed.
func (s *Site) Command(ctx context.Context, arguments ...string) (string, error) {
	c := exec.CommandContext(ctx, filepath.Join(s.plan.Bin, "elmcove"), arguments...)
	output, err := c.CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("%w: elmcove %v: %w: %s", ErrLocal, arguments, err, output)
	}
	return string(output), nil
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

func (s *Site) startEndpoints() error {
	for i := range s.plan.Models {
		name := fmt.Sprintf("%s-%d", s.plan.Model, i+1)
		if err := s.startEndpoint(name, s.plan.Model, "engine", i); err != nil {
			return err
		}
	}
	for i := range s.plan.Plains {
		name := fmt.Sprintf("%s-%d", s.plan.Plain, i+1)
		if err := s.startEndpoint(name, s.plan.Plain, "service", i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startEndpoint(name, service, kind string, index int) error {
	endpoint, err := s.freePort("tcp")
	if err != nil {
		return err
	}
	pages, err := s.freePort("tcp")
	if err != nil {
		return err
	}
	link, err := s.freePort("udp")
	if err != nil {
		return err
	}
	if shared := s.sharedEndpoint(service); shared != "" {
		endpoint = shared
	} else if err := s.startStand(name+"-endpoint", kind, endpoint); err != nil {
		return err
	}
	settings := s.settings(name, index)
	settings.HTTP = pages
	settings.Link = link
	settings.Service = service
	settings.Endpoint = "http://" + endpoint
	if link, err = s.relay(name, link); err != nil {
		return err
	}
	s.instances = append(s.instances, elmkvapi.Instance{
		Name:       name,
		Role:       elmkvapi.InstanceRoleAgent,
		Datacentre: settings.Datacentre,
		Address:    link,
		Service:    elmkvapi.NewOptString(service),
		State:      elmkvapi.InstanceStateLive,
	})
	s.Endpoints = append(s.Endpoints, Endpoint{
		Agent:      name,
		Service:    service,
		Datacentre: settings.Datacentre,
		URL:        settings.Endpoint,
		HTTP:       pages,
	})
	return s.startWithSettings(name, "agent", settings)
}

// relay returns the address under which an agent is listed.
func (s *Site) relay(name, link string) (string, error) {
	if !s.plan.Relayed {
		return link, nil
	}
	relay, err := elmrelay.New(s.host+":0", link)
	if err != nil {
		return "", err
	}
	s.relays[name] = relay
	return relay.Address(), nil
}

// Cut cuts the links of an agent. The plan must be relayed.
func (s *Site) Cut(agent string, cut elmrelay.Cut) {
	s.relays[agent].Cut(cut)
}

// sharedEndpoint returns the address of the endpoint that the agents of a
// service share, once it has been started.
func (s *Site) sharedEndpoint(service string) string {
	if !s.plan.Shared {
		return ""
	}
	for _, e := range s.Endpoints {
		if e.Service == service {
			return strings.TrimPrefix(e.URL, "http://")
		}
	}
	return ""
}

func (s *Site) startStand(name, kind, address string) error {
	step := s.plan.Step
	if kind == "service" {
		step = s.plan.Call
	}
	return s.start(name, "elmstand", "-kind", kind, "-http", address, "-step", step.String(),
		"-warm", strconv.Itoa(s.plan.Warm), "-cold", strconv.Itoa(s.plan.Cold))
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

func (s *Site) startWithSettings(name, role string, settings elmsettings.Settings) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	path := filepath.Join(s.plan.Folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	return s.start(name, "elmcove", role, "-settings", path)
}

// Restart starts a process again that has ended, with the same settings.
func (s *Site) Restart(name string) error {
	s.mutex.Lock()
	arguments := s.processes[name].Args[1:]
	program := filepath.Base(s.processes[name].Path)
	s.mutex.Unlock()
	return s.start(name, program, arguments...)
}

func (s *Site) start(name, program string, arguments ...string) error {
	logFile, err := os.OpenFile(filepath.Join(s.plan.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	defer func() { _ = logFile.Close() }() // The child has its own copy.
	c := exec.Command(filepath.Join(s.plan.Bin, program), arguments...)
	c.Stdout = logFile
	c.Stderr = logFile
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", ErrLocal, name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait() // Processes may end in any way.
		close(done)
	}()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.processes[name] = c
	s.done[name] = done
	return nil
}

func entryName(index int) string {
	return "entry-" + strconv.Itoa(index+1)
}

// sites counts the sites that this process has started.
var sites atomic.Uint32

// loopback returns an address that belongs to the processes of one site only.
// Connections start from 127.0.0.1, so that none takes a port of the site.
func loopback(process int, site uint32) string {
	const size = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+process/size%size, 1+process%size, 1+site%size)
}

// freePort returns an address of the site whose port is free now, and that the
// site has not given out before.
func (s *Site) freePort(network string) (string, error) {
	for {
		address, err := s.probePort(network)
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrLocal, err)
		}
		if !s.given[address] {
			s.given[address] = true
			return address, nil
		}
	}
}

func (s *Site) probePort(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket(network, s.host+":0")
		if err != nil {
			return "", err
		}
		return conn.LocalAddr().String(), conn.Close()
	}
	listener, err := net.Listen(network, s.host+":0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
