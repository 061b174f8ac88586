// Package elmmemory limits the memory that the bodies of a process's requests take together.
// Bodies are held while their requests are in flight, since a request may be sent again, so
// that many callers could otherwise fill the memory within the limit of each body. A process
// that runs out of memory loses all its requests.
//
// Memory is taken as a body comes in, not when its length is announced: a slow caller holds
// no more than it has sent. The first bytes of each body are free, so that large bodies do
// not keep small requests out.
//
// An Account limits all that callers make a process hold, and ends those that have stopped. A
// Budget limits only bodies, and refuses those that come last.
//
// # Usage
//
//	account := elmmemory.NewAccount(limits, countEnded)
//	holder := account.Open(time.Now(), closeConnection)
//	segments, err := elmmemory.ReadBody(request.Body, request.ContentLength, maxBytes, holder)
//	if errors.Is(err, elmmemory.ErrExhausted) { ... }
//	holder.Close()
//
//	budget := elmmemory.New(64 << 20)
//	body := budget.Body(request.Body)
//	defer body.Release()
//	text, err := io.ReadAll(body)
//	if errors.Is(err, elmmemory.ErrExhausted) { ... }
package elmmemory

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// ErrExhausted reports a body for which no memory is left.
var ErrExhausted = errors.New("memory for bodies is exhausted")

// freeBytes is the part of each body that takes nothing from the budget.
const freeBytes = 16 << 10

// Budget is the memory for bodies. It is safe for concurrent use.
type Budget struct {
	remaining *semaphore.Weighted
}

// New returns a Budget of a number of bytes.
func New(limit int64) Budget { return Budget{semaphore.NewWeighted(limit)} }

// Body returns a body that takes memory from the budget as it is read.
func (b Budget) Body(body io.ReadCloser) *Body {
	return &Body{ReadCloser: body, budget: b.remaining, free: freeBytes}
}

// Body is a body that is held in memory until Release. It is not safe for concurrent use.
type Body struct {
	io.ReadCloser
	budget *semaphore.Weighted
	// free is how many more bytes take nothing from the budget, and held how many were taken.
	free, held int64
}

// Read implements io.Reader. The error is ErrExhausted if the budget has no memory for what was
// read.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	free := min(b.free, int64(n))
	taken := int64(n) - free
	if !b.budget.TryAcquire(taken) {
		return 0, ErrExhausted
	}
	b.free, b.held = b.free-free, b.held+taken
	return n, err
}

// Release returns the memory to the budget.
func (b *Body) Release() {
	b.budget.Release(b.held)
	b.held = 0
}
