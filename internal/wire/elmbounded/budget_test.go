package elmbounded_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/elmcove/elmcove/internal/wire/elmbounded"
)

// source is a body that ends after a number of bytes, and counts those that were read.
type source struct {
	left int
	read *atomic.Int64
}

func (s *source) Read(p []byte) (int, error) {
	n := min(len(p), s.left)
	s.left -= n
	s.read.Add(int64(n))
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (s *source) Close() error { return nil }

// Guards against a process whose bodies have a limit each and still exceed its memory
// together, and against bodies that wait for each other.
func TestBodiesShareBudget(t *testing.T) {
	const bodies, limit, total = 64, 1 << 20, 4 << 20
	for name, c := range map[string]struct {
		size     int
		declared int64
		// atOnce is how many bodies are read to their end before one is closed, at least.
		atOnce int64
		err    error
	}{
		"large":             {size: 1 << 20, declared: -1, atOnce: 1},
		"large, declared":   {size: 512 << 10, declared: 512 << 10, atOnce: 1},
		"medium":            {size: 50 << 10, declared: -1, atOnce: bodies},
		"small":             {size: 10 << 10, declared: -1, atOnce: bodies},
		"without end":       {size: 1 << 40, declared: -1, atOnce: 1, err: elmbounded.ErrTooLong},
		"declared too long": {size: 1 << 40, declared: 1 << 40, atOnce: bodies, err: elmbounded.ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := elmbounded.NewBudget(total)
				var read, ended atomic.Int64
				var group sync.WaitGroup
				mayClose := make(chan struct{})
				for range bodies {
					group.Go(func() {
						body := limitBody(t.Context(), budget, limit, c.declared, &source{left: c.size, read: &read})
						n, err := io.Copy(io.Discard, body)
						if !errors.Is(err, c.err) || err == nil && n != int64(c.size) {
							t.Errorf("read %d bytes, error %v", n, err)
						}
						ended.Add(1)
						<-mayClose
						_ = body.Close()
					})
				}
				synctest.Wait()
				if n := read.Load(); n > total+limit+bodies*(32<<10)+1 {
					t.Errorf("%d bytes at once", n)
				}
				if n := ended.Load(); n < c.atOnce {
					t.Errorf("%d bodies ended at once, want %d", n, c.atOnce)
				}
				close(mayClose)
				group.Wait()
			})
		})
	}
}

// limitBody returns a source as the limited body of a response.
func limitBody(ctx context.Context, budget *elmbounded.Budget, limit, declared int64, s *source) io.ReadCloser {
	request := new(http.Request).WithContext(ctx)
	response := &http.Response{Request: request, ContentLength: declared, Body: s}
	budget.LimitBody(response, limit)
	return response.Body
}

// Guards against a body that waits for memory beyond the end of its request, and against
// memory that a closed body keeps.
func TestWaitForBudget(t *testing.T) {
	budget := elmbounded.NewBudget(1 << 20)
	limited := func(ctx context.Context) io.ReadCloser {
		return limitBody(ctx, budget, 2<<20, -1, &source{left: 2 << 20, read: new(atomic.Int64)})
	}
	first := limited(t.Context())
	if _, err := io.Copy(io.Discard, first); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := io.Copy(io.Discard, limited(ctx)); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	_ = first.Close()
	if _, err := io.Copy(io.Discard, limited(ctx)); err != nil {
		t.Errorf("after the first is closed: %v", err)
	}
}
