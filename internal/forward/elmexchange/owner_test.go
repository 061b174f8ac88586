package elmexchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
)

// repeater is an endpoint that refuses the first request on each connection, and writes the
// refusal once more while it runs the second one.
type repeater struct {
	refusal string
	// late is how long after it has received the second request it writes the refusal.
	// With early set, it writes it before.
	late  time.Duration
	early bool
}

func (e repeater) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return listener.Addr().String()
}

func (e repeater) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // The connection is no longer needed.
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Query().Get("refuse") != "" {
			_, _ = io.WriteString(c, fmt.Sprintf(e.refusal, "For: "+r.Header.Get("Id")))
			if e.early {
				<-time.After(20 * time.Millisecond)
				_, _ = io.WriteString(c, fmt.Sprintf(e.refusal, "X: y"))
			}
			continue
		}
		if n > 0 && !e.early {
			<-time.After(e.late)
			_, _ = io.WriteString(c, fmt.Sprintf(e.refusal, r.Header.Get("Again")))
		}
		_, _ = io.WriteString(c, responseText(r.Header.Get("Id"), "ok"))
	}
}

// refusals are framings of a refusal, with a place for the header that names its attempt.
var refusals = map[string]string{
	"without body": "HTTP/1.1 503 Service Unavailable\r\n%s\r\nContent-Length: 0\r\n\r\n",
	"length":       "HTTP/1.1 503 Service Unavailable\r\n%s\r\nContent-Length: 4\r\n\r\nfull",
	"chunks":       "HTTP/1.1 503 Service Unavailable\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
}

// Guards against an earlier refusal that an endpoint writes once more on a kept connection
// and that counts as the response to the next request, which the endpoint runs.
func TestEarlierRefusalIsNoResponse(t *testing.T) {
	for framing, refusal := range refusals {
		for name, c := range map[string]struct {
			repeater
			again  string
			second string
			// unknown is set if nobody can tell whose response it is.
			unknown bool
		}{
			"names no attempt":           {again: "X: y", second: "2", unknown: true},
			"names no attempt, late":     {repeater: repeater{late: 50 * time.Millisecond}, again: "X: y", second: "2", unknown: true},
			"names the earlier attempt":  {again: "For: 1", second: "2"},
			"names the earlier one late": {repeater: repeater{late: 50 * time.Millisecond}, again: "For: 1", second: "2"},
			"names the pending attempt, which the connection carried before": {again: "For: 1", second: "1"},
			"names none, the pending attempt was carried before":             {again: "X: y", second: "1"},
			"arrives before the next request":                                {repeater: repeater{early: true}, second: "2"},
			"request without an attempt":                                     {again: "X: y", second: ""},
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				c.refusal = refusal
				address := c.start(t)
				opened := 0
				x := newClient(&opened)
				first := request("1")
				first.Target, first.Header = "/?refuse=1", http.Header{"Id": {"1"}}
				if got := exchange(t, x, address, first); got.status != http.StatusServiceUnavailable {
					t.Fatalf("got %+v", got)
				}
				if c.early {
					<-time.After(60 * time.Millisecond)
				}
				second := request(c.second)
				second.Header = http.Header{"Id": {c.second}, "Again": {c.again}}
				got := exchange(t, x, address, second)
				if c.unknown && !errors.Is(got.err, elmexchange.ErrNoResponse) || !c.unknown && (got.status != http.StatusOK || got.body != "ok") {
					t.Errorf("got %+v", got)
				}
			})
		}
	}
}

// exchanged is the result of an exchange.
type exchanged struct {
	status int
	body   string
	err    error
}

func exchange(t *testing.T, x *elmexchange.Client, address string, r elmexchange.Request) exchanged {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := x.Do(ctx, address, r)
	if err != nil {
		return exchanged{err: err}
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return exchanged{response.Status, string(body), err}
}
