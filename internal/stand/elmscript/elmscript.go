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

// ServeEarly starts an endpoint that answers each request with a text before it has read the
// request's body, and then ends the connection as the function does, until the context ends. It
// returns its address.
func ServeEarly(ctx context.Context, response string, end func(*net.TCPConn)) (string, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("scripted endpoint: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn, response, end)
		}
	}()
	return listener.Addr().String(), nil
}

// minBuffer is the size of the smallest buffer of a bufio.Reader, so that as much of a request's
// body as possible stays in the socket.
const minBuffer = 16

// answerEarly answers the request of a connection before its body was read.
func answerEarly(conn net.Conn, response string, end func(*net.TCPConn)) {
	defer conn.Close() //nolint:errcheck // The connection is no longer needed.
	if _, err := http.ReadRequest(bufio.NewReaderSize(conn, minBuffer)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response) // The caller may have disconnected.
	if tcp, ok := conn.(*net.TCPConn); ok {
		end(tcp)
	}
}

// Reset makes the end of the connection a reset, whatever was read and written.
func Reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// CloseUnread waits until a part of the request's body has arrived that stays unread, so that the
// end of the connection is a reset.
func CloseUnread(conn *net.TCPConn) { _, _ = conn.Read(make([]byte, 1)) }

// End ends the response in order, and reads the rest of the request's body.
func End(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
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
