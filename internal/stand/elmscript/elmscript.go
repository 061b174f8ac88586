// Package elmscript stands in for an endpoint that writes its responses byte by byte, such
// as responses that break off, belong to other requests or are none.
//
// # Usage
//
//	addresses, err := elmscript.Serve(ctx, 1, func(x elmscript.Exchange) bool {
//		_, _ = io.WriteString(x, elmscript.Response("503 Service Unavailable", "full", "Content-Length: 4"))
//		return x.OnConnection < 2
//	})
package elmscript

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Exchange is a request that has reached an endpoint, and the connection to respond on.
type Exchange struct {
	io.Writer
	Request *http.Request
	Body    string
	// Number counts the requests at all endpoints of the script, and OnConnection those on
	// the connection, from 1.
	Number, OnConnection int
}

// Serve starts endpoints that share a script and serve until the context ends. It returns
// their addresses. The script is called for one request at a time and reports whether the
// connection stays open.
func Serve(ctx context.Context, endpoints int, script func(Exchange) bool) ([]string, error) {
	s := &server{script: script}
	var addresses []string
	for range endpoints {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("scripted endpoint: %w", err)
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
		go s.accept(listener)
	}
	return addresses, nil
}

// Response returns a response with a status line, the lines of its head, and a body.
func Response(status, body string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(append(lines, "", ""), "\r\n") + body
}

// Chunk returns a text as a chunk of a body, and the last chunk for "".
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// server serves the endpoints of a script.
type server struct {
	script func(Exchange) bool

	mutex  sync.Mutex
	number int
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve serves the requests of a connection.
func (s *server) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // The connection is no longer needed.
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.respond(Exchange{Writer: conn, Request: r, Body: string(body), OnConnection: n}) {
			return
		}
	}
}

// respond calls the script for a request.
func (s *server) respond(x Exchange) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	x.Number = s.number
	return s.script(x)
}
