package elmexchange_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
	"github.com/elmcove/elmcove/internal/wire/elmhead"
)

// wellFormed are responses with the body "hi" that are unusual, but allowed.
var wellFormed = map[string]string{
	"status without a reason":    "HTTP/1.1 200\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"spaces around a value":      "HTTP/1.1 200 OK\r\nFor:  1 \t\r\nContent-Length:2\r\n\r\nhi",
	"all characters of a name":   "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: a\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"empty value":                "HTTP/1.1 200 OK\r\nX:\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"lines that end with LF":     "HTTP/1.1 200 OK\nFor: 1\nContent-Length: 2\n\nhi",
	"several interim responses":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"trailers":                   "HTTP/1.1 200 OK\r\nFor: 1\r\nTrailer: X, Y\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n",
	"another response before it": "HTTP/1.1 200 OK\r\nFor: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
}

// malformed are responses with an invalid head or trailer.
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
	"space after a name":                "HTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length : 2\r\n\r\nhi",
	"space inside a name":               "HTTP/1.1 200 OK\r\nFor: 1\r\nX Y: z\r\nContent-Length: 2\r\n\r\nhi",
	"space before a name":               "HTTP/1.1 200 OK\r\nFor: 1\r\n Content-Length: 2\r\n\r\nhi",
	"space before the first name":       "HTTP/1.1 200 OK\r\n X: y\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"tab after a name":                  "HTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length\t: 2\r\n\r\nhi",
	"tab before a name":                 "HTTP/1.1 200 OK\r\nFor: 1\r\n\tContent-Length: 2\r\n\r\nhi",
	"control byte in a name":            "HTTP/1.1 200 OK\r\nFor: 1\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\nhi",
	"NUL after a name":                  "HTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length\x00: 2\r\n\r\nhi",
	"DEL in a name":                     "HTTP/1.1 200 OK\r\nFor: 1\r\nX\x7f: z\r\nContent-Length: 2\r\n\r\nhi",
	"CR before a name":                  "HTTP/1.1 200 OK\r\nFor: 1\r\n\rContent-Length: 2\r\n\r\nhi",
	"CR inside a name":                  "HTTP/1.1 200 OK\r\nFor: 1\r\nX\rY: z\r\nContent-Length: 2\r\n\r\nhi",
	"no name":                           "HTTP/1.1 200 OK\r\nFor: 1\r\n: z\r\nContent-Length: 2\r\n\r\nhi",
	"no colon":                          "HTTP/1.1 200 OK\r\nFor: 1\r\nX\r\nContent-Length: 2\r\n\r\nhi",
	"space in a name of an interim one": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"space in a name of another one":    "HTTP/1.1 200 OK\r\nFor: 0\r\nX Y: z\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"space after a name in a trailer":   "HTTP/1.1 200 OK\r\nFor: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX : y\r\n\r\n",
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
			got := exchange(t, newClient(&opened), e.address(), request("1"))
			if !errors.Is(got.err, elmexchange.ErrNoResponse) && !errors.Is(got.err, elmhead.ErrMalformed) {
				t.Errorf("got %+v", got)
			}
		})
	}
}
