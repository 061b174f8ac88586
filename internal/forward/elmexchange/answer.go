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

	exchange *Client
	conn     *conn
	response *http.Response
	stop     func() bool
	sent     <-chan error
	ended    bool
}

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (a *Response) Length() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only if the body is complete.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	a.ended = a.ended || err == io.EOF //nolint:errorlint // Readers return io.EOF itself.
	return n, err
}

// Close ends the exchange. It keeps the connection for reuse if the request was
// sent and the response read completely and the endpoint keeps it open.
func (a *Response) Close() {
	reusable := !a.conn.expires.IsZero()
	if !a.stop() || !a.ended || a.response.Close || !reusable || !a.requestSent() {
		_ = a.conn.Close()
		return
	}
	a.conn.expires = time.Now().Add(idleTimeout(a.Header))
	if !a.conn.isReusable() {
		_ = a.conn.Close()
		return
	}
	a.exchange.putIdle(a.conn)
}

// requestSent reports whether the complete request was sent without an error.
func (a *Response) requestSent() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}
