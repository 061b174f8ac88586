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
	"slices"
)

// ErrTooLong reports a body beyond the limit.
var ErrTooLong = errors.New("body is too long")

const (
	// minChunkBytes and maxChunkBytes are the sizes of the first and the later parts in which
	// a body is read.
	minChunkBytes = 1 << 10
	maxChunkBytes = 32 << 10
)

// ReadAll reads a body of at most limit bytes.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	chunks, err := ReadChunks(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	document := slices.Concat(chunks...)
	if int64(len(document)) > limit {
		return nil, fmt.Errorf("%w: limit is %d bytes", ErrTooLong, limit)
	}
	return document, nil
}

// ReadChunks reads a body to its end, in parts. Unlike io.ReadAll it never copies what it has
// read.
func ReadChunks(body io.Reader) ([][]byte, error) {
	var chunks [][]byte
	chunk := make([]byte, 0, minChunkBytes)
	for {
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if (err != nil || len(chunk) == cap(chunk)) && len(chunk) > 0 {
			chunks = append(chunks, chunk)
			chunk = make([]byte, 0, min(2*cap(chunk), maxChunkBytes))
		}
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // The caller wraps it.
		}
	}
}
