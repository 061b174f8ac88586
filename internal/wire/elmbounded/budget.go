package elmbounded

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
)

const (
	// freeBytes is the part of each body that does not count against a Budget, so that
	// small documents never wait for large ones.
	freeBytes = 32 << 10
	// stepBytes is the part of a Budget that a body takes at a time.
	stepBytes = 64 << 10
)

// Budget limits the memory for the bodies that a process reads at the same time. When it is
// used up, one body at a time is read on beyond it and the others wait, so that bodies never
// wait for each other in a circle. It is safe for concurrent use.
type Budget struct {
	mutex sync.Mutex
	left  int64
	// overdrawing is the body that is read on, or nil.
	overdrawing *limitedBody
	// released is closed when a body has returned its part.
	released chan struct{}
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{left: total, released: make(chan struct{})}
}

// LimitBody limits the body of a response. Reading more than limit bytes fails with
// ErrTooLong. Reading a large body waits while the budget is used up, until the context of
// the request ends. The body keeps its part of the budget until it is closed. A nil Budget
// has room for any number of bodies.
func (b *Budget) LimitBody(response *http.Response, limit int64) {
	body := &limitedBody{ReadCloser: response.Body, ctx: response.Request.Context(), budget: b, limit: limit, granted: freeBytes}
	if response.ContentLength > limit {
		body.read = limit + 1
	}
	response.Body = body
}

// take gives a body its next part, as soon as there is one.
func (b *Budget) take(ctx context.Context, body *limitedBody) error {
	for {
		released, ok := b.tryTake(body)
		if ok {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return fmt.Errorf("wait for memory for a body: %w", ctx.Err())
		}
	}
}

// tryTake gives a body its next part, or returns a channel that is closed when there may
// be one.
func (b *Budget) tryTake(body *limitedBody) (released <-chan struct{}, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left < stepBytes {
		if b.overdrawing != nil && b.overdrawing != body {
			return b.released, false
		}
		b.overdrawing = body
	}
	b.left -= stepBytes
	body.granted += stepBytes
	return nil, true
}

// release takes back what a body has.
func (b *Budget) release(body *limitedBody) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left += body.granted - freeBytes
	if b.overdrawing == body {
		b.overdrawing = nil
	}
	close(b.released)
	b.released = make(chan struct{})
}

// limitedBody is a body that fails beyond a limit.
type limitedBody struct {
	io.ReadCloser
	ctx    context.Context
	budget *Budget
	limit  int64
	// read counts the bytes so far, and granted those that may be read without a
	// further part of the budget.
	read, granted int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.read > b.limit {
		return 0, b.tooLong()
	}
	allowed := b.limit + 1 - b.read // A longer body shows by one more byte.
	if b.budget != nil {
		if b.read == b.granted {
			if err := b.budget.take(b.ctx, b); err != nil {
				return 0, err
			}
		}
		allowed = min(allowed, b.granted-b.read)
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), allowed)])
	if b.read += int64(n); b.read > b.limit {
		return n - 1, b.tooLong()
	}
	return n, err //nolint:wrapcheck // io.EOF is passed on as it is.
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	if b.budget != nil && b.granted > freeBytes {
		b.budget.release(b)
		b.budget = nil
	}
	return b.ReadCloser.Close() //nolint:wrapcheck // As if the body were not limited.
}

func (b *limitedBody) tooLong() error {
	return fmt.Errorf("%w: limit is %d bytes", ErrTooLong, b.limit)
}
