// Package elmclient is a small caller for demonstrations and tests. It keeps
// what a caller sees of an answer.
//
// # Usage
//
//	client := elmclient.New("curb-secret")
//	answer := client.Draft(ctx, "http://127.0.0.1:8001", 20)
//	if answer.Whole(20) { ... }
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
	draftPath = "/v1/chat/completions"
	endMark   = "data: [DONE]\n\n"
)

// Answer is what a caller got. Err is set when the connection broke.
type Answer struct {
	Status int
	Body   string
	Header http.Header
	// First is the time to the first byte of the body.
	First time.Duration
	Err   error
}

// Problem is a refusal.
type Problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// Whole reports whether a streamed answer of a number of tokens is complete.
func (a Answer) Whole(tokens int) bool {
	return a.Err == nil && a.Status == http.StatusOK && strings.HasSuffix(a.Body, endMark) &&
		strings.Count(a.Body, "data: ") == tokens+1
}

// LooksWhole reports whether a caller would take the answer for complete.
func (a Answer) LooksWhole() bool {
	return a.Err == nil && a.Status == http.StatusOK && strings.HasSuffix(a.Body, endMark)
}

// Problem returns the refusal, which is empty if there is none.
func (a Answer) Problem() Problem {
	var p Problem
	_ = json.Unmarshal([]byte(a.Body), &p) // Other bodies leave it empty.
	return p
}

// Client sends requests with one credential. It is safe for concurrent use.
type Client struct {
	credential string
	http       *http.Client
}

// New returns a Client.
func New(credential string) *Client {
	return &Client{credential: credential, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Draft asks an entry for a streamed completion of a number of tokens.
func (c *Client) Draft(ctx context.Context, entry string, tokens int) Answer {
	body := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"cracked frame"}]}`, tokens)
	return c.Post(ctx, entry+draftPath, body, "")
}

// Order sends a work order. The key may be empty.
func (c *Client) Order(ctx context.Context, entry, key string) Answer {
	return c.Post(ctx, entry+"/services/dispatch/orders", `{"lid":4711}`, key)
}

// Post sends a JSON body to a URL and reads the whole answer.
func (c *Client) Post(ctx context.Context, url, body, key string) Answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		// The client would repeat a request by itself that has this header
		// and a body that it can rewind.
		request.GetBody = nil
		request.Header.Set("Idempotency-Key", key)
	}
	begin := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }() // Nothing is left to read.
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1) // An empty body shows in the answer.
	first := time.Since(begin)
	text, err := io.ReadAll(reader)
	return Answer{Status: response.StatusCode, Body: string(text), Header: response.Header, First: first, Err: err}
}
