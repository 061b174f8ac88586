package elmrouter_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

// Guards against a kept connection that is closed as idle while a request on it is being
// read or has been passed on (review/1).
func TestRequestAtTheIdleLimit(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.store.Put("op/config", bytes.Replace(configuration(2, credential), []byte(`"idleTimeoutMs":5000`), []byte(`"idleTimeoutMs":100`), 1))
	f.eventually("updated", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
	conn, reader := f.dialCaller()
	for i, pause := range []time.Duration{0, 1500 * time.Millisecond} {
		request := rawRequest("/once/a", fmt.Sprintf("a%d", i), "1500")
		_, _ = io.WriteString(conn, request[:20])
		<-time.After(pause)
		_, _ = io.WriteString(conn, request[20:])
		if got := readResult(reader); got.err != nil || got.body != "answer of e0" {
			t.Errorf("request %d: got %+v", i, got)
		}
	}
}

// stopAndPass stops the router and waits until it counts as stopping for a time.
func (f *fixture) stopAndPass(elapsed time.Duration) {
	f.t.Helper()
	f.stop()
	f.eventually("stopping", func() bool { return strings.Contains(f.log.String(), "process is draining") })
	<-time.After(elapsed)
}

// Guards against requests that a stopping router reads and leaves without an answer, or passes
// on although it can't wait for their end.
func TestStop(t *testing.T) {
	t.Parallel()
	const afterListening = 3 * time.Second // Later than the close of the listening socket.
	for name, c := range map[string]struct {
		grace time.Duration
		run   func(*testing.T, *fixture)
	}{
		"head is being read": {5500 * time.Millisecond, func(t *testing.T, f *fixture) {
			conn, reader := f.dialCaller()
			request := rawRequest("/once/a", "a1", "1500")
			_, _ = io.WriteString(conn, request[:20])
			f.stopAndPass(afterListening)
			_, _ = io.WriteString(conn, request[20:])
			got := readResult(reader)
			if got.err != nil || got.status != http.StatusOK {
				t.Errorf("got %+v", got)
			}
			if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection is still open: %v", err)
			}
		}},
		"request that can't be finished": {5500 * time.Millisecond, func(t *testing.T, f *fixture) {
			conn, reader := f.dialCaller()
			request := rawRequest("/single/a?stream=1&pause=800", "a1", "5000")
			_, _ = io.WriteString(conn, request[:20])
			f.stopAndPass(afterListening)
			_, _ = io.WriteString(conn, request[20:])
			got := readResult(reader)
			if got.err != nil || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("got %+v", got)
			}
			if n := len(f.runs()); n > 0 {
				t.Errorf("%d requests reached endpoints", n)
			}
		}},
		"body is being read at the end": {3500 * time.Millisecond, func(t *testing.T, f *fixture) {
			conn, reader := f.dialCaller()
			_, _ = io.WriteString(conn, rawUpload("/single/a", "20000", 2)+"a")
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			f.stop()
			if got := readResult(reader); got.err != nil || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("got %+v", got)
			}
		}},
		"body is sent on over the end": {5 * time.Second, func(t *testing.T, f *fixture) {
			conn, reader := f.dialCaller()
			_, _ = io.WriteString(conn, rawUpload("/single/a", "20000", 1000)+"a")
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			f.stop()
			go func() {
				for range time.Tick(50 * time.Millisecond) {
					if _, err := io.WriteString(conn, "a"); err != nil {
						return
					}
				}
			}()
			if got := readResult(reader); got.err != nil || got.status != http.StatusServiceUnavailable {
				t.Errorf("got %+v", got)
			}
			f.eventually("stopped", func() bool { return strings.Contains(f.log.String(), "process stopped") })
			if strings.Contains(f.log.String(), "still in flight") {
				t.Errorf("the process ends before its connections do; log:\n%s", f.log)
			}
		}},
		"request without an answer at the end": {3500 * time.Millisecond, func(t *testing.T, f *fixture) {
			f.next(stand.Hang)
			conn, reader := f.dialCaller()
			_, _ = io.WriteString(conn, rawRequest("/single/a", "a1", "20000"))
			f.eventually("sent", func() bool { return len(f.runs()) > 0 })
			f.stop()
			if got := readResult(reader); got.err != nil || got.status != http.StatusGatewayTimeout {
				t.Errorf("got %+v", got)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.run(t, newFixture(t, 1, func(s *platform.Settings) { s.Bounds.Grace = c.grace }))
		})
	}
}

// Guards against a request without an answer whose body does not come in, whether it is
// admitted or refused.
func TestBodyThatStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	for name, c := range map[string]struct {
		target string
		sent   string
		status int
	}{
		"admitted":                   {"/once/a", "a", http.StatusRequestTimeout},
		"unknown route":              {"/none/a", "a", http.StatusNotFound},
		"admitted, nothing sent":     {"/once/a", "", http.StatusRequestTimeout},
		"route without a time limit": {"/open/a", "a", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, reader := f.dialCaller()
			_, _ = io.WriteString(conn, rawUpload(c.target, "1000", 2)+c.sent)
			_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			got := readResult(reader)
			if got.err != nil || got.status != c.status {
				t.Fatalf("got %+v", got)
			}
			if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection is still open: %v", err)
			}
		})
	}
}

// Guards against requests that are cancelled, without an answer, because their bodies end in the
// moment in which a stopping router ceases to read bodies.
func TestBodiesAtTheirEnd(t *testing.T) {
	const (
		callers    = 100
		bodiesEnd  = 3400 * time.Millisecond // lastBodyTime and graceMargin before the end of the grace.
		uploadSize = 300_000
	)
	f := newFixture(t, 0, func(s *platform.Settings) { s.Bounds.Grace = 5 * time.Second })
	f.configure(2, silentConfiguration(2, `"maxConnections":10`, `"maxConnections":1000`))
	f.addSilent("e0")
	begin := make(chan struct{})
	var sending sync.WaitGroup
	for i := range callers {
		conn, reader := f.dialCaller()
		upload := rawUpload(fmt.Sprintf("/once/a?at=before+the+head&for=200ms&n=%d", i), "1000", uploadSize) + strings.Repeat("x", uploadSize)
		_, _ = io.WriteString(conn, upload[:20])
		sending.Go(func() {
			<-begin
			<-time.After(bodiesEnd + time.Duration(i-callers/2)*time.Millisecond)
			_, _ = io.WriteString(conn, upload[20:])
			if outcome, err := readOutcome(reader, "answer"); !slices.Contains([]string{whole, "503", "504"}, outcome) {
				t.Errorf("request %d: %s, %v", i, outcome, err)
			}
		})
	}
	f.stop()
	close(begin)
	sending.Wait()
}

// Guards against a change of the configuration that leaves a request without an answer whose
// body is still coming in. The configuration at the end of its head holds for it.
func TestChangeWhileABodyIsRead(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ from, to string }{
		"route is taken away":       {`"prefix":"/once/"`, `"prefix":"/gone/"`},
		"key is revoked":            {`"apiKeys":["` + credential + `"]`, `"apiKeys":["other"]`},
		"limit of bodies falls":     {`"maxBodyBytes":1000`, `"maxBodyBytes":1`},
		"limit of heads falls":      {`"maxHeaderBytes":4096`, `"maxHeaderBytes":10`},
		"idle limit falls":          {`"idleTimeoutMs":5000`, `"idleTimeoutMs":1`},
		"time limit of route falls": {`"timeoutMs":1500`, `"timeoutMs":1`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, nil)
			conn, reader := f.dialCaller()
			_, _ = io.WriteString(conn, rawUpload("/once/a", "1500", 2)+"a")
			<-time.After(50 * time.Millisecond) // The head is read.
			changed := bytes.ReplaceAll(configuration(2, credential), []byte(c.from), []byte(c.to))
			if bytes.Equal(changed, configuration(2, credential)) {
				t.Fatalf("the configuration has no %s", c.from)
			}
			f.store.Put("op/config", changed)
			f.eventually("updated", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
			_, _ = io.WriteString(conn, "a")
			if got := readResult(reader); got.err != nil || got.status != http.StatusOK || len(f.runs()) != 1 {
				t.Errorf("got %+v", got)
			}
		})
	}
}
