package elmbounded

import (
	"fmt"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"
)

// freeBytes is the part of each body that does not count against a Budget, so that small
// documents never wait for large ones.
const freeBytes = 32 << 10

// Budget limits the memory for the bodies that a process reads at the same time. Bodies
// that don't fit wait. It is safe for concurrent use.
type Budget struct {
	room  *semaphore.Weighted
	total int64
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{room: semaphore.NewWeighted(total), total: total}
}

// LimitBody limits the body of a response. Reading more than limit bytes fails with
// ErrTooLong. Reading a body that may be large waits until the budget has room for all of
// it, or the context of the request ends. The room is free again when the body is closed.
// A nil Budget has room for any number of bodies.
func (b *Budget) LimitBody(response *http.Response, limit int64) {
	body := &limitedBody{ReadCloser: response.Body, response: response, budget: b, limit: limit, size: limit}
	if declared := response.ContentLength; declared >= 0 {
		body.size = declared
	}
	response.Body = body
}

// limitedBody is a body that fails beyond a limit.
type limitedBody struct {
	io.ReadCloser
	response *http.Response
	budget   *Budget
	limit    int64
	// size is the declared length of the body, or the limit if it has none.
	size int64
	read int64
	// reserved is the part of the budget that the body holds.
	reserved int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.read > b.limit || b.size > b.limit {
		return 0, b.tooLong()
	}
	allowed, err := b.reserve()
	if err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), allowed)])
	if b.read += int64(n); b.read > b.limit {
		return n - 1, b.tooLong()
	}
	return n, err //nolint:wrapcheck // io.EOF is passed on as it is.
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	if b.reserved > 0 {
		b.budget.room.Release(b.reserved)
		b.reserved = 0
	}
	return b.ReadCloser.Close() //nolint:wrapcheck // As if the body were not limited.
}

// reserve returns the number of bytes that may be read next, which is one more than the
// limit permits so that a longer body shows. It waits for room in the budget when it has
// to.
func (b *limitedBody) reserve() (allowed int64, err error) {
	allowed = b.limit + 1 - b.read
	if b.budget == nil || b.size <= freeBytes || b.reserved > 0 {
		return allowed, nil
	}
	if b.read < freeBytes {
		return min(allowed, freeBytes-b.read), nil
	}
	needed := min(b.size, b.budget.total)
	if err := b.budget.room.Acquire(b.response.Request.Context(), needed); err != nil {
		return 0, fmt.Errorf("wait for memory for a body: %w", err)
	}
	b.reserved = needed
	return allowed, nil
}

func (b *limitedBody) tooLong() error {
	return fmt.Errorf("%w: limit is %d bytes", ErrTooLong, b.limit)
}
