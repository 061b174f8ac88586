package elmrouter

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmreturn"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// defaultTimeout is used for routes and callers that state no time.
	defaultTimeout = 30 * time.Second
	// doubtAge is the age of a belief after which an unknown route or
	// credential may just be new.
	doubtAge = 3 * time.Second
)

// Reasons of the router's own answers, for logs and metrics.
const (
	reasonUnknownConfig = "no configuration yet"
	reasonStale         = "belief too old"
	reasonRoute         = "no such route"
	reasonCredential    = "unknown credential"
	reasonHeaders       = "headers too large"
	reasonBody          = "body too large"
	reasonBodyLost      = "body not read"
	reasonNoService     = "route without service"
	reasonDoubt         = "may be newer than the belief"
)

// errRefused carries an answer that the router gives itself.
type errRefused struct {
	status int
	reason string
}

// Error implements error.
func (e errRefused) Error() string { return e.reason }

// admitted is a request that may be passed on.
type admitted struct {
	facts     platform.Facts
	route     elmcatalog.Route
	service   elmcatalog.Service
	workspace string
	// urgency is the workspace's priority, or else the route's. 0 is first.
	urgency int
	body    []byte
	began   time.Duration
	// allowed is the time until the caller or the route wants it ended.
	allowed time.Duration
}

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, request *http.Request) {
	began := elmclock.Now()
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	facts := platform.ReadFacts(request.Header)
	belief := r.follower.Belief()
	a, err := r.admit(request, facts, belief, began)
	if err != nil {
		var refused errRefused
		if errors.As(err, &refused) {
			r.refuse(w, facts, refused, belief.Age(began), elmclock.Now()-began)
		}
		return
	}
	ctx, cancel := context.WithTimeoutCause(request.Context(), a.allowed-(elmclock.Now()-began), errExpired)
	defer cancel()
	r.deliver(ctx, w, request, a)
}

// admit checks a request against the configuration and reads its body.
func (r *Router) admit(request *http.Request, facts platform.Facts, belief elmbelief.Belief, began time.Duration) (admitted, error) {
	a := admitted{facts: facts, began: began}
	if !belief.Known() {
		return a, errRefused{http.StatusServiceUnavailable, reasonUnknownConfig}
	}
	catalog := belief.Catalog()
	age := belief.Age(began)
	var ok bool
	a.route, ok = catalog.Match(request.Host, request.URL.Path)
	if !ok {
		return a, doubtful(age, errRefused{http.StatusNotFound, reasonRoute})
	}
	a.urgency = a.route.Priority
	if catalog.Guarded() && !a.route.Public {
		if age > time.Duration(float64(r.settings.Bounds.Revoke)*revokeMargin) {
			return a, errRefused{http.StatusServiceUnavailable, reasonStale}
		}
		workspace, known := catalog.Workspace(facts.Credential)
		if !known {
			return a, doubtful(age, errRefused{http.StatusUnauthorized, reasonCredential})
		}
		a.workspace = workspace.Name
		if workspace.Priority != nil {
			a.urgency = *workspace.Priority
		}
	}
	if a.service, ok = catalog.Service(a.route.Choose(rand.Float64())); !ok {
		return a, errRefused{http.StatusServiceUnavailable, reasonNoService}
	}
	a.allowed = shortest(a.route.Timeout, facts.Deadline)
	limits := catalog.Limits()
	if limits.HeaderBytes > 0 && headerSize(request) > limits.HeaderBytes {
		return a, errRefused{http.StatusRequestHeaderFieldsTooLarge, reasonHeaders}
	}
	var err error
	a.body, err = readBody(request, limits.BodyBytes)
	return a, err
}

// doubtful turns a final refusal into one that invites the caller back, if a
// newer configuration may allow the request.
func doubtful(age time.Duration, refused errRefused) error {
	if age > doubtAge {
		return errRefused{http.StatusServiceUnavailable, reasonDoubt}
	}
	return refused
}

func shortest(timeout, deadline time.Duration) time.Duration {
	switch {
	case timeout <= 0 && deadline <= 0:
		return defaultTimeout
	case timeout <= 0:
		return deadline
	case deadline <= 0:
		return timeout
	}
	return min(timeout, deadline)
}

func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	return size
}

func readBody(request *http.Request, limit int64) ([]byte, error) {
	if limit > 0 && request.ContentLength > limit {
		return nil, errRefused{http.StatusRequestEntityTooLarge, reasonBody}
	}
	reader := io.Reader(request.Body)
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	body, err := io.ReadAll(reader)
	switch {
	case err != nil:
		return nil, errRefused{http.StatusRequestTimeout, reasonBodyLost}
	case limit > 0 && int64(len(body)) > limit:
		return nil, errRefused{http.StatusRequestEntityTooLarge, reasonBody}
	}
	return body, nil
}

// refuse answers a request that no endpoint has run.
func (r *Router) refuse(w http.ResponseWriter, facts platform.Facts, refused errRefused, age, held time.Duration) {
	after := time.Duration(0)
	switch refused.status {
	case http.StatusServiceUnavailable:
		after = elmreturn.After(facts.Deadline-held, elmreturn.Short, rand.Float64)
		w.Header().Set("Connection", "close")
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestTimeout:
		w.Header().Set("Connection", "close")
	}
	r.answer(w, facts, refused.status, after)
	r.meter.Count("elmcove_refusals_total", "reason", refused.reason)
	r.logger.Event(elmlog.RequestRefused, "request", facts.Attempt, "status", refused.status, "reason", refused.reason,
		"age", age, "held", held, "after", after)
}

// answer writes an answer of the router's own.
func (r *Router) answer(w http.ResponseWriter, facts platform.Facts, status int, after time.Duration) {
	platform.SetRefusal(w.Header(), facts.Attempt, after)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	outcome := "not-run"
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		outcome = "unknown"
	}
	_, _ = io.WriteString(w, `{"outcome":"`+outcome+`"}`) // The caller may have gone.
}
