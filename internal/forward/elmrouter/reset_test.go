package elmrouter_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// Guards against a caller who gets a part of a response as a complete answer: the endpoint
// answers an upload at once, without a length, and resets the connection.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	const length, plays = 4 << 20, 20
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset":                    {end: elmscript.Reset},
		"closed with unread bytes": {end: elmscript.CloseUnread},
		"ended":                    {end: elmscript.End, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, nil)
			f.store.Put("op/config", bytes.ReplaceAll(configuration(2, credential), []byte(`"maxBodyBytes":1000`), fmt.Appendf(nil, `"maxBodyBytes":%d`, length)))
			address, err := elmscript.ServeEarly(t.Context(), elmscript.Response("200 OK", "half", sealLine), c.end)
			if err != nil {
				t.Fatal(err)
			}
			f.addresses["e0"] = address
			f.listEndpoint("e0", "ready")
			f.eventually("listed", func() bool {
				return strings.Contains(f.log.String(), `"endpoint listed"`) && strings.Contains(f.log.String(), `"version":2`)
			})
			body := strings.Repeat("a", length)
			for range plays {
				got := f.call(t.Context(), "POST", "/once/a", body, nil)
				if whole := got.status == http.StatusOK; got.err != nil || whole != c.whole || whole && got.body != "half" {
					t.Errorf("got %d, %q, %v", got.status, got.body, got.err)
				}
			}
		})
	}
}
