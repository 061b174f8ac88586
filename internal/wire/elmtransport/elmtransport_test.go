package elmtransport_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmhead"
	"github.com/elmcove/elmcove/internal/wire/elmtransport"
)

// get returns the bodies of the responses to requests that are sent one after the other.
func get(t *testing.T, requests int, script func(elmscript.Exchange) bool) ([]string, error) {
	t.Helper()
	addresses, err := elmscript.Serve(t.Context(), 1, script)
	if err != nil {
		t.Fatal(err)
	}
	transport := elmtransport.New(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	var bodies []string
	for range requests {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addresses[0], http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			return bodies, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // It was read to its end.
		if err != nil {
			return bodies, err
		}
		bodies = append(bodies, string(body))
	}
	return bodies, nil
}

const (
	ok      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
)

// Guards against a response whose head is malformed and that net/http accepts.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                      "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nhi",
		"status 600":                      "HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nhi",
		"status with a sign":              "HTTP/1.1 +20 None\r\nContent-Length: 2\r\n\r\nhi",
		"status 000 before a sound one":   "HTTP/1.1 000 None\r\n\r\n" + ok,
		"space after a name":              "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi",
		"space before a name":             "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nhi",
		"control byte in a name":          "HTTP/1.1 200 OK\r\nX\x01: y\r\nContent-Length: 2\r\n\r\nhi",
		"space in an interim response":    "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + ok,
		"space in a trailer":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX : y\r\n\r\n",
		"status 000 after an interim one": interim + "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			bodies, err := get(t, 2, func(x elmscript.Exchange) bool {
				text := ok
				if x.Number == 2 {
					text = response
				}
				_, _ = io.WriteString(x, text)
				return true
			})
			if !errors.Is(err, elmhead.ErrMalformed) || len(bodies) != 1 || bodies[0] != "hi" {
				t.Errorf("got %q, error %v", bodies, err)
			}
		})
	}
}

// Guards against the body of a response that is checked as if it were a head.
func TestWellFormedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"length":           ok,
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n",
		"interim":          interim + interim + ok,
		"a head as a body": "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nHTTP/1.1 000 None\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			onConnection := 0
			bodies, err := get(t, 3, func(x elmscript.Exchange) bool {
				onConnection = x.OnConnection
				for _, b := range []byte(response) {
					_, _ = x.Write([]byte{b})
				}
				return true
			})
			if err != nil || len(bodies) != 3 || onConnection != 3 {
				t.Errorf("got %q, error %v, %d on one connection", bodies, err, onConnection)
			}
		})
	}
}

// Guards against responses that are not validated because they come over TLS.
func TestResponsesOverTLS(t *testing.T) {
	for name, c := range map[string]struct {
		response  string
		malformed bool
	}{
		"status 000":         {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nhi", true},
		"space after a name": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi", true},
		"well formed":        {interim + ok, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				hijacked, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer hijacked.Close() //nolint:errcheck // The response was written.
				_, _ = io.WriteString(hijacked, c.response)
			}))
			defer server.Close()
			options, _ := server.Client().Transport.(*http.Transport)
			client := &http.Client{Transport: elmtransport.New(options), Timeout: 10 * time.Second}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Do(request)
			if errors.Is(err, elmhead.ErrMalformed) != c.malformed || (err == nil) == c.malformed {
				t.Errorf("error %v", err)
			}
			if err != nil {
				return
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close() // It was read to its end.
			if err != nil || string(body) != "hi" {
				t.Errorf("got %q, error %v", body, err)
			}
		})
	}
}
