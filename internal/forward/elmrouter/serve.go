package elmrouter

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmretryafter"
	"github.com/elmcove/elmcove/internal/forward/elmsignature"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
	"github.com/elmcove/elmcove/platform"
)

const (
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// writeMargin is the time in which a caller reads the end of a response that was made
	// within the request's time limit, or a refusal.
	writeMargin = 5 * time.Second
	// refusedBodyTime is the time in which the rest of a refused request's body may come in. It
	// is shorter than writeMargin, because net/http reads the body before it sends the refusal.
	refusedBodyTime = 2 * time.Second
	// minBodyTime is the time that a body has at least to come in when a drain begins.
	minBodyTime = 100 * time.Millisecond
	// staleAge is the snapshot age beyond which an unknown route or credential may
	// belong to a newer configuration.
	staleAge = 3 * time.Second
)

// Reasons of the router's own responses, for logs and metrics.
const (
	reasonUnknownConfig = "no configuration yet"
	reasonStale         = "belief too old"
	reasonRoute         = "no such route"
	reasonCredential    = "unknown credential"
	reasonHeaders       = "headers too large"
	reasonBody          = "body too large"
	reasonBodyUnread    = "body not read"
	reasonMemory        = "memory for bodies is in use"
	reasonNoService     = "route without service"
	reasonMaybeNewer    = "may be newer than the belief"
	reasonStopping      = "entry stops before the request's time limit"
	reasonQuarantined   = "endpoints crash under this request or a segment of its prompt"
)

// refusalError is the status and reason of a response of the router itself.
type refusalError struct {
	status int
	reason string
}

// Error implements error.
func (e refusalError) Error() string { return e.reason }

// admitted is a request that passed the checks and may be sent to an endpoint.
type admitted struct {
	requestInfo platform.RequestInfo
	route       elmcatalog.Route
	service     elmcatalog.Service
	workspace   string
	// priority is the workspace's priority, or else the route's. 0 is the most
	// urgent.
	priority int
	// body is the body in segments.
	body [][]byte
	// signatures are what the request may have in common with others: the segments of its
	// prompt and, as the last one, itself if the caller sends it again.
	signatures []elmsignature.Signature
	began      time.Duration
	// timeLimit is the shorter of the route's timeout and the caller's deadline.
	timeLimit time.Duration
}

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, request *http.Request) {
	began := elmclock.Now()
	requestInfo := platform.ReadRequestInfo(request.Header)
	snapshot := r.follower.Snapshot()
	limitWriting(w, writeMargin)
	a, err := r.admit(w, request, requestInfo, snapshot, began)
	if err == nil && r.isLate(a, elmclock.Now()) {
		err = refusalError{http.StatusServiceUnavailable, reasonStopping}
	}
	if err != nil {
		var refused refusalError
		if errors.As(err, &refused) {
			limitWriting(w, writeMargin)
			limitReading(w, request, r.discardTime())
			r.refuse(w, request, requestInfo, refused, snapshot.ConfigAge(began), elmclock.Now()-began)
		}
		return
	}
	limitWriting(w, a.timeLimit+writeMargin)
	ctx, cancel := context.WithTimeoutCause(request.Context(), a.timeLimit-(elmclock.Now()-began), errDeadlineExceeded)
	defer cancel()
	r.deliver(ctx, w, request, a)
}

// announceReuse announces in the head of a response whether its connection can be used again: a
// draining router closes it.
func (r *Router) announceReuse(w http.ResponseWriter, request *http.Request) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	elmlistener.AnnounceKeepAlive(w.Header(), request)
}

// limitWriting bounds the time in which a response can be written. A caller that does not
// read would otherwise keep the slot of an endpoint beyond the request's time limit.
func limitWriting(w http.ResponseWriter, limit time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit)) // Not all writers support deadlines.
}

// limitReading bounds the time in which the body of a request comes in. The end of the body
// ends the limit.
func limitReading(w http.ResponseWriter, request *http.Request, limit time.Duration) {
	if request.Body != http.NoBody { // Otherwise net/http is reading already, to notice that the caller disconnects.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit)) // Not all writers support deadlines.
	}
}

// admit checks a request against the configuration and reads its body.
func (r *Router) admit(w http.ResponseWriter, request *http.Request, requestInfo platform.RequestInfo, snapshot elmsnapshot.Snapshot, began time.Duration) (admitted, error) {
	a := admitted{requestInfo: requestInfo, began: began}
	if !snapshot.HasConfig() {
		return a, refusalError{http.StatusServiceUnavailable, reasonUnknownConfig}
	}
	catalog := snapshot.Catalog()
	age := snapshot.ConfigAge(began)
	var ok bool
	a.route, ok = catalog.Match(request.Host, request.URL.EscapedPath())
	if !ok {
		return a, retryableIfStale(age, refusalError{http.StatusNotFound, reasonRoute})
	}
	a.priority = a.route.Priority
	if catalog.RequiresCredential(a.route) {
		if age > time.Duration(float64(r.settings.Bounds.RevokeDelay)*credentialAgeRatio) {
			return a, refusalError{http.StatusServiceUnavailable, reasonStale}
		}
		workspace, known := catalog.Workspace(requestInfo.Credential)
		if !known {
			return a, retryableIfStale(age, refusalError{http.StatusUnauthorized, reasonCredential})
		}
		a.workspace = workspace.Name
		if workspace.Priority != nil {
			a.priority = *workspace.Priority
		}
	}
	if a.service, ok = catalog.Service(a.route.ChooseService(rand.Float64())); !ok {
		return a, refusalError{http.StatusServiceUnavailable, reasonNoService}
	}
	a.timeLimit = effectiveTimeout(a.route.Timeout, requestInfo.Deadline)
	limits := catalog.Limits()
	if limits.HeaderBytes > 0 && max(lineSize(request), headerSize(request)) > limits.HeaderBytes {
		return a, refusalError{http.StatusRequestHeaderFieldsTooLarge, reasonHeaders}
	}
	release := r.limitBody(w, request, began+a.timeLimit)
	defer release()
	var err error
	a.body, err = r.readBody(request, limits.BodyBytes)
	a.signatures = signaturesOf(request, a)
	return a, err
}

// limitBody bounds the time in which the body of a request comes in, also if the router starts
// to drain meanwhile. The returned function must be called when the body has been read.
func (r *Router) limitBody(w http.ResponseWriter, request *http.Request, end time.Duration) (release func()) {
	if r.draining.Load() {
		limitReading(w, request, min(end, r.bodiesEnd())-elmclock.Now())
		return func() {}
	}
	limitReading(w, request, end-elmclock.Now())
	limited := make(chan struct{})
	stop := context.AfterFunc(r.serving, func() {
		defer close(limited)
		limitReading(w, request, max(min(end, r.bodiesEnd())-elmclock.Now(), minBodyTime))
	})
	return func() {
		if !stop() {
			// If the body had ended before, the limit would end the request.
			<-limited
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // Not all writers support deadlines.
		}
	}
}

// bodiesEnd returns when a draining router no longer reads bodies.
func (r *Router) bodiesEnd() time.Duration { return time.Duration(r.stopsAt.Load()) - lastBodyTime }

// signaturesOf returns the signatures of an admitted request.
func signaturesOf(request *http.Request, a admitted) []elmsignature.Signature {
	var signatures []elmsignature.Signature
	for _, s := range a.requestInfo.Segments {
		signatures = append(signatures, elmsignature.OfSegment(s))
	}
	return append(signatures, elmsignature.OfRequest(request.Method+" "+request.Host+request.RequestURI, a.workspace, a.body...))
}

// retryableIfStale turns a final refusal into one that the caller may retry, if
// the snapshot is so old that a newer configuration may allow the request.
func retryableIfStale(age time.Duration, refused refusalError) error {
	if age > staleAge {
		return refusalError{http.StatusServiceUnavailable, reasonMaybeNewer}
	}
	return refused
}

// effectiveTimeout returns the shorter of both values, where 0 means none, or the
// default if neither is set.
func effectiveTimeout(timeout, deadline time.Duration) time.Duration {
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

// lineSize returns the size of the request line and the host in bytes.
func lineSize(request *http.Request) int {
	return len(request.Method) + len(request.RequestURI) + len(request.Host)
}

// headerSize returns the size of the header lines in bytes. Lines without a value count as if
// they had no space after the colon, so that no head within the limit is refused.
func headerSize(request *http.Request) int {
	size := 0
	for name, values := range request.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n") + min(len(v), 1)
		}
	}
	return size
}

// readBody reads the body of a request up to a limit. A limit of 0 means none.
func (r *Router) readBody(request *http.Request, limit int64) ([][]byte, error) {
	if limit > 0 && request.ContentLength > limit {
		return nil, refusalError{http.StatusRequestEntityTooLarge, reasonBody}
	}
	holder := elmlistener.Holder(request)
	body, err := elmmemory.ReadBody(request.Body, request.ContentLength, cmp.Or(limit, math.MaxInt64-1), holder)
	switch {
	case errors.Is(err, elmmemory.ErrExhausted), err != nil && holder.Ended():
		return nil, refusalError{http.StatusServiceUnavailable, reasonMemory}
	case err != nil && r.draining.Load() && elmclock.Now() >= r.bodiesEnd():
		return nil, refusalError{http.StatusServiceUnavailable, reasonStopping}
	case err != nil:
		return nil, refusalError{http.StatusRequestTimeout, reasonBodyUnread}
	case limit > 0 && elmmemory.Length(body) > limit:
		holder.Drop()
		return nil, refusalError{http.StatusRequestEntityTooLarge, reasonBody}
	}
	return body, nil
}

// refuse responds to a request that was not sent to an endpoint.
func (r *Router) refuse(w http.ResponseWriter, request *http.Request, requestInfo platform.RequestInfo, refused refusalError, age, held time.Duration) {
	after := time.Duration(0)
	switch refused.status {
	case http.StatusServiceUnavailable:
		after = elmretryafter.After(requestInfo.Deadline-held, elmretryafter.ShortDelay, rand.Float64)
		w.Header().Set("Connection", "close")
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestTimeout:
		w.Header().Set("Connection", "close")
	}
	r.respond(w, request, requestInfo, refused.status, after, "")
	r.meter.Count("elmcove_refusals_total", "reason", refused.reason)
	r.logger.Event(elmlog.RequestRefused, "request", requestInfo.Attempt, "status", refused.status, "reason", refused.reason,
		"age", age, "held", held, "after", after)
}

// problem is the body of a response of the router itself.
type problem struct {
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

// respond writes a response of the router itself, with the reason unless that is "".
func (r *Router) respond(w http.ResponseWriter, request *http.Request, requestInfo platform.RequestInfo, status int, after time.Duration, reason string) {
	r.announceReuse(w, request)
	platform.SetRefusalHeaders(w.Header(), requestInfo.Attempt, after)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	outcome := "not-run"
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		outcome = "unknown"
	}
	document, _ := json.Marshal(problem{Outcome: outcome, Detail: reason}) // Texts always encode.
	_, _ = w.Write(document)                                               // The caller may have disconnected.
}
