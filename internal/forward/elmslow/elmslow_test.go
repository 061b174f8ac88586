package elmslow_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmslow"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"":                            "",
		"10.0.0.4:80=12":              "10.0.0.4:80=12",
		"b:1=2.5 a:1=3":               "a:1=3 b:1=2.5",
		"a:1=x b:1 c:1=0.5 d:1=2 =":   "d:1=2",
		"something that is no list\n": "",
	} {
		if got := elmslow.Parse(text).String(); got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
}
