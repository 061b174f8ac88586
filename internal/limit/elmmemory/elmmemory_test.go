package elmmemory_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
)

// Guards against bodies that together exceed the budget, small ones that are kept out by large
// ones, and memory that is not returned.
func TestBudget(t *testing.T) {
	const free, limit = 16 << 10, 32 << 10
	for name, c := range map[string]struct {
		held, length int
		err          error
	}{
		"empty":                       {},
		"whole budget":                {length: free + limit},
		"beyond the budget":           {length: free + limit + 1, err: elmmemory.ErrExhausted},
		"small beside the budget":     {held: free + limit, length: free},
		"large beside the budget":     {held: free + limit, length: free + 1, err: elmmemory.ErrExhausted},
		"large beside half of it":     {held: free + limit/2, length: free + limit/2},
		"too large beside half of it": {held: free + limit/2, length: free + limit/2 + 1, err: elmmemory.ErrExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			budget := elmmemory.New(limit)
			read := func(length int) (*elmmemory.Body, string, error) {
				body := budget.Body(io.NopCloser(strings.NewReader(strings.Repeat("a", length))))
				text, err := io.ReadAll(body)
				return body, string(text), err
			}
			holder, _, _ := read(c.held)
			body, text, err := read(c.length)
			if !errors.Is(err, c.err) || err == nil && len(text) != c.length {
				t.Errorf("%d bytes, error %v, want %d, %v", len(text), err, c.length, c.err)
			}
			holder.Release()
			body.Release()
			body.Release()
			if _, _, err := read(free + limit); err != nil {
				t.Errorf("memory was not returned: %v", err)
			}
		})
	}
}
