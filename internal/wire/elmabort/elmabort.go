// Package elmabort makes aborted responses detectable for HTTP/1.0 callers.
//
// The end of the connection ends a response to an HTTP/1.0 request. When a handler
// panics with http.ErrAbortHandler, net/http closes the connection, which such a
// caller takes for the end of a complete response. The handler of this package resets
// the connection instead.
//
// # Usage
//
//	server := &http.Server{Handler: elmabort.Handler(mux)}
package elmabort

import (
	"net"
	"net/http"
)

// Handler returns a handler that calls next. If next panics while it serves an
// HTTP/1.0 request, the handler resets the connection before it panics on.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		defer func() {
			if cause := recover(); cause != nil {
				reset(w)
				panic(cause)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // The server closes the connection.
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends a reset then.
	}
	_ = conn.Close()
}
