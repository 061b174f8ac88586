// Package elmendpointclient sends requests to an endpoint over HTTP.
//
// Each request uses a connection of its own. On a reused one, the HTTP client may resend a
// request when the connection breaks, and takes a late second copy of a response for the
// response to the next request, because responses of engines do not name their request.
//
// # Usage
//
//	client := elmendpointclient.New("http://127.0.0.1:8000")
//	reply, err := client.Call(ctx, open, sink)
package elmendpointclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmtrace"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmevents"
	"github.com/elmcove/elmcove/internal/wire/elmstatus"
	"github.com/elmcove/elmcove/internal/wire/elmtransport"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	// keyHeader is the header that carries the idempotency key to the endpoint.
	keyHeader = "Elmcove-Key"

	maxBodyPrefixBytes = 4096
	loadPath           = "/load"
	loadTimeout        = 200 * time.Millisecond
	// maxHeadBytes, maxLoadBytes and maxBodyBytes limit the head of a response, a load
	// report, and a response that is not a stream.
	maxHeadBytes = 64 << 10
	maxLoadBytes = 64 << 10
	maxBodyBytes = 4 << 20
	// completionPath is the path of the model engine's completions. Their streams end
	// with an event whose data is endMark.
	completionPath = "/v1/chat/completions"
	endMark        = "[DONE]"
)

var (
	// ErrEndpoint reports that the endpoint gave no complete response.
	ErrEndpoint = errors.New("endpoint failed")
	// ErrRefused reports that the endpoint answered with a status that is not passed on. It
	// may have run the request.
	ErrRefused = errors.New("endpoint refused")
)

// Sink receives a response in parts.
type Sink interface {
	// Head receives the status and media type, before any data.
	Head(head *elmwire.Head) error
	// Data receives a part of the body and the time since the previous part. The
	// time is 0 for the first part and for responses that are not streams.
	Data(data []byte, step time.Duration) error
}

// Reply describes a complete response. Body holds only the start of a long body.
type Reply struct {
	Status uint32
	Media  string
	Body   []byte
}

// Load is a load report of a model engine, as of the time Measured.
type Load struct {
	Running  int       `json:"running"`
	Capacity int       `json:"capacity"`
	Measured time.Time `json:"measured"`
}

// Client sends requests to one endpoint. It is safe for concurrent use.
type Client struct {
	endpoint string
	requests *http.Client
	reports  *http.Client
	budget   *elmbounded.Budget
}

// New returns a Client for the endpoint at a URL.
func New(endpoint string) *Client {
	return &Client{
		endpoint: strings.TrimSuffix(endpoint, "/"),
		requests: &http.Client{Transport: elmtransport.New(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes})},
		reports:  &http.Client{Transport: elmbounded.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1}, maxHeadBytes, maxLoadBytes)},
	}
}

// WithBudget returns a copy whose responses share a budget, except event streams, of which
// only one event is kept.
func (c *Client) WithBudget(budget *elmbounded.Budget) *Client {
	return &Client{endpoint: c.endpoint, requests: c.requests, reports: c.reports, budget: budget}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.requests.CloseIdleConnections()
	c.reports.CloseIdleConnections()
}

// Call sends a request to the endpoint and the response to the sink. It forwards
// event streams as they arrive, and other responses once they are complete.
func (c *Client) Call(ctx context.Context, open *elmwire.Open, sink Sink) (Reply, error) {
	response, err := c.send(ctx, open)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }() // The response is no longer used.
	if response.StatusCode < http.StatusOK {
		return Reply{}, fmt.Errorf("%w: unexpected status %s", ErrEndpoint, response.Status)
	}
	if isRefusal(response.StatusCode, open.GetOnce()) {
		return Reply{}, fmt.Errorf("%w: %s", ErrRefused, response.Status)
	}
	reply := Reply{Status: uint32(response.StatusCode), Media: response.Header.Get("Content-Type")}
	if elmevents.IsStream(reply.Media) {
		marked := open.GetPath() == completionPath && response.StatusCode == http.StatusOK
		return c.forwardStream(reply, response.Body, sink, marked)
	}
	c.budget.LimitBody(response, maxBodyBytes)
	return c.forwardComplete(reply, response.Body, sink)
}

// Load fetches the endpoint's last load report. Plain services have none.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.endpoint+loadPath, http.NoBody)
	if err != nil {
		return Load{}, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	response, err := c.reports.Do(request)
	if err != nil {
		return Load{}, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	defer func() { _ = response.Body.Close() }() // The response is no longer used.
	var load Load
	if response.StatusCode != http.StatusOK {
		return Load{}, fmt.Errorf("%w: load report: %s", ErrEndpoint, response.Status)
	}
	document, err := elmbounded.ReadAll(response.Body, maxLoadBytes)
	if err == nil {
		err = json.Unmarshal(document, &load)
	}
	if err != nil {
		return Load{}, fmt.Errorf("%w: load report: %w", ErrEndpoint, err)
	}
	return load, nil
}

func (c *Client) send(ctx context.Context, open *elmwire.Open) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, open.GetMethod(), c.endpoint+open.GetPath(), bytes.NewReader(open.GetBody()))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	if media := open.GetMedia(); media != "" {
		request.Header.Set("Content-Type", media)
	}
	if key := open.GetClaim().GetKey(); key != "" {
		request.Header.Set(keyHeader, key)
	}
	if parent := elmtrace.Parent(ctx); parent != "" {
		request.Header.Set("Traceparent", parent)
	}
	response, err := c.requests.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	return response, nil
}

// forwardStream forwards complete events only. With marked set, a stream without the
// end mark is incomplete.
func (c *Client) forwardStream(reply Reply, body io.Reader, sink Sink, marked bool) (Reply, error) {
	if err := sink.Head(&elmwire.Head{Status: reply.Status, Media: reply.Media}); err != nil {
		return reply, err
	}
	var splitter elmevents.Splitter
	reader := elmevents.NewReader(body, &splitter, splitter.Split)
	var last time.Time
	markSeen := false
	for {
		events, readErr := reader.Next()
		if len(events) > 0 {
			now := time.Now()
			step := elapsedSince(last, now)
			last = now
			markSeen = markSeen || hasEndMark(events)
			reply.Body = appendPrefix(reply.Body, events)
			if err := sink.Data(events, step); err != nil {
				return reply, err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && marked && !markSeen:
			return reply, fmt.Errorf("%w: stream ended without %s", ErrEndpoint, endMark)
		case errors.Is(readErr, io.EOF):
			return reply, nil
		case readErr != nil:
			return reply, fmt.Errorf("%w: %w", ErrEndpoint, readErr)
		}
	}
}

// hasEndMark reports whether one of the events is the end mark.
func hasEndMark(events []byte) bool {
	isLineEnding := func(r rune) bool { return r == '\r' || r == '\n' }
	for _, line := range bytes.FieldsFunc(events, isLineEnding) {
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if ok && string(bytes.TrimSpace(data)) == endMark {
			return true
		}
	}
	return false
}

func (c *Client) forwardComplete(reply Reply, body io.Reader, sink Sink) (Reply, error) {
	chunks, err := elmbounded.ReadChunks(body)
	if err != nil {
		return reply, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	if err := sink.Head(&elmwire.Head{Status: reply.Status, Media: reply.Media}); err != nil {
		return reply, err
	}
	for _, chunk := range chunks {
		reply.Body = appendPrefix(reply.Body, chunk)
		if err := sink.Data(chunk, 0); err != nil {
			return reply, err
		}
	}
	return reply, nil
}

// isRefusal reports whether a status is not passed on: one that promises that the request has
// not run, which endpoints can't state, or a failure of an idempotent request, for which
// another endpoint should be tried.
func isRefusal(status int, once bool) bool {
	return elmstatus.Code(status).PromisesNotRun() || !once && status >= http.StatusInternalServerError
}

func elapsedSince(last, now time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// appendPrefix appends data to the kept start of a body until that exceeds
// maxBodyPrefixBytes. The excess shows that the body is too long for replay.
func appendPrefix(kept, data []byte) []byte {
	if len(kept) > maxBodyPrefixBytes {
		return kept
	}
	return append(kept, data...)
}
