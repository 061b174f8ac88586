package elmbounded_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// Guards against a short message that takes many times its size in memory.
func TestUnmarshal(t *testing.T) {
	for name, c := range map[string]struct {
		document string
		want     int
		err      error
	}{
		"empty":        {},
		"at the limit": {document: strings.Repeat("\x22\x01k", 3), want: 3},
		"beyond":       {document: strings.Repeat("\x22\x01k", 4), err: elmbounded.ErrTooManyFields},
		"unknown":      {document: strings.Repeat("\x7a\x00", 4), err: elmbounded.ErrTooManyFields},
		"cut":          {document: "\x22\x02k", err: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			var s elmpeer.Snapshot
			err := elmbounded.Unmarshal([]byte(c.document), &s, 3)
			if !errors.Is(err, c.err) || len(s.GetKeys()) != c.want {
				t.Errorf("%d keys, error %v", len(s.GetKeys()), err)
			}
		})
	}
}
