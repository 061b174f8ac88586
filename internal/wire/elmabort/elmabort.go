// Package elmabort makes aborted responses detectable for HTTP/1.0 callers.
//
// The end of the connection ends a response to an HTTP/1.0 request. When a handler
// panics with http.ErrAbortHandler, or when the process is killed, the connection is
// closed, which such a caller takes for the end of a complete response. With Protect
// the connection is reset instead.
//
// # Usage
//
//	server := &http.Server{Handler: mux}
//	elmabort.Protect(server)
package elmabort

import (
	"context"
	"net"
	"net/http"
)

// lingerer is a connection whose behaviour at the close can be set, such as a TCP connection.
type lingerer interface {
	SetLinger(seconds int) error
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Protect changes a server so that the connection of an HTTP/1.0 request is reset
// unless its handler returns.
func Protect(server *http.Server) {
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(lingerer)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = conn.SetLinger(0) // Fails only on a closed connection.
		next.ServeHTTP(w, r)
		// The complete response must have left before a close counts as its end.
		_ = http.NewResponseController(w).Flush()
		_ = conn.SetLinger(-1)
	})
}
