// Package elmbounded limits what is read of an HTTP response, whatever its sender writes. A
// head or body beyond the limit is an error, never a shorter head or body.
//
// # Usage
//
//	document, err := elmbounded.ReadAll(response.Body, 1<<20)
//
// Transport limits all responses of a client, also those that generated code reads:
//
//	client := &http.Client{Transport: elmbounded.NewTransport(&http.Transport{}, 64<<10, 1<<20)}
//
// Budget limits the memory for all bodies that a process reads at the same time.
package elmbounded

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLong reports a body beyond the limit.
var ErrTooLong = errors.New("body is too long")

// ReadAll reads a body of at most limit bytes.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(document)) > limit {
		return nil, fmt.Errorf("%w: limit is %d bytes", ErrTooLong, limit)
	}
	return document, nil
}
