package elmstore_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// Guards against a process that runs out of memory because what answers at the address of
// the key-value service sends a head or a body without end.
func TestResponsesWithoutEnd(t *testing.T) {
	const ok, media = "HTTP/1.1 200 OK\r\n", "Content-Type: application/json\r\n"
	responses := map[string]struct{ first, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"head":              {ok, "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"body":              {ok + media + "\r\n", " "},
		"value":             {ok + media + "\r\n" + `{"version":1,"data":"`, "YWFh"},
		"list":              {ok + media + "\r\n" + `{"version":1,"instances":[1`, ",1"},
		"chunks":            {ok + media + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n        \r\n"},
		"declared length":   {ok + media + "Content-Length: 99999999999\r\n\r\n", " "},
		"failure":           {"HTTP/1.1 503 Busy\r\n" + media + "\r\n", " "},
	}
	for call, do := range map[string]func(context.Context, *elmstore.Store) error{
		"watch": func(ctx context.Context, s *elmstore.Store) error {
			_, err := s.Watch(ctx, "k", 1, time.Second)
			return err
		},
		"swap": func(ctx context.Context, s *elmstore.Store) error { _, err := s.Swap(ctx, "k", 1, nil); return err },
		"watch instances": func(ctx context.Context, s *elmstore.Store) error {
			_, err := s.WatchInstances(ctx, nil, 1, time.Second)
			return err
		},
		"lease": func(ctx context.Context, s *elmstore.Store) error {
			_, err := s.SwapWithLease(ctx, "k", 1, nil, 1, time.Hour)
			return err
		},
	} {
		for name, r := range responses {
			t.Run(call+", "+name, func(t *testing.T) {
				var sent atomic.Int64
				addresses, err := elmscript.Serve(t.Context(), 1, func(x elmscript.Exchange) bool {
					_, err := io.WriteString(x, r.first)
					for block := strings.Repeat(r.repeated, 1+(8<<10)/len(r.repeated)); err == nil; {
						var n int
						n, err = io.WriteString(x, block)
						sent.Add(int64(n))
					}
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				store, err := elmstore.New("http://" + addresses[0])
				if err != nil {
					t.Fatal(err)
				}
				if err := do(t.Context(), store); !errors.Is(err, elmstore.ErrUnavailable) {
					t.Errorf("error %v, want ErrUnavailable", err)
				}
				// A swap reads back, and the buffers of each connection take up to 36 MiB.
				if n := sent.Load() >> 20; n > 2*(16+36) {
					t.Errorf("%d MiB sent", n)
				}
			})
		}
	}
}
