package elmlistener_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a request without an answer whose caller uses a connection that is being closed
// as idle, since it does not know for how long it can.
func TestKeepAliveIsAnnounced(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		limit   time.Duration
		request string
		want    string
	}{
		"whole seconds":           {15 * time.Second, head, "timeout=15"},
		"rounded down":            {2900 * time.Millisecond, head, "timeout=2"},
		"less than a second":      {900 * time.Millisecond, head, ""},
		"caller closes":           {15 * time.Second, strings.Replace(head, "Host", "Connection: close\r\nHost", 1), ""},
		"HTTP/1.0":                {15 * time.Second, strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1), ""},
		"HTTP/1.0 and keep-alive": {15 * time.Second, strings.Replace(head, "HTTP/1.1", "HTTP/1.0\r\nConnection: keep-alive", 1), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, func(f *fixture) {
				f.announces = true
				f.limit.Store(int64(c.limit))
			})
			f.send(c.request + body)
			response, err := http.ReadResponse(f.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close() //nolint:errcheck // Only the head is needed.
			if got := response.Header.Get("Keep-Alive"); got != c.want {
				t.Errorf("announced %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a connection that is closed before the time that was announced, because the
// limit is lowered while the response is under way.
func TestAnnouncedKeepAliveHolds(t *testing.T) {
	t.Parallel()
	f := newFixture(t, func(f *fixture) {
		f.limit.Store(int64(time.Second))
		f.block, f.headOut, f.announces = make(chan struct{}), true, true
	})
	f.send(head + body)
	<-f.received
	response, err := http.ReadResponse(f.reader, nil)
	if err != nil || response.Header.Get("Keep-Alive") != "timeout=1" {
		t.Fatalf("got %v, %v", response, err)
	}
	f.limit.Store(0)
	close(f.block)
	_ = response.Body.Close()
	<-time.After(1300 * time.Millisecond) // The lowered limit and the margin of a second have passed.
	f.send(head + body)
	f.expectAnswer()
}
