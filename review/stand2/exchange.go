package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id, method, path, key, body string
	deadline                    time.Duration
}

// answer is what a client got. A status of 0 means no complete answer.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
}

// host is the host of all routes.
const host = "desk.example"

// send sends an attempt on a connection of its own and reads the answer.
func (w *world) send(front string, a attempt) answer {
	w.record.add("client sends %s: %s %s to %s, key %q, deadline %s, body %q", a.id, a.method, a.path, front, a.key, a.deadline, a.body)
	got := exchange(w.ctx, front, a)
	w.record.add("client gets for %s: status %d, sealed %v, body %q, error %v", a.id, got.status, got.sealed, sameLine(got.body), got.err)
	return got
}

func exchange(ctx context.Context, front string, a attempt) answer {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", front)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close() //nolint:errcheck // The answer has been read.
	_ = conn.SetDeadline(time.Now().Add(a.deadline + time.Second))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.path, host, a.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&text, "Credential: %s\r\n", a.key)
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(a.body))
	}
	text.WriteString("Connection: close\r\n\r\n" + a.body)
	if _, err = io.WriteString(conn, text.String()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // It was read to the end.
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, sealed: response.Header.Get("Response-Seal") != "", body: string(body)}
}

// run is a request on which a replica has begun to work.
type run struct{ attempt, replica, body, tenant string }

// replica is a stand-in for a replica of a plain service.
type replica struct {
	id    string
	world *world
	// fails reports whether the replica fails a request that it has run.
	fails func() bool

	mutex *sync.Mutex
	runs  *[]run
}

// ServeHTTP runs a request. A request for another replica is not run.
func (p *replica) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // A request that is not whole is not run.
	}
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		rw.Header().Set("Instance-Id", p.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mutex.Lock()
	*p.runs = append(*p.runs, run{id, p.id, string(body), r.Header.Get("Tenant")})
	p.mutex.Unlock()
	p.world.record.add("replica %s runs %s: %s %s, tenant %q, credential %q, body %q", p.id, id, r.Method, r.RequestURI, r.Header.Get("Tenant"), r.Header.Get("Credential"), body)
	time.Sleep(30 * time.Millisecond)
	rw.Header().Set("Response-Seal", "seal-"+p.id+"-"+id)
	status, text := http.StatusOK, "done "+string(body)
	if p.fails != nil && p.fails() {
		status, text = http.StatusServiceUnavailable, "failed after the work on "+string(body)
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, text) // The router may have disconnected.
	p.world.record.add("replica %s answers %s: status %d, sealed, without Not-Executed", p.id, id, status)
}
