package elmentry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
)

const (
	// bodyPause is how long nothing of a request's body may come in, and bodyTimeout the time
	// for all of it, which is shorter than a drain.
	bodyPause   = 10 * time.Second
	bodyTimeout = time.Minute
)

// timedBody is the body of a request, which must come in within a time.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	end        time.Time
	// done is set when the body was read. net/http then reads the connection itself.
	done bool
}

// limitBodies bounds the time in which the bodies of requests come in.
func limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			body := &timedBody{ReadCloser: r.Body, controller: http.NewResponseController(w), end: time.Now().Add(bodyTimeout)}
			body.extend() // The rest of the body of a refused request is read by net/http.
			limited := *r // net/http must find its own body in its own request.
			limited.Body = body
			r = &limited
		}
		next.ServeHTTP(w, r)
	})
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.done {
		b.extend()
	}
	n, err := b.ReadCloser.Read(p)
	b.done = b.done || err != nil
	return n, err //nolint:wrapcheck // It is the error of the body.
}

// extend moves the deadline of the connection.
func (b *timedBody) extend() {
	deadline := time.Now().Add(bodyPause)
	if b.end.Before(deadline) {
		deadline = b.end
	}
	_ = b.controller.SetReadDeadline(deadline) // Not all writers support deadlines.
}

// bodyProblem returns the problem for a body that could not be read, and whether err tells
// of one.
func bodyProblem(err error) (problem, bool) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(tooLarge), true
	case errors.Is(err, elmmemory.ErrExhausted):
		return problem{status: http.StatusServiceUnavailable, title: "memory for bodies is in use", retry: retryAfter}, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem{status: http.StatusRequestTimeout, title: "request body did not come in"}, true
	}
	return problem{}, false
}
