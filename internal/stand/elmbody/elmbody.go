// Package elmbody writes response bodies for stand-ins, in particular bodies that have
// neither a length nor chunks and end with their connection.
//
// # Usage
//
//	b := elmbody.NewUnframed(w)
//	_, _ = io.WriteString(b, "id: 1\nda")
//	b.Close()
package elmbody

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// Ending is how a response ends.
type Ending string

const (
	// Aborted means that the response is framed and its connection is closed before
	// its end.
	Aborted Ending = "aborted"
	// Closed means that the response is complete and ends with its connection.
	Closed Ending = "closed"
	// ClosedInsideEvent means that the connection of an unframed stream is closed in
	// the middle of an event.
	ClosedInsideEvent Ending = "closed-inside-event"
	// ClosedBetweenEvents means that the connection of an unframed stream is closed
	// after an event that is not the last one.
	ClosedBetweenEvents Ending = "closed-between-events"
	// Reset means that the connection of an unframed response is reset before its
	// end.
	Reset Ending = "reset"
	// Unavailable means that the response is a complete failure with status 503, of a
	// request that has run.
	Unavailable Ending = "unavailable"
)

// Body is the body of a response.
type Body struct {
	writer http.ResponseWriter
	// conn is the connection of an unframed body, or nil.
	conn net.Conn
}

// New returns a body that the HTTP server frames.
func New(w http.ResponseWriter) *Body { return &Body{writer: w} }

// NewUnframed sends the head of a response with status 200 and returns a body that ends
// with its connection.
func NewUnframed(w http.ResponseWriter) *Body {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(fmt.Errorf("response without length or chunks: %w", err))
	}
	b := &Body{writer: w, conn: conn}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n") // The caller may have disconnected.
	_ = header.Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
	return b
}

// Write implements io.Writer.
func (b *Body) Write(data []byte) (int, error) {
	var writer io.Writer = b.writer
	if b.conn != nil {
		writer = b.conn
	}
	return writer.Write(data) //nolint:wrapcheck // It is the writer's own error.
}

// Flush sends what has been written.
func (b *Body) Flush() {
	if b.conn == nil {
		_ = http.NewResponseController(b.writer).Flush() // The caller may have disconnected.
	}
}

// Close ends the body. An unframed body ends with its connection.
func (b *Body) Close() {
	if b.conn != nil {
		_ = b.conn.Close()
	}
}

// Abort ends the body before it is complete: it resets the connection of an unframed
// body, and otherwise aborts the handler.
func (b *Body) Abort() {
	if b.conn == nil {
		panic(http.ErrAbortHandler)
	}
	if lingering, ok := b.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // Close sends a reset then.
	}
	_ = b.conn.Close()
}
