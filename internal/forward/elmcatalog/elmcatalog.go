// Package elmcatalog holds one version of the operators' configuration as the
// router uses it: routes by host and longest path prefix, services, workspaces
// by credential, and limits for callers.
//
// # Usage
//
//	catalog := elmcatalog.New(version, routes, services, workspaces, limits)
//	route, ok := catalog.Match("covers.example", "/drafts/7")
//	workspace, ok := catalog.Workspace(credential)
package elmcatalog

import (
	"slices"
	"strings"
	"time"
)

// Kind tells how often a request may run.
type Kind int

const (
	// Once marks a request that may run once at most.
	Once Kind = iota
	// Repeatable marks a request that may run more than once.
	Repeatable
	// Stream marks a request that is answered by events.
	Stream
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is a rule that leads requests to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, should come.
	Objective time.Duration
	// Pause is the longest time that should pass between events of a stream.
	Pause time.Duration
	// Attempts is the largest number of endpoints that a request is sent to.
	Attempts int
	// Priority is the rank of the route. 0 is the most urgent.
	Priority int
	// Public routes need no credential.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeats reports whether a request on the route may run a second time.
func (r Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engine describes the model engine behind a service.
type Engine struct {
	Slots int
	// Sets is the number of groups of layers that share an expert map. It is
	// 0 where the engine's ranks have no map.
	Sets    int
	Experts int
	// Places is the number of experts that a rank can hold in a set.
	Places int
	// Spare is the number of experts in a set that a rank can be given at once.
	Spare int
	// Share is the part of the work that goes to experts.
	Share float64
	// Form is the time in which a complete group opens again.
	Form time.Duration
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Connections is the number of connections that an endpoint takes from
	// all callers.
	Connections int
	// ColdRate is the number of requests a second that a cold endpoint bears.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is the name, urgency and credentials of one.
type Workspace struct {
	Name string
	// Priority goes before that of the route, unless it is nil.
	Priority    *int
	Credentials []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is the time within which a request's headers must arrive.
	Header time.Duration
	// Idle is the time for which a connection may stay without a request.
	Idle time.Duration
}

// Catalog is one immutable version of the configuration.
type Catalog struct {
	version    int64
	hosts      map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
	guarded    bool
	limits     Limits
}

// New returns a catalog. Without workspaces no route needs a credential.
func New(version int64, routes []Route, services []Service, workspaces []Workspace, limits Limits) Catalog {
	c := Catalog{
		version:    version,
		hosts:      map[string][]Route{},
		services:   map[string]Service{},
		workspaces: map[string]Workspace{},
		guarded:    len(workspaces) > 0,
		limits:     limits,
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, w := range workspaces {
		for _, credential := range w.Credentials {
			c.workspaces[credential] = w
		}
	}
	return c
}

// Version returns the number of the version, or 0 for no configuration.
func (c Catalog) Version() int64 { return c.version }

// Limits returns the limits for callers.
func (c Catalog) Limits() Limits { return c.limits }

// Guarded reports whether routes that are not public need a credential.
func (c Catalog) Guarded() bool { return c.guarded }

// Match returns the route of a host with the longest prefix of a path. A port
// in the host is ignored.
func (c Catalog) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the holder of a credential.
func (c Catalog) Workspace(credential string) (Workspace, bool) {
	w, ok := c.workspaces[credential]
	return w, ok
}

// Service returns a service by name.
func (c Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services in the order of their names.
func (c Catalog) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Choose returns the service of a route for a number drawn from 0 to 1.
func (r Route) Choose(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * float64(total)
	for _, t := range r.Targets {
		rest -= float64(t.Weight)
		if rest < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
