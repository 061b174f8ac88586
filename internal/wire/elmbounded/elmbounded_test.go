package elmbounded_test

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/elmcove/elmcove/internal/wire/elmbounded"
)

// Guards against a body that is cut at the limit and taken for complete.
func TestReadAll(t *testing.T) {
	errBroken := errors.New("broken")
	for name, c := range map[string]struct {
		body string
		err  error
		want string
	}{
		"empty":        {},
		"at the limit": {body: "1234", want: "1234"},
		"beyond":       {body: "12345", err: elmbounded.ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := elmbounded.ReadAll(strings.NewReader(c.body), 4)
			if !errors.Is(err, c.err) || string(got) != c.want {
				t.Errorf("got %q, error %v", got, err)
			}
		})
	}
	if _, err := elmbounded.ReadAll(iotest.ErrReader(errBroken), 4); !errors.Is(err, errBroken) {
		t.Errorf("error %v, want the reader's", err)
	}
}
