package elmexchange

import (
	"io"
	"net/http"
	"time"
)

// Answer is the answer to a request. Its body must be read to the end, or the
// Answer closed, which stops the endpoint's work.
type Answer struct {
	Status int
	Header http.Header

	exchange *Exchange
	conn     *conn
	response *http.Response
	stop     func() bool
	sent     <-chan error
	ended    bool
}

// Length returns the length of the body, or -1 if it is not known beforehand.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only if the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	a.ended = a.ended || err == io.EOF //nolint:errorlint // Readers return io.EOF itself.
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing speaks against it.
func (a *Answer) Close() {
	idle := !a.conn.expires.IsZero()
	if !a.stop() || !a.ended || a.response.Close || !idle || !a.wholeSent() {
		_ = a.conn.Close()
		return
	}
	a.conn.expires = time.Now().Add(keptFor(a.Header))
	if !a.conn.quiet() {
		_ = a.conn.Close()
		return
	}
	a.exchange.keep(a.conn)
}

// wholeSent reports whether the whole request was sent without an error.
func (a *Answer) wholeSent() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}
