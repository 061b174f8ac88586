package elmbody

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// dripInterval is the time between two parts of a response that drips.
const dripInterval = 50 * time.Millisecond

// endless is a response without end.
type endless struct {
	// first is sent once, and repeated until the connection is closed.
	first, repeated string
	// drips means that repeated is sent at dripInterval.
	drips bool
}

// endlessResponses returns the responses of WriteEndless by name.
func endlessResponses() map[string]endless {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		events = ok + "Content-Type: text/event-stream\r\n\r\n"
		block  = 64 << 10
		// almost is what a body may be long for an agent that keeps 4 MiB of it.
		almost = 4<<20 - block
	)
	var head strings.Builder
	for n := range 5000 {
		fmt.Fprintf(&head, "H%d: a\r\n", n)
	}
	return map[string]endless{
		"head":           {first: ok, repeated: strings.Repeat("A: b\r\n", block/6)},
		"interim":        {repeated: strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", block/34)},
		"body":           {first: ok + "\r\n", repeated: strings.Repeat("x", block)},
		"document":       {first: ok + "Content-Type: application/json\r\n\r\n{\"version\":1,\"data\":\"", repeated: strings.Repeat("YWFh", block/4)},
		"failure":        {first: "HTTP/1.1 503 Busy\r\n\r\n", repeated: strings.Repeat("x", block)},
		"event":          {first: events, repeated: strings.Repeat("data: x\n", block/8)},
		"stream":         {first: events, repeated: strings.Repeat("data: x\n\n", block/9)},
		"dripping body":  {first: ok + "\r\n" + strings.Repeat("x", almost), repeated: "x", drips: true},
		"dripping event": {first: events + strings.Repeat("a\n", block), repeated: "a\n", drips: true},
		"large head":     {first: ok + head.String() + "\r\n", repeated: "x", drips: true},
	}
}

// WriteEndless answers a request with the named response until the caller closes the
// connection. It reports whether there is such a response.
func WriteEndless(w http.ResponseWriter, name string) bool {
	response, ok := endlessResponses()[name]
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close() //nolint:errcheck // The caller has closed it.
	for _, err = io.WriteString(conn, response.first); err == nil; {
		if response.drips {
			time.Sleep(dripInterval)
		}
		_, err = io.WriteString(conn, response.repeated)
	}
	return true
}
