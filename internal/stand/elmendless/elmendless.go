// Package elmendless stands in for a faulty HTTP server that answers each request with bytes
// without end, and measures what a caller allocates meanwhile.
//
// # Usage
//
//	for name, answer := range elmendless.Answers() {
//		address, err := elmendless.Serve(ctx, "127.0.0.1:0", answer)
//		allocated := elmendless.Allocated(func() { _ = call(address) })
//	}
package elmendless

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"runtime"
	"strings"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// blockBytes is the size of the blocks that are written.
const blockBytes = 32 << 10

// Answer is an answer without end. It is an http.Handler.
type Answer struct {
	// First is written once, and Repeated after it until the caller closes.
	First, Repeated string
}

// Answers returns answers that are wrong for each client, by name.
func Answers() map[string]Answer {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]Answer{
		"no status line":     {Repeated: "x"},
		"status line":        {First: "HTTP/1.1 200 ", Repeated: "x"},
		"head":               {First: ok, Repeated: "A: b\r\n"},
		"empty head lines":   {First: ok, Repeated: "A:\r\n"},
		"head line":          {First: ok + "A: ", Repeated: "x"},
		"continued line":     {First: ok + "A: b\r\n", Repeated: " c\r\n"},
		"interim responses":  {Repeated: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"body":               {First: ok + "\r\n", Repeated: "x"},
		"body with length":   {First: ok + "Content-Length: 1000000000000\r\n\r\n", Repeated: "x"},
		"body of an error":   {First: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Repeated: "x"},
		"chunks":             {First: ok + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "20\r\n" + strings.Repeat("x", 32) + "\r\n"},
		"chunk extension":    {First: ok + "Transfer-Encoding: chunked\r\n\r\n4;", Repeated: "x"},
		"trailers":           {First: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeated: "A: b\r\n"},
		"compressed":         {First: ok + "Content-Encoding: gzip\r\n\r\n" + gzipHead, Repeated: gzipBlock},
		"compressed nothing": {First: ok + "Content-Encoding: gzip\r\n\r\n" + gzipHead, Repeated: gzipEmptyBlock},
	}
}

// Document returns an answer with a complete document, of a text that is repeated while the
// document has at most a number of bytes, and what follows a response without end.
func Document(first, repeated, last string, size int) Answer {
	document := first + strings.Repeat(repeated, (size-len(first)-len(last))/len(repeated)) + last
	return Answer{First: elmscript.Response("200 OK", document, fmt.Sprintf("Content-Length: %d", len(document))), Repeated: "x"}
}

const (
	gzipHead = "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff"
	// gzipBlock is a block of 4 bytes that are stored, and gzipEmptyBlock one of none.
	gzipBlock      = "\x00\x04\x00\xfb\xffbody"
	gzipEmptyBlock = "\x00\x00\x00\xff\xff"
)

// Named returns answers with further ones.
func Named(answers, further map[string]Answer) map[string]Answer {
	all := maps.Clone(answers)
	maps.Copy(all, further)
	return all
}

// ServeHTTP answers a request until the caller closes.
func (a Answer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // The caller has closed it.
	block := make([]byte, blockBytes)
	for rest := a.First; err == nil && rest != ""; { // A copy of all would count as allocated.
		n := copy(block, rest)
		_, err = conn.Write(block[:n])
		rest = rest[n:]
	}
	block = bytes.Repeat([]byte(a.Repeated), blockBytes/len(a.Repeated))
	for err == nil {
		_, err = conn.Write(block)
	}
}

// Serve serves a handler at an address until the context ends. It returns the address.
func Serve(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return "", fmt.Errorf("endless answers: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() { _ = http.Serve(listener, handler) }() // The end of the context ends it.
	return listener.Addr().String(), nil
}

// Allocated returns the number of bytes that the process allocates while a function runs,
// which is at least what it holds at any time meanwhile.
func Allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
