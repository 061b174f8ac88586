// Package elmcatalog holds one version of the operators' configuration in the
// form that the router uses: routes by host and longest path prefix, services,
// workspaces by credential, and limits for callers.
//
// # Usage
//
//	catalog, err := elmcatalog.New(version, routes, services, workspaces, limits)
//	next, err := catalog.WithVersion(version, limits).WithRoutes(removed, added)
//	route, ok := catalog.Match("covers.example", "/drafts/7")
//	workspace, ok := catalog.Workspace(credential)
//	if catalog.Ranked("desk") { order() }
package elmcatalog

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrRepeated reports two routes with the same host and prefix.
var ErrRepeated = errors.New("repeated route")

// Kind classifies the requests of a route by whether they may be retried and by
// the form of their response.
type Kind int

const (
	// NonIdempotent marks non-idempotent requests, which run at most once.
	NonIdempotent Kind = iota
	// Idempotent marks idempotent requests.
	Idempotent
	// Stream marks requests whose response is a stream of server-sent events.
	Stream
)

// Target is a service that gets a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is in lower case.
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// LatencyObjective is the latency objective for a response, or for the first event
	// of a stream.
	LatencyObjective time.Duration
	// MaxEventGap is the objective for the time between two events of a stream.
	MaxEventGap time.Duration
	// Attempts is the maximum number of endpoints that a request is sent to.
	Attempts int
	// Priority is the priority of the route. 0 is the most urgent.
	Priority int
	// Public routes need no credential in any catalog.
	Public bool
	// Resumable means that a stream may be resumed at another endpoint.
	Resumable bool
}

// Retryable reports whether a request on the route may run more than once.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engine behind a service.
type Engine struct {
	// Slots is the number of requests that a rank processes concurrently.
	Slots int
	// Sets is the number of layer groups that share an expert map. It is 0 if
	// the engine's ranks have no map.
	Sets int
	// Experts is the number of experts in a set.
	Experts int
	// ExpertSlots is the number of experts of a set that a rank can hold.
	ExpertSlots int
	// MaxNewExperts is the maximum number of new experts of a set that a rank can
	// receive in one rollout.
	MaxNewExperts int
	// ExpertShare is the fraction of the work that experts do.
	ExpertShare float64
	// FormationTime is the time that a complete group needs to open again.
	FormationTime time.Duration
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// Connections is the number of connections that an endpoint accepts from
	// all callers together.
	Connections int
	// ColdRate is the number of requests per second that a cold endpoint can
	// handle.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace holds a workspace's name, priority and credentials.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route, unless it is nil.
	Priority    *int
	Credentials []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is the time within which a request's headers must arrive.
	Header time.Duration
	// Idle is the time for which a connection may stay open without a request.
	Idle time.Duration
}

// Catalog is one immutable version of the configuration.
type Catalog struct {
	version int64
	// routes are sorted by host and prefix.
	routes     []*Route
	services   map[string]Service
	workspaces map[string]Workspace
	// ignored is the number of workspaces and credentials that WithWorkspaces has ignored.
	ignored int
	// open means that no route needs a credential.
	open   bool
	limits Limits
	// ranked returns the services that Ranked reports.
	ranked func() map[string][]Rank
}

// New returns a catalog whose routes need a credential unless they are public.
func New(version int64, routes []*Route, services []Service, workspaces []Workspace, limits Limits) (Catalog, error) {
	return Catalog{}.WithVersion(version, limits).WithServices(services).WithWorkspaces(workspaces).WithRoutes(nil, routes)
}

// WithVersion returns a catalog with another version and other limits.
func (c Catalog) WithVersion(version int64, limits Limits) Catalog {
	c.version, c.limits = version, limits
	return c
}

// WithServices returns a catalog with other services.
func (c Catalog) WithServices(services []Service) Catalog {
	c.services = make(map[string]Service, len(services))
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// WithOpen returns a catalog of which no route needs a credential, or whose routes need one
// unless they are public. Whether there are workspaces does not matter.
func (c Catalog) WithOpen(open bool) Catalog {
	if c.open == open {
		return c
	}
	c.open = open
	return c.withRanked()
}

// WithWorkspaces returns a catalog with other workspaces. It ignores workspaces without a name,
// which endpoints could not be told, and empty credentials, which callers without one would have.
func (c Catalog) WithWorkspaces(workspaces []Workspace) Catalog {
	c.workspaces = make(map[string]Workspace, len(workspaces))
	c.ignored = 0
	for _, w := range workspaces {
		if w.Name == "" {
			c.ignored++
			continue
		}
		for _, credential := range w.Credentials {
			if credential == "" {
				c.ignored++
				continue
			}
			c.workspaces[credential] = w
		}
	}
	return c.withRanked()
}

// WithRoutes returns a catalog without some of its routes and with added ones. The routes
// must not be modified afterwards.
func (c Catalog) WithRoutes(removed, added []*Route) (Catalog, error) {
	if len(removed)+len(added) == 0 {
		return c, nil
	}
	kept := without(c.routes, sorted(removed))
	list := make([]*Route, 0, len(kept)+len(added))
	for _, r := range sorted(added) {
		i, found := slices.BinarySearchFunc(kept, r, compareRoutes)
		list = append(list, kept[:i]...)
		kept = kept[i:]
		list = append(list, r)
		if found {
			return Catalog{}, repeated(kept[0], r)
		}
		if n := len(list); n > 1 && compareRoutes(list[n-2], r) == 0 {
			return Catalog{}, repeated(list[n-2], r)
		}
	}
	list = append(list, kept...)
	c.routes = list
	return c.withRanked(), nil
}

func repeated(a, b *Route) error {
	return fmt.Errorf("%w: %q and %q have host %q and prefix %q", ErrRepeated, a.Name, b.Name, a.Host, a.Prefix)
}

// without returns sorted routes without some of them, which are sorted too.
func without(routes, removed []*Route) []*Route {
	var kept []*Route
	for _, r := range removed {
		i, found := slices.BinarySearchFunc(routes, r, compareRoutes)
		kept = append(kept, routes[:i]...)
		if found {
			i++
		}
		routes = routes[i:]
	}
	if kept == nil {
		return routes
	}
	return append(kept, routes...)
}

func sorted(routes []*Route) []*Route {
	routes = slices.Clone(routes)
	slices.SortFunc(routes, compareRoutes)
	return routes
}

func compareRoutes(a, b *Route) int {
	if order := strings.Compare(a.Host, b.Host); order != 0 {
		return order
	}
	return strings.Compare(a.Prefix, b.Prefix)
}

// Version returns the version of the configuration, or 0 if there is none.
func (c Catalog) Version() int64 { return c.version }

// Limits returns the limits for callers.
func (c Catalog) Limits() Limits { return c.limits }

// RequiresCredential reports whether requests on a route need a credential.
func (c Catalog) RequiresCredential(route Route) bool { return !c.open && !route.Public }

// Match returns the route of a host with the longest prefix of a path, which is compared as
// the caller has sent it: an escaped slash is part of a segment. It ignores a port in the host.
func (c Catalog) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	wanted := &Route{Host: strings.ToLower(host), Prefix: path}
	for routes := c.routes; ; {
		i, found := slices.BinarySearchFunc(routes, wanted, compareRoutes)
		if found {
			return *routes[i], true
		}
		if i == 0 || routes[i-1].Host != wanted.Host {
			return Route{}, false
		}
		last := routes[i-1]
		if strings.HasPrefix(path, last.Prefix) {
			return *last, true
		}
		// A route that matches is not after the last one, so its prefix is no longer than
		// what that one has in common with the path.
		wanted.Prefix, routes = commonPrefix(wanted.Prefix, last.Prefix), routes[:i]
	}
}

func commonPrefix(a, b string) string {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return a[:n]
}

// Workspace returns the workspace that a credential belongs to.
func (c Catalog) Workspace(credential string) (Workspace, bool) {
	w, ok := c.workspaces[credential]
	return w, ok
}

// Ignored returns the number of workspaces without a name and of empty credentials, which admit
// nobody.
func (c Catalog) Ignored() int { return c.ignored }

// NamedWorkspace returns a workspace by its name.
func (c Catalog) NamedWorkspace(name string) (Workspace, bool) {
	for _, w := range c.workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Service returns a service by name.
func (c Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c Catalog) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// ShortestEventGap returns the shortest MaxEventGap of the stream routes to a service, or
// 0 if they have none.
func (c Catalog) ShortestEventGap(service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range c.routes {
		leads := slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
		if r.Kind == Stream && leads && r.MaxEventGap > 0 && (shortest == 0 || r.MaxEventGap < shortest) {
			shortest = r.MaxEventGap
		}
	}
	return shortest
}

// ChooseService returns one of the route's services according to their weights. The
// draw is a random number in [0, 1).
func (r Route) ChooseService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remainder := draw * float64(total)
	for _, t := range r.Targets {
		remainder -= float64(t.Weight)
		if remainder < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
