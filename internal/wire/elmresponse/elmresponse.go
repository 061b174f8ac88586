// Package elmresponse reads the responses of a connection one after the other. Each head is
// validated before net/http parses it, also if it arrived together with the response before.
//
// # Usage
//
//	reader := elmresponse.NewReader(conn, 4<<10)
//	response, err := reader.Next(request)
package elmresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/elmcove/elmcove/internal/wire/elmhead"
)

// Reader reads the responses of a connection.
type Reader struct {
	source io.Reader
	buffer *bufio.Reader
	// unread holds a validated head, and what arrived with it, until the buffer takes it.
	unread *bytes.Reader
}

// NewReader returns a Reader with a buffer of a size in bytes.
func NewReader(source io.Reader, size int) *Reader {
	return &Reader{source: source, buffer: bufio.NewReaderSize(source, size), unread: bytes.NewReader(nil)}
}

// Next reads the head of the next response. The body of the one before must have been read to
// its end.
func (r *Reader) Next(request *http.Request) (*http.Response, error) {
	head, err := r.readHead()
	if err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	rest := make([]byte, r.buffer.Buffered()+r.unread.Len())
	_, _ = io.ReadFull(r.buffer, rest) // All of it is in memory.
	r.unread = bytes.NewReader(append(head, rest...))
	r.buffer.Reset(io.MultiReader(r.unread, r.source))
	response, err := http.ReadResponse(r.buffer, request)
	if err != nil {
		return nil, fmt.Errorf("parse response: %w", err)
	}
	elmhead.GuardTrailers(response)
	return response, nil
}

// readHead reads a head to its end.
func (r *Reader) readHead() ([]byte, error) {
	var checker elmhead.Checker
	var head []byte
	for !checker.Done() {
		if _, err := r.buffer.Peek(1); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err //nolint:wrapcheck // The caller wraps it.
		}
		received, _ := r.buffer.Peek(r.buffer.Buffered())
		n, err := checker.Feed(received)
		if err != nil {
			return nil, err //nolint:wrapcheck // The caller wraps it.
		}
		head = append(head, received[:n]...)
		_, _ = r.buffer.Discard(n) // They are buffered.
	}
	return head, nil
}

// Buffered returns the number of bytes that were received and not yet read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() + r.unread.Len() }
