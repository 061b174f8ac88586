package elmevents

import (
	"errors"
	"io"
)

// readSize is the size in bytes of the parts in which a stream is read.
const readSize = 8 << 10

// Reader reads a stream in parts of complete events.
type Reader struct {
	body     io.Reader
	splitter *Splitter
	split    func(part []byte) []byte
	buffer   []byte
}

// NewReader returns a reader of a stream. The splitter may hold the last event of an
// earlier response that the stream continues; split is its Split or Feed.
func NewReader(body io.Reader, splitter *Splitter, split func(part []byte) []byte) *Reader {
	return &Reader{body: body, splitter: splitter, split: split, buffer: make([]byte, readSize)}
}

// Next returns the next complete events, which may be none, to be forwarded whatever the
// error is. The error is io.EOF only at the end of a whole stream. Otherwise the stream has
// broken off: ErrTruncated, ErrMalformed, ErrTooLong, or an error of the body.
func (r *Reader) Next() ([]byte, error) {
	n, err := r.body.Read(r.buffer)
	events := r.split(r.buffer[:n])
	if invalid := r.splitter.Err(); invalid != nil {
		return events, invalid
	}
	if !errors.Is(err, io.EOF) {
		return events, err
	}
	rest, endErr := r.splitter.End()
	if endErr != nil {
		return events, endErr
	}
	return append(events, rest...), io.EOF
}
