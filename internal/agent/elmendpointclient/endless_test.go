package elmendpointclient_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Guards against an agent that runs out of memory because its endpoint sends bytes
// without end, in each place that reads from the endpoint.
func TestEndlessResponses(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		json   = ok + "Content-Type: application/json\r\n"
		events = ok + "Content-Type: text/event-stream\r\n"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
	)
	calls := map[string]func(context.Context, *elmendpointclient.Client) error{
		"call": func(ctx context.Context, c *elmendpointclient.Client) error {
			_, err := c.Call(ctx, &elmwire.Open{Method: "POST", Path: "/orders"}, &recorder{})
			return err
		},
		"keyed call": func(ctx context.Context, c *elmendpointclient.Client) error {
			_, err := c.Call(ctx, &elmwire.Open{Method: "POST", Path: "/orders", Once: true}, &recorder{})
			return err
		},
		"load report": func(ctx context.Context, c *elmendpointclient.Client) error {
			_, err := c.Load(ctx)
			return err
		},
	}
	for name, r := range map[string]struct{ first, repeated string }{
		"status line":        {"HTTP/1.1 200 ", "x"},
		"head":               {ok, "A: b\r\n"},
		"header line":        {ok + "A: ", "x"},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"body":               {json + "\r\n", "x"},
		"declared length":    {json + "Content-Length: 99999999999\r\n\r\n", "x"},
		"failure":            {"HTTP/1.1 503 Busy\r\n\r\n", "x"},
		"chunks":             {json + chunks, "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		"chunk extension":    {json + chunks + "1;", "x"},
		"trailer":            {json + chunks + "0\r\nA: ", "x"},
		"line of an event":   {events + "\r\n", "A"},
		"lines of an event":  {events + "\r\n", "a\n"},
		"chunks of an event": {events + chunks, "1\r\nA\r\n"},
	} {
		for call, do := range calls {
			t.Run(call+", "+name, func(t *testing.T) {
				t.Parallel()
				client := serve(t, func(x elmscript.Exchange) bool {
					_, err := io.WriteString(x, r.first)
					for block := strings.Repeat(r.repeated, 4096); err == nil; {
						_, err = io.WriteString(x, block)
					}
					return false
				}).WithBudget(elmbounded.NewBudget(4 << 20))
				start := time.Now()
				if err := do(t.Context(), client); err == nil {
					t.Error("no error")
				}
				if elapsed := time.Since(start); elapsed > 3*time.Second {
					t.Errorf("ended after %v", elapsed)
				}
			})
		}
	}
}
