// Package elmexplain describes how a router would treat a request that is not sent: its route,
// its workspace, the limits in force, the endpoints that could get it, and the verdict.
//
// The package does no input or output. No value holds a credential.
//
// # Usage
//
//	result := elmexplain.Result{Entry: "entry-1"}
//	fmt.Print(result.Text())
package elmexplain

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"
)

// Path is the URL path of the handler at a router's control address, and MaxBytes limits the
// size of a question and of a result.
const (
	Path     = "/explain"
	MaxBytes = 8 << 20
)

// ErrQuestion reports a question that can't be answered.
var ErrQuestion = errors.New("question")

// Question describes a request. It is sent as a body, so that the credential is in no log.
type Question struct {
	Method     string `json:"method"`
	Host       string `json:"host"`
	Path       string `json:"path"`
	Credential string `json:"credential,omitempty"`
	// Workspace is the name of the workspace, in place of a credential.
	Workspace string      `json:"workspace,omitempty"`
	Header    http.Header `json:"header,omitempty"`
}

// Request returns the request that the question describes, without a body.
func (q Question) Request() (*http.Request, error) {
	if q.Method == "" || q.Host == "" {
		return nil, fmt.Errorf("%w: method and host are required", ErrQuestion)
	}
	if q.Credential != "" && q.Workspace != "" {
		return nil, fmt.Errorf("%w: give a credential or a workspace, not both", ErrQuestion)
	}
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") {
		return nil, fmt.Errorf("%w: path must begin with /", ErrQuestion)
	}
	header := q.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &http.Request{Method: q.Method, Host: q.Host, URL: target, RequestURI: q.Path, Header: header}, nil
}

// Result is what a router would do with a request.
type Result struct {
	Entry      string        `json:"entry"`
	Datacentre string        `json:"datacentre"`
	Version    int64         `json:"version"`
	Age        time.Duration `json:"ageNs"`
	// ConfigAge is the time since the configuration was known to be the newest.
	ConfigAge time.Duration `json:"configAgeNs"`
	// Entries is the number of entries that share limits.
	Entries       int        `json:"entries"`
	LearnedLimits bool       `json:"learnedLimits"`
	Route         *Route     `json:"route,omitempty"`
	Workspace     *Workspace `json:"workspace,omitempty"`
	// Priority is that of the request: of its workspace, or else of its route.
	Priority  int           `json:"priority"`
	TimeLimit time.Duration `json:"timeLimitNs,omitempty"`
	// MaxHeaderBytes and MaxBodyBytes are the limits for requests, or 0 if there are none.
	MaxHeaderBytes int       `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64     `json:"maxBodyBytes,omitempty"`
	Services       []Service `json:"services,omitempty"`
	// Status is the status of the router's own response, or 0 if it would send the request.
	Status int `json:"status,omitempty"`
	// Verdict says what the router would do.
	Verdict string `json:"verdict"`
}

// Route is the route of a request.
type Route struct {
	Name      string        `json:"name"`
	Prefix    string        `json:"prefix"`
	Kind      string        `json:"kind"`
	Priority  int           `json:"priority"`
	Timeout   time.Duration `json:"timeoutNs"`
	Objective time.Duration `json:"latencyObjectiveNs,omitempty"`
	Attempts  int           `json:"attempts"`
	Public    bool          `json:"public"`
	Resumable bool          `json:"resumable"`
}

// Workspace is the workspace of a request.
type Workspace struct {
	Name string `json:"name"`
	// Priority is nil if the workspace has none of its own.
	Priority *int `json:"priority,omitempty"`
}

// Service is a service that the route may choose.
type Service struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Engine bool   `json:"engine"`
	// Verdict is that of the placement, and Chosen the endpoint with the lowest cost.
	Verdict string `json:"verdict"`
	Chosen  string `json:"chosen,omitempty"`
	// CanRetry means that the retry budget allows a second endpoint.
	CanRetry bool `json:"canRetry"`
	// Ranked means that requests of the service differ in priority. Level is then the admitted part
	// of its requests, Share the part of what the workspace asks that is its share, and Cut why a
	// request is refused a free slot, or "".
	Ranked     bool        `json:"ranked,omitempty"`
	Level      float64     `json:"level,omitempty"`
	Share      float64     `json:"share,omitempty"`
	Cut        string      `json:"cut,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint of a service.
type Candidate struct {
	Endpoint   string `json:"endpoint"`
	Datacentre string `json:"datacentre"`
	Slots      int    `json:"slots"`
	// Load is the number of requests of all entries, and Limit the load from which on the
	// endpoint accepts no such request.
	Load  float64 `json:"load"`
	Limit float64 `json:"limit"`
	// Pace is the learned response time relative to the fastest endpoint, or 0.
	Pace float64 `json:"pace,omitempty"`
	// Cost is the cost in requests, without the random term among endpoints of equal cost.
	Cost float64 `json:"cost"`
	// Reason is why the endpoint is left out, or "".
	Reason string `json:"reason,omitempty"`
}

// Text returns the result as text.
func (r Result) Text() string {
	var b strings.Builder
	learned := "off"
	if r.LearnedLimits {
		learned = "on"
	}
	fmt.Fprintf(&b, "entry      %s in %s, configuration %d (the newest %v ago), state %v old, limits shared by %d entries, learned limits %s\n",
		r.Entry, r.Datacentre, r.Version, r.ConfigAge.Round(time.Millisecond), r.Age.Round(time.Millisecond), r.Entries, learned)
	if r.Route != nil {
		fmt.Fprintf(&b, "route      %s (%s), prefix %s, priority %d, timeout %v, objective %v, attempts %d\n",
			r.Route.Name, r.Route.Kind, r.Route.Prefix, r.Route.Priority, r.Route.Timeout, r.Route.Objective, r.Route.Attempts)
	}
	if r.Workspace != nil {
		fmt.Fprintf(&b, "workspace  %s\n", r.Workspace.Name)
	}
	if r.Route != nil {
		fmt.Fprintf(&b, "request    priority %d, time limit %v, header up to %d bytes, body up to %d bytes\n",
			r.Priority, r.TimeLimit, r.MaxHeaderBytes, r.MaxBodyBytes)
	}
	for _, s := range r.Services {
		fmt.Fprintf(&b, "service    %s, weight %d: %s", s.Name, s.Weight, s.Verdict)
		if s.Chosen != "" {
			fmt.Fprintf(&b, " at %s", s.Chosen)
		}
		if s.Ranked {
			fmt.Fprintf(&b, ", level %.2f, share of the workspace %.2f", s.Level, s.Share)
		}
		if s.Cut != "" {
			fmt.Fprintf(&b, ", refused for %s", s.Cut)
		}
		if !s.CanRetry {
			b.WriteString(", no retry left in the budget")
		}
		b.WriteString("\n")
		s.writeCandidates(&b)
	}
	fmt.Fprintf(&b, "verdict    %s\n", r.Verdict)
	return b.String()
}

func (s Service) writeCandidates(b *strings.Builder) {
	if len(s.Candidates) == 0 {
		return
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  ENDPOINT\tDATA CENTRE\tSLOTS\tLOAD\tLIMIT\tPACE\tCOST\tLEFT OUT")
	for _, c := range s.Candidates {
		pace := "-"
		if c.Pace > 0 {
			pace = fmt.Sprintf("%.2f", c.Pace)
		}
		fmt.Fprintf(w, "  %s\t%s\t%d\t%.0f\t%.1f\t%s\t%.2f\t%s\n", c.Endpoint, c.Datacentre, c.Slots, c.Load, c.Limit, pace, c.Cost, c.Reason)
	}
	_ = w.Flush() // Writes to a strings.Builder never fail.
}
