// Package elmclient is a small HTTP client for demonstrations and tests. It
// records the complete response of each request as the caller sees it.
//
// # Usage
//
//	client := elmclient.New("curb-secret")
//	response := client.StreamCompletion(ctx, "http://127.0.0.1:8001", 20)
//	if response.Complete(20) { ... }
package elmclient

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	completionsPath = "/v1/chat/completions"
	// endMark ends each complete stream.
	endMark = "data: [DONE]\n\n"
)

// Response holds a response. Err is set if the request failed or the connection
// broke while the body was read.
type Response struct {
	Status int
	Body   string
	Header http.Header
	// FirstByte is the time from the request to the first byte of the body.
	FirstByte time.Duration
	Err       error
}

// Problem holds the fields of a problem document, which describes a refusal.
type Problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// Complete reports whether a streamed response has its end mark and exactly the
// given number of tokens.
func (r Response) Complete(tokens int) bool {
	return r.Err == nil && r.Status == http.StatusOK && strings.HasSuffix(r.Body, endMark) &&
		strings.Count(r.Body, "data: ") == tokens+1
}

// LooksComplete reports whether a caller that does not count tokens would take
// the streamed response for complete.
func (r Response) LooksComplete() bool {
	return r.Err == nil && r.Status == http.StatusOK && strings.HasSuffix(r.Body, endMark)
}

// Problem returns the problem document in the body, or a zero value if the body
// has none.
func (r Response) Problem() Problem {
	var p Problem
	_ = json.Unmarshal([]byte(r.Body), &p) // The body may be of another kind.
	return p
}

// Client sends requests with a fixed credential. It is safe for concurrent use.
type Client struct {
	credential string
	http       *http.Client
}

// New returns a Client that sends the credential as a bearer token.
func New(credential string) *Client {
	return &Client{credential: credential, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// StreamCompletion requests a streamed completion of the model "draft" with the
// given number of tokens from an entry.
func (c *Client) StreamCompletion(ctx context.Context, entry string, tokens int) Response {
	body := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"cracked frame"}]}`, tokens)
	return c.Post(ctx, entry+completionsPath, body, "")
}

// Order sends a work order to an entry, with an idempotency key unless the key
// is empty.
func (c *Client) Order(ctx context.Context, entry, key string) Response {
	return c.Post(ctx, entry+"/services/dispatch/orders", `{"lid":4711}`, key)
}

// Post sends a JSON body to a URL and reads the complete response. It sends an
// idempotency key unless the key is empty.
func (c *Client) Post(ctx context.Context, url, body, key string) Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		// The transport retries a request that has this header and a body
		// that it can rewind. Without GetBody it can't.
		request.GetBody = nil
		request.Header.Set("Idempotency-Key", key)
	}
	begin := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = response.Body.Close() }() // The body has been read to its end or first error.
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1) // ReadAll reports the error.
	first := time.Since(begin)
	text, err := io.ReadAll(reader)
	return Response{Status: response.StatusCode, Body: string(text), Header: response.Header, FirstByte: first, Err: err}
}
