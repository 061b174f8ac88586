package elmbounded

import (
	"fmt"
	"io"
	"net/http"
)

// Transport limits the responses that an http.Transport receives, for clients whose
// responses are documents. It is safe for concurrent use.
type Transport struct {
	inner        *http.Transport
	maxBodyBytes int64
}

// NewTransport returns a Transport with the options of an http.Transport. The head of a
// response, together with the interim responses before it, has at most maxHeadBytes.
// Reading a body of more than maxBodyBytes fails with ErrTooLong.
func NewTransport(options *http.Transport, maxHeadBytes, maxBodyBytes int64) *Transport {
	inner := options.Clone()
	inner.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{inner: inner, maxBodyBytes: maxBodyBytes}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // The client wraps it.
	}
	left := t.maxBodyBytes
	if response.ContentLength > left {
		left = -1
	}
	response.Body = &limitedBody{ReadCloser: response.Body, limit: t.maxBodyBytes, left: left}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// limitedBody is a body whose reads fail beyond a limit.
type limitedBody struct {
	io.ReadCloser
	limit int64
	// left is the number of bytes that may follow, and negative beyond the limit.
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, tooLong(b.limit)
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n - 1, tooLong(b.limit)
	}
	return n, err //nolint:wrapcheck // io.EOF is passed on as it is.
}

func tooLong(limit int64) error {
	return fmt.Errorf("%w: limit is %d bytes", ErrTooLong, limit)
}
