package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// credential is the key of the callers' tenant.
const credential = "n2ctnfzs989anu6wsjnb" //nolint:gosec // It is made up.

// answer is what a caller has got.
type answer struct {
	attempt string
	status  int // 0 if there was no complete answer
	seal    string
	body    string
	at      time.Time
}

// client stands in for the callers of one router.
type client struct {
	site   *site
	front  string
	client *http.Client
}

func (s *site) client(front string) *client {
	return &client{site: s, front: front, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends a request and returns its answer.
func (c *client) send(ctx context.Context, method, path, attempt string, body string, deadline time.Duration) answer {
	limited, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	a := answer{attempt: attempt}
	request, err := http.NewRequestWithContext(limited, method, "http://"+c.front+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	request.Host = hostName
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Credential", credential)
	c.site.record.line("client sends %s %s %s to %s", attempt, method, path, c.front)
	response, err := c.client.Do(request)
	if err == nil {
		var document []byte
		document, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.status, a.seal, a.body = response.StatusCode, response.Header.Get("Response-Seal"), string(document)
		}
	}
	a.at = time.Now()
	c.site.record.line("client gets %s status %d seal %q body %q error %v", attempt, a.status, a.seal, a.body, err)
	return a
}

// attemptID returns the ID of an attempt.
func attemptID(n int) string { return fmt.Sprintf("9c41d07b%08x", n) }
