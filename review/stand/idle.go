package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// shortIdle and longIdle are the values of idleTimeoutMs before and after the change.
	shortIdle, longIdle = 5000, 15000
	// pollInterval is how long a caller waits after an answer before it asks again.
	pollInterval = 5 * time.Second
	// pollers is the number of callers, which have a connection each.
	pollers = 1000
	// lostLimit is the number of lost requests that the rule LOST allows.
	lostLimit = 3
)

// poll is what a caller saw on its connection at its second request.
type poll struct {
	attempt string
	at      time.Time
	status  int
	// closed means that the connection ended without a byte of an answer.
	closed bool
	failed string
}

// runIdle plays a change of the idle limit, during which callers keep connections that became
// idle before it.
func runIdle(w *world) (bool, error) {
	services := []map[string]any{service("desk", 0, 0)}
	r := route("r-desk", "/desk/", "desk")
	r["kind"], r["attempts"] = "non_idempotent", 1
	routes := []map[string]any{r}
	before := shortIdle
	if w.calm() {
		before = longIdle
	}
	w.store.put("op/config", configurationWithIdle(3, routes, services, before))
	var endpoints []*endpoint
	for i := range 3 {
		e, err := w.startEndpoint(fmt.Sprintf("i-desk-%d", i), "desk", "a")
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	entries, err := w.startEntries("a")
	if err != nil {
		return false, err
	}
	polls := make([]poll, pollers)
	var wait sync.WaitGroup
	for i := range polls {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 1800 * time.Microsecond)
			polls[i] = w.pollTwice(entries[0], i)
		})
	}
	w.at(3)
	w.store.put("op/config", configurationWithIdle(5, routes, services, longIdle))
	w.note("the store has acknowledged version 5: idleTimeoutMs %d, before it %d", longIdle, before)
	wait.Wait()
	ran := map[string]bool{}
	for _, e := range endpoints {
		for _, a := range e.all() {
			ran[a.attempt] = true
		}
	}
	lost, crossed, served := 0, 0, 0
	for _, p := range polls {
		switch {
		case p.status == http.StatusOK:
			served++
		case p.closed && ran[p.attempt]:
			lost++
		case p.closed:
			crossed++
		}
		w.note("second request %s sent %.3f: status %d, closed %v, ran %v %s", p.attempt, p.at.Sub(w.began).Seconds(), p.status, p.closed, ran[p.attempt], p.failed)
	}
	w.note("of %d second requests %d were answered with 200, %d crossed a close and were not passed on", pollers, served, crossed)
	w.note("passed on to a sound endpoint, and the connection closed without an answer: %d; the rule allows %d", lost, lostLimit)
	w.recordAll(nil, endpoints...)
	return lost > lostLimit, nil
}

// pollTwice sends two requests on one connection, with pollInterval between them.
func (w *world) pollTwice(e *entry, number int) poll {
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", e.front)
	if err != nil {
		return poll{failed: err.Error()}
	}
	defer conn.Close() //nolint:errcheck // Nothing is written any more.
	reader := bufio.NewReader(conn)
	if p := ask(conn, reader, fmt.Sprintf("a%015x", number)); p.status != http.StatusOK {
		p.failed = "first request: " + p.failed
		p.closed = false
		return p
	}
	time.Sleep(pollInterval)
	return ask(conn, reader, fmt.Sprintf("b%015x", number))
}

// ask sends a request on a connection and reads the answer.
func ask(conn net.Conn, reader *bufio.Reader, attempt string) poll {
	p := poll{attempt: attempt, at: time.Now()}
	body := strings.Repeat("x", 600)
	_, err := fmt.Fprintf(conn, "POST /desk/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s",
		host, attempt, key, len(body), body)
	if err != nil {
		p.closed, p.failed = true, err.Error()
		return p
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err = reader.Peek(1); err != nil {
		var timeout net.Error
		p.closed = !errors.As(err, &timeout) || !timeout.Timeout()
		p.failed = err.Error()
		return p
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		p.failed = err.Error()
		return p
	}
	defer response.Body.Close() //nolint:errcheck // It has been read.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		p.failed = err.Error()
		return p
	}
	p.status = response.StatusCode
	return p
}
