package elmrouter_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
)

// longBody is longer than the socket buffers of a connection with segments of segmentSize,
// which are shorter than those of the loopback interface.
const (
	longBody    = 1 << 20
	segmentSize = 1400
)

// addSilent starts endpoints that fall silent and go on, as the query of each request says.
// It returns the number of requests that they receive.
func (f *fixture) addSilent(ids ...string) *atomic.Int32 {
	f.t.Helper()
	received := &atomic.Int32{}
	f.slots = 100
	for _, id := range ids {
		short := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
			})
		}}
		listener, err := short.Listen(f.t.Context(), "tcp4", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = listener.Close() })
		go acceptSilent(listener, received)
		f.addresses[id] = listener.Addr().String()
		f.listEndpoint(id, "ready")
	}
	f.eventually("listed", func() bool { return strings.Count(f.log.String(), `"endpoint listed"`) >= len(ids) })
	return received
}

// acceptSilent serves the connections of an endpoint.
func acceptSilent(listener net.Listener, received *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveSilently(conn, received)
	}
}

// Places at which an endpoint falls silent.
const (
	beforeReading = "before the body is read"
	beforeHead    = "before the head"
	afterHead     = "after the head"
	insideBody    = "inside the body"
	// beforeReadingRest is insideBody with a request that is read only after that.
	beforeReadingRest = "inside the body, which is ahead of the request"
)

// resetKey is a request of a test.
type resetKey struct {
	received *atomic.Int32
	target   string
}

// resets holds the requests that have come. One that is reset is served if it comes again.
var resets sync.Map

// serveSilently serves the requests of a connection.
func serveSilently(conn net.Conn, received *atomic.Int32) {
	defer conn.Close() //nolint:errcheck // The connection is no longer needed.
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		place := r.URL.Query().Get("at")
		silence, _ := time.ParseDuration(r.URL.Query().Get("for"))
		if received.Add(1) > 1 && r.URL.Query().Has("once") {
			silence = 0
		}
		reset := r.URL.Query().Get("then") == "reset"
		if _, again := resets.LoadOrStore(resetKey{received, r.RequestURI}, true); reset && again {
			reset, silence = false, 0
		}
		isSilentAt := func(places ...string) {
			for _, p := range places {
				if p == place {
					<-time.After(silence)
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
					}
				}
			}
		}
		isSilentAt(beforeReading)
		if place != beforeReadingRest {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		isSilentAt(beforeHead)
		head, parts := "", []string{"ans", "wer"}
		if strings.HasPrefix(r.URL.Path, "/s") {
			head, parts = streamLine+"\r\n", []string{"id: 1\ndata: event 1\n\n", "id: 2\ndata: event 2\n\n"}
			if r.Header.Get("Last-Event-Id") == "1" {
				parts = []string{parts[1], ""}
			}
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s\r\n%sContent-Length: %d\r\n\r\n", r.Header.Get("Attempt-Id"), sealLine, head, len(parts[0]+parts[1]))
		isSilentAt(afterHead)
		_, _ = io.WriteString(conn, parts[0])
		isSilentAt(insideBody, beforeReadingRest)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, parts[1])
	}
}

// silentRequest is a request whose endpoint falls silent.
type silentRequest struct {
	route, place string
	silence      time.Duration
}

// wholeAnswer returns the whole answer to a request on a route.
func wholeAnswer(route string) string {
	if strings.HasPrefix(route, "/s") {
		return firstEvents
	}
	return "answer"
}

// expectWhole sends a request and reports an error unless the answer is whole.
func (f *fixture) expectWhole(t *testing.T, s silentRequest) {
	t.Helper()
	size := 10
	if strings.Contains(s.place, beforeReading) || strings.Contains(s.place, beforeReadingRest) {
		size = longBody
	}
	target := s.route + "a?for=" + s.silence.String() + "&at=" + strings.ReplaceAll(s.place, " ", "+")
	began := time.Now()
	got := f.call(t.Context(), "POST", target, strings.Repeat("x", size), map[string]string{
		"Deadline-Ms": "20000", "Attempt-Id": target,
	})
	if got.err != nil || got.status != http.StatusOK || got.body != wholeAnswer(s.route) {
		t.Errorf("%+v: got %d, %q, %v after %v; log:\n%s", s, got.status, got.body, got.err, time.Since(began), f.log)
	}
}

// silentConfiguration returns a configuration for silent endpoints, with replacements of
// parts of its text.
func silentConfiguration(version int, replacements ...string) []byte {
	replacements = append(replacements, `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, longBody),
		`"timeoutMs":1500`, `"timeoutMs":20000`, `"timeoutMs":5000`, `"timeoutMs":20000`)
	return []byte(strings.NewReplacer(replacements...).Replace(string(configuration(version, credential))))
}

// configure puts a configuration in force.
func (f *fixture) configure(version int, document []byte) {
	f.t.Helper()
	f.store.Put("op/config", document)
	f.eventually("configured", func() bool { return strings.Contains(f.log.String(), fmt.Sprintf(`"version":%d`, version)) })
}

// besideSilence are events while requests wait for silent endpoints.
var besideSilence = map[string]func(*fixture){
	"nothing": func(*fixture) {},
	"timeout": func(f *fixture) {
		f.configure(3, bytes.ReplaceAll(silentConfiguration(3), []byte("20000"), []byte("100")))
	},
	"route": func(f *fixture) {
		f.configure(3, silentConfiguration(3, `"host":"curb.example"`, `"host":"elsewhere"`))
	},
	"weights": func(f *fixture) {
		f.configure(3, silentConfiguration(3, `"service":"desk"`, `"trafficSplit":[{"service":"desk","weight":1},{"service":"new","weight":9}]`))
	},
	"idle limit": func(f *fixture) {
		f.configure(3, silentConfiguration(3, `"idleTimeoutMs":5000`, `"idleTimeoutMs":100`))
	},
	"workspace key":     func(f *fixture) { f.configure(3, silentConfiguration(3, credential, "other")) },
	"endpoint leaves":   func(f *fixture) { f.store.Delete("servers/e1") },
	"endpoint is added": func(f *fixture) { f.addSilent("e2") },
}

// Guards against requests that are ended, although their time is not over, because a sound
// endpoint is silent for a while, beside changes of the configuration.
func TestSilenceOfSoundEndpoints(t *testing.T) {
	var requests []silentRequest
	for _, route := range []string{"/once/", "/again/", "/single/", "/stream/"} {
		for _, place := range []string{beforeHead, afterHead, insideBody} {
			for _, silence := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
				requests = append(requests, silentRequest{route, place, silence})
			}
		}
	}
	for _, place := range []string{beforeReading, beforeReadingRest} {
		requests = append(requests, silentRequest{"/again/", place, 1800 * time.Millisecond}, silentRequest{"/stream/", place, 1800 * time.Millisecond})
	}
	for beside, change := range besideSilence {
		for _, ids := range [][]string{{"e0"}, {"e0", "e1"}} {
			t.Run(fmt.Sprintf("%s, %d endpoints", beside, len(ids)), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 0, nil)
				f.configure(2, silentConfiguration(2))
				received := f.addSilent(ids...)
				var waiting sync.WaitGroup
				for _, s := range requests {
					waiting.Go(func() { f.expectWhole(t, s) })
				}
				f.eventually("received", func() bool { return int(received.Load()) >= len(requests) })
				change(f)
				waiting.Wait()
			})
		}
	}
}

// Guards against a request that is refused because the only endpoint, which is sound, is
// late to accept its connection.
func TestLateToAccept(t *testing.T) {
	for _, route := range []string{"/once/", "/again/", "/single/", "/stream/"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, nil)
			f.configure(2, silentConfiguration(2))
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close() //nolint:errcheck // Nothing depends on it.
			raw, _ := listener.(*net.TCPListener).SyscallConn()
			_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
			f.addresses["e0"] = listener.Addr().String()
			f.listEndpoint("e0", "ready")
			f.eventually("listed", func() bool { return strings.Contains(f.log.String(), `"endpoint listed"`) })
			for err == nil { // Until the queue is full.
				var conn net.Conn
				if conn, err = net.DialTimeout("tcp4", f.addresses["e0"], 50*time.Millisecond); err == nil {
					defer conn.Close() //nolint:errcheck // Nothing depends on it.
				}
			}
			time.AfterFunc(300*time.Millisecond, func() { acceptSilent(listener, &atomic.Int32{}) })
			f.expectWhole(t, silentRequest{route: route})
		})
	}
}

// Guards against requests that wait for an unreachable endpoint until callers give up,
// although another one is there.
func TestSilentEndpointIsLeft(t *testing.T) {
	for _, route := range []string{"/again/", "/stream/"} {
		for _, place := range []string{beforeReading, beforeReadingRest} {
			if route == "/again/" && place == beforeReadingRest {
				continue // It can't be continued elsewhere.
			}
			t.Run(route+" "+place, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 0, nil)
				f.configure(2, silentConfiguration(2))
				f.addSilent("e0", "e1")
				began := time.Now()
				f.expectWhole(t, silentRequest{route, place + "&once", 5 * time.Second})
				if elapsed := time.Since(began); elapsed > 3*time.Second {
					t.Errorf("answered after %v", elapsed)
				}
			})
		}
	}
}

// Guards against a request that is ended in a silence because it could have been sent
// elsewhere when its attempt began.
func TestSilenceWithNowhereToGo(t *testing.T) {
	for name, c := range map[string]struct {
		ids    []string
		budget float64
		beside func(*fixture)
	}{
		"one endpoint":          {[]string{"e0"}, 90, func(*fixture) {}},
		"the other one leaves":  {[]string{"e0", "e1"}, 90, func(f *fixture) { f.store.Delete("servers/e1") }},
		"retry budget is spent": {[]string{"e0", "e1"}, 0, func(*fixture) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryBurst = 0, c.budget })
			f.configure(2, silentConfiguration(2))
			received := f.addSilent(c.ids...)
			<-time.After(settleTime + time.Second) // The entry uses its share of the budget.
			var waiting sync.WaitGroup
			for _, route := range []string{"/again/", "/stream/"} {
				for _, place := range []string{beforeReading, beforeReadingRest} {
					waiting.Go(func() { f.expectWhole(t, silentRequest{route, place, 1800 * time.Millisecond}) })
				}
			}
			f.eventually("received", func() bool { return received.Load() >= 4 })
			c.beside(f)
			waiting.Wait()
		})
	}
}

// Guards against more requests that leave a silent endpoint together than the retry budget, or
// the slots elsewhere, have room for: the others must wait for the endpoint.
func TestSilenceOfManyRequests(t *testing.T) {
	for name, c := range map[string]struct {
		burst    float64
		requests int
		slots    int
	}{
		"few retries for two endpoints": {burst: 6, requests: 10, slots: 100},
		"few slots elsewhere":           {burst: 900, requests: 24, slots: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryBurst = 0, c.burst })
			f.configure(2, silentConfiguration(2))
			f.addSilent("e0", "e1")
			f.slots = c.slots
			f.listEndpoint("e1", "ready")
			<-time.After(settleTime + time.Second)
			target := "/again/a?for=2500ms&at=" + strings.ReplaceAll(beforeReading, " ", "+")
			var waiting sync.WaitGroup
			for i := range c.requests {
				waiting.Go(func() {
					began := time.Now()
					got := f.call(t.Context(), "POST", fmt.Sprintf("%s&n=%d", target, i), strings.Repeat("x", longBody),
						map[string]string{"Deadline-Ms": "20000", "Attempt-Id": fmt.Sprint("n", i)})
					if got.err != nil || got.status != http.StatusOK || got.body != "answer" {
						t.Errorf("request %d: status %d, %q, error %v after %v", i, got.status, got.body, got.err, time.Since(began))
					}
				})
			}
			waiting.Wait()
		})
	}
}
