package elmendpointclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Guards against a caller who gets the answer to an earlier request: an engine sends a
// second copy of an answer late, when its connection carries the next request.
func TestLateSecondCopyReachesNobody(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // The test is over.
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close() //nolint:errcheck // The connection is no longer needed.
				reader, earlier := bufio.NewReader(c), ""
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					_, _ = io.WriteString(c, earlier)
					earlier = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(c, earlier)
				}
			}()
		}
	}()
	client := elmendpointclient.New("http://" + listener.Addr().String())
	defer client.Close()
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
