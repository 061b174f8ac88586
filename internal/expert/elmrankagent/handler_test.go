package elmrankagent

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
)

// Guards against an order that is cut at the size limit and forwarded to the rank as
// complete.
func TestLongOrderIsRejected(t *testing.T) {
	var received atomic.Int64
	rank := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		received.Store(n)
		w.WriteHeader(http.StatusAccepted)
	}))
	defer rank.Close()
	for name, c := range map[string]struct {
		size       int
		compressed bool
		status     int
	}{
		"at the limit":                 {size: maxOrderBytes, status: http.StatusAccepted},
		"beyond the limit":             {size: maxOrderBytes + 1, status: http.StatusRequestEntityTooLarge},
		"compressed, at the limit":     {size: maxOrderBytes, compressed: true, status: http.StatusAccepted},
		"compressed, beyond the limit": {size: maxOrderBytes + 1, compressed: true, status: http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			received.Store(-1)
			a := &Agent{settings: platform.Settings{EndpointAddress: strings.TrimPrefix(rank.URL, "http://")}, orders: platform.NewRankClient(5 * time.Second)}
			order := bytes.Repeat([]byte(" "), c.size)
			request := httptest.NewRequest(http.MethodPost, platform.OrderPath, bytes.NewReader(order))
			if c.compressed {
				var b bytes.Buffer
				writer := gzip.NewWriter(&b)
				_, _ = writer.Write(order)
				_ = writer.Close()
				request = httptest.NewRequest(http.MethodPost, platform.OrderPath, &b)
				request.Header.Set("Content-Encoding", "gzip")
			}
			w := httptest.NewRecorder()
			a.handler().ServeHTTP(w, request)
			if w.Code != c.status || (received.Load() == int64(c.size)) != (c.status == http.StatusAccepted) {
				t.Errorf("status %d, want %d; the rank received %d bytes", w.Code, c.status, received.Load())
			}
		})
	}
}

// Guards against a group that stands still because the order to go on waits until the maps of
// other orders have come in.
func TestPlainOrderDoesNotWaitForMaps(t *testing.T) {
	rank := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }))
	defer rank.Close()
	a := &Agent{settings: platform.Settings{EndpointAddress: strings.TrimPrefix(rank.URL, "http://")}, orders: platform.NewRankClient(5 * time.Second)}
	handler := a.handler()
	for range 2 * maxMapCalls {
		body, long := io.Pipe()
		defer long.Close() //nolint:errcheck // The order is cut off.
		go handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, platform.OrderPath, body))
		if _, err := long.Write(make([]byte, maxPlainOrderBytes)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, platform.OrderPath, strings.NewReader(`{"operation":"go","step":7}`)))
	if w.Code != http.StatusAccepted {
		t.Errorf("status %d", w.Code)
	}
}
