package elmendpointclient_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Guards against a caller who gets the answer to an earlier request: an engine sends a
// second copy of an answer late, when its connection carries the next request.
func TestLateSecondCopyReachesNobody(t *testing.T) {
	earlier := ""
	client := serve(t, func(x elmscript.Exchange) bool {
		copied := earlier
		if x.OnConnection == 1 {
			copied = ""
		}
		earlier = elmscript.Response("200 OK", x.Body, "Content-Type: text/plain", fmt.Sprintf("Content-Length: %d", len(x.Body)))
		_, _ = io.WriteString(x, copied+earlier)
		return true
	})
	for name, once := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name, func(t *testing.T) {
			for i := range 5 {
				var got recorder
				want := strings.Repeat(fmt.Sprint(i), 3)
				_, err := client.Call(t.Context(), &elmwire.Open{Method: "POST", Path: "/orders", Body: []byte(want), Once: once}, &got)
				if err != nil || got.body.String() != want {
					t.Errorf("request %q got %q, error %v", want, got.body.String(), err)
				}
			}
		})
	}
}
