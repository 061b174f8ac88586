package elmexchange_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
)

// wellFormed are responses with the body "hi" that are unusual, but allowed.
var wellFormed = map[string]string{
	"status without a reason":    "HTTP/1.1 200\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"blanks around a value":      "HTTP/1.1 200 OK\r\nFor:  1 \t\r\nContent-Length:2\r\n\r\nhi",
	"all characters of a name":   "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: a\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"empty value":                "HTTP/1.1 200 OK\r\nX:\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"lines that end with LF":     "HTTP/1.1 200 OK\nFor: 1\nContent-Length: 2\n\nhi",
	"several interim responses":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"another response before it": "HTTP/1.1 200 OK\r\nFor: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
}

// malformed are the heads of responses that are none.
var malformed = map[string]string{
	"status 000":                        "HTTP/1.1 000 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status 000 that promises":          "HTTP/1.1 000 None\r\nFor: 1\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status 099":                        "HTTP/1.1 099 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status 600":                        "HTTP/1.1 600 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status with a sign":                "HTTP/1.1 +20 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status with a minus":               "HTTP/1.1 -00 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status of four digits":             "HTTP/1.1 2000 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status 000 after an interim one":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status 000 after another response": "HTTP/1.1 200 OK\r\nFor: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 000 None\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"status 000 of another response":    "HTTP/1.1 000 None\r\nFor: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
}

// Guards against a response whose head is malformed and that counts as an answer, and
// against a well-formed one that does not.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, response := range wellFormed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opened := 0
			e := newEndpoint(t, []string{response})
			if got := exchange(t, newClient(&opened), e.address(), request("1")); got.status != http.StatusOK || got.body != "hi" || got.err != nil {
				t.Errorf("got %+v", got)
			}
		})
	}
	for name, response := range malformed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opened := 0
			e := newEndpoint(t, []string{response})
			if got := exchange(t, newClient(&opened), e.address(), request("1")); !errors.Is(got.err, elmexchange.ErrNoResponse) {
				t.Errorf("got %+v", got)
			}
		})
	}
}
