package elmendpointclient_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// endless sends a head and then bytes until the connection is closed.
func endless(media string, inHead bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() //nolint:errcheck // The client has closed it.
		head := "HTTP/1.1 200 OK\r\nContent-Type: " + media + "\r\n"
		if !inHead {
			head += "\r\n"
		}
		block := strings.Repeat("A", 4096)
		if inHead {
			block = strings.Repeat("A: b\r\n", 700)
		}
		for _, err = io.WriteString(conn, head); err == nil; {
			_, err = io.WriteString(conn, block)
		}
	})
}

// Guards against an agent that runs out of memory because its endpoint sends bytes
// without end, in each place that reads from the endpoint.
func TestEndlessResponses(t *testing.T) {
	call := func(ctx context.Context, c *elmendpointclient.Client) error {
		_, err := c.Call(ctx, &elmwire.Open{Method: "POST", Path: "/orders"}, &recorder{})
		return err
	}
	once := func(ctx context.Context, c *elmendpointclient.Client) error {
		_, err := c.Call(ctx, &elmwire.Open{Method: "POST", Path: "/orders", Once: true}, &recorder{})
		return err
	}
	load := func(ctx context.Context, c *elmendpointclient.Client) error {
		_, err := c.Load(ctx)
		return err
	}
	for name, c := range map[string]struct {
		media  string
		inHead bool
		do     func(context.Context, *elmendpointclient.Client) error
	}{
		"head":                 {inHead: true, do: call},
		"head of a keyed call": {inHead: true, do: once},
		"body":                 {media: "application/json", do: call},
		"event":                {media: "text/event-stream", do: call},
		"load report":          {media: "application/json", do: load},
		"head of a report":     {inHead: true, do: load},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(endless(c.media, c.inHead))
			defer server.Close()
			client := elmendpointclient.New(server.URL)
			defer client.Close()
			start := time.Now()
			if err := c.do(t.Context(), client); err == nil {
				t.Error("no error")
			}
			if elapsed := time.Since(start); elapsed > 3*time.Second {
				t.Errorf("ended after %v", elapsed)
			}
		})
	}
}
