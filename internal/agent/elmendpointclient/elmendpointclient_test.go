package elmendpointclient_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/stand/elmbody"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// recorder is a sink that keeps the body.
type recorder struct{ body strings.Builder }

func (r *recorder) Head(*elmwire.Head) error { return nil }

func (r *recorder) Data(data []byte, _ time.Duration) error {
	r.body.Write(data)
	return nil
}

const completions = "/v1/chat/completions"

// Guards against a response that ends early being taken for complete when only the end
// of the connection marks its end.
func TestResponsesWithoutFraming(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		media    string
		body     string
		reset    bool
		want     string
		complete bool
	}{
		"complete completion":           {path: completions, body: "data: a\n\ndata: [DONE]\n\n", want: "data: a\n\ndata: [DONE]\n\n", complete: true},
		"end mark with CR":              {path: completions, body: "data: a\r\rdata:[DONE]\r\r", want: "data: a\r\rdata:[DONE]\r\r", complete: true},
		"completion without end mark":   {path: completions, body: "data: a\n\n", want: "data: a\n\n"},
		"end mark inside the text":      {path: completions, body: "data: say [DONE]\n\n", want: "data: say [DONE]\n\n"},
		"ends inside an event":          {path: completions, body: "data: a\n\ndata: [DO", want: "data: a\n\n"},
		"ends before the blank line":    {path: completions, body: "data: a\n\ndata: [DONE]\n", want: "data: a\n\n"},
		"reset between events":          {path: completions, body: "data: a\n\n", reset: true, want: "data: a\n\n"},
		"stream of a plain service":     {path: "/log", body: "data: a\n\n", want: "data: a\n\n", complete: true},
		"plain service, inside event":   {path: "/log", body: "data: a\n\nda", want: "data: a\n\n"},
		"media type with capitals":      {path: "/log", media: "Text/Event-Stream;charset=utf-8", body: "data: a\n\nda", want: "data: a\n\n"},
		"complete body":                 {path: "/orders", media: "application/json", body: "{}", want: "{}", complete: true},
		"body reset before it complete": {path: "/orders", media: "application/json", body: "{", reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				media := c.media
				if media == "" {
					media = "text/event-stream"
				}
				w.Header().Set("Content-Type", media)
				b := elmbody.NewUnframed(w)
				_, _ = io.WriteString(b, c.body)
				if c.reset {
					b.Abort()
				}
				b.Close()
			}))
			defer server.Close()
			client := elmendpointclient.New(server.URL)
			defer client.Close()
			var sink recorder
			_, err := client.Call(t.Context(), &elmwire.Open{Method: http.MethodPost, Path: c.path, Once: true}, &sink)
			if errors.Is(err, elmendpointclient.ErrEndpoint) == c.complete || sink.body.String() != c.want {
				t.Errorf("error %v, body %q", err, sink.body.String())
			}
		})
	}
}

// Guards against a status that promises that a request has not run, of an endpoint that has
// run it, and that reaches the caller as the answer.
func TestRequestThatRanIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		status string
		// once and idempotent are the errors for requests of these kinds.
		once, idempotent error
	}{
		"request timeout":     {"408 Request Timeout", elmendpointclient.ErrRefused, elmendpointclient.ErrRefused},
		"misdirected request": {"421 Misdirected Request", elmendpointclient.ErrRefused, elmendpointclient.ErrRefused},
		"too many requests":   {"429 Too Many Requests", elmendpointclient.ErrRefused, elmendpointclient.ErrRefused},
		"service unavailable": {"503 Service Unavailable", elmendpointclient.ErrRefused, elmendpointclient.ErrRefused},
		"another failure":     {"500 Internal Server Error", nil, elmendpointclient.ErrRefused},
		"not found":           {"404 Not Found", nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			client := serveText(t, elmscript.Response(c.status, "no", "Content-Length: 2"))
			for once, want := range map[bool]error{true: c.once, false: c.idempotent} {
				var got recorder
				_, err := client.Call(t.Context(), &elmwire.Open{Method: "POST", Path: "/orders", Once: once}, &got)
				if !errors.Is(err, want) || (want != nil) != (got.body.Len() == 0) {
					t.Errorf("once %v: error %v, body %q", once, err, got.body.String())
				}
			}
		})
	}
}
