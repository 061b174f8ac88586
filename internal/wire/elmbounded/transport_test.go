package elmbounded_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
)

// serve starts an endpoint that writes a text and then repeats another one until the
// connection is closed. It returns a client with limits and the URL of the endpoint.
func serve(t *testing.T, first, repeated string) (client *http.Client, url string) {
	t.Helper()
	addresses, err := elmscript.Serve(t.Context(), 1, func(x elmscript.Exchange) bool {
		_, err := io.WriteString(x, first)
		for block := strings.Repeat(repeated, 4096); err == nil && repeated != ""; {
			_, err = io.WriteString(x, block)
		}
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	transport := elmbounded.NewTransport(&http.Transport{}, 1024, 4)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}, "http://" + addresses[0]
}

// fetch returns the status and the body of a response.
func fetch(t *testing.T, client *http.Client, url string) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	document, err := io.ReadAll(response.Body)
	return response.StatusCode, string(document), err
}

// Guards against a process that keeps a response without end, wherever it is endless.
func TestResponseWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		first, repeated string
		status          int
	}{
		"status line":       {first: "HTTP/1.1 200 ", repeated: "x"},
		"header line":       {first: ok + "A: ", repeated: "x"},
		"header lines":      {first: ok, repeated: "A: b\r\n"},
		"no response":       {repeated: "\x00"},
		"interim responses": {repeated: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"body":              {first: ok + "\r\n", repeated: "x", status: 200},
		"declared body":     {first: ok + "Content-Length: 99999999999\r\n\r\n", repeated: "x", status: 200},
		"body of a failure": {first: "HTTP/1.1 503 Busy\r\n\r\n", repeated: "x", status: 503},
		"chunks":            {first: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n", status: 200},
		"chunk extension":   {first: ok + "Transfer-Encoding: chunked\r\n\r\n1;", repeated: "x", status: 200},
		"trailer":           {first: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", repeated: "x", status: 200},
		"trailers":          {first: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "A: b\r\n", status: 200},
		"other protocol":    {first: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n", repeated: "x", status: 101},
	} {
		t.Run(name, func(t *testing.T) {
			client, url := serve(t, c.first, c.repeated)
			status, body, err := fetch(t, client, url)
			if err == nil || status != c.status || len(body) > 4 {
				t.Errorf("status %d, body of %d bytes, error %v", status, len(body), err)
			}
		})
	}
}

// Guards against a body that is cut at the limit and taken for complete.
func TestBodyAtTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"empty":        {},
		"at the limit": {body: "1234"},
		"beyond":       {body: "12345", want: elmbounded.ErrTooLong},
	} {
		for framing, lines := range map[string][]string{
			"close":  {"Connection: close"},
			"length": {fmt.Sprintf("Content-Length: %d", len(c.body))},
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				client, url := serve(t, elmscript.Response("200 OK", c.body, lines...), "")
				_, body, err := fetch(t, client, url)
				if !errors.Is(err, c.want) || err == nil && body != c.body {
					t.Errorf("body %q, error %v", body, err)
				}
			})
		}
	}
}
