package elmexchange

import (
	"io"
	"net/http"
	"time"
)

// Response is the response to a request. It must be closed. Closing it before its
// body is read to the end stops the endpoint's work.
type Response struct {
	Status int
	Header http.Header

	client   *Client
	conn     *conn
	watch    *Watch
	response *http.Response
	stop     func() bool
	sent     <-chan error
	ended    bool
	received int
	buffer   []byte
}

// Framing is how a response marks the end of its body.
type Framing string

const (
	// FramedByLength means that a header announces the length of the body.
	FramedByLength Framing = "length"
	// FramedByChunks means that the last chunk ends the body.
	FramedByChunks Framing = "chunked"
	// FramedByClose means that the body ends when the endpoint closes the connection.
	FramedByClose Framing = "close"
)

// Framing returns how the endpoint marks the end of the body.
func (r *Response) Framing() Framing {
	switch {
	case len(r.response.TransferEncoding) > 0:
		return FramedByChunks
	case r.response.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByClose
}

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (r *Response) Length() int64 { return r.response.ContentLength }

// Read reads the body. It returns io.EOF at the end that the framing marks. If the body
// is framed by close, io.EOF means only that the connection was not reset.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	r.received += n
	r.ended = r.ended || err == io.EOF //nolint:errorlint // Readers return io.EOF itself.
	return n, err
}

// partSize is the longest part in bytes that Next returns.
const partSize = 8 << 10

// Next returns the next part of the body, which is valid until the next call. Its error is
// that of Read.
func (r *Response) Next() ([]byte, error) {
	if r.buffer == nil {
		r.buffer = make([]byte, partSize)
	}
	n, err := r.Read(r.buffer)
	return r.buffer[:n], err
}

// Received returns the number of bytes of the body that were read.
func (r *Response) Received() int { return r.received }

const (
	// maxDiscardedBytes and discardTimeout bound what is read of a body that is not
	// used. Beyond them the connection is not reused.
	maxDiscardedBytes = 4 << 10
	discardTimeout    = 100 * time.Millisecond
)

// Discard reads the rest of a short body, so that the connection can be reused.
func (r *Response) Discard() {
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) // Without it, Read fails too.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBytes))
	if r.ended {
		_ = r.conn.SetReadDeadline(time.Time{})
	}
}

// Close ends the exchange. It keeps the connection for reuse if the request was
// sent and the response read completely and the endpoint keeps it open.
func (r *Response) Close() {
	r.watch.end()
	reusable := !r.conn.expires.IsZero() && len(r.conn.carried) < maxCarried
	if !r.stop() || !r.ended || r.response.Close || !reusable || !r.requestSent() {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = time.Now().Add(idleTimeout(r.Header))
	if !r.conn.isReusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.limitUnacked(unackedTimeout) // So that keep-alive probes find a lost peer in time.
	r.client.putIdle(r.conn)
}

// requestSent reports whether the complete request was sent without an error.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false
	}
}
