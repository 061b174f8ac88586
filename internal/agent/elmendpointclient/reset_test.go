package elmendpointclient_test

import (
	"errors"
	"net"
	"testing"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Guards against a part of a response that counts as all of it: it ends with its connection,
// which is reset while the body of the request is being sent.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const plays = 40
	for name, c := range map[string]struct {
		media string
		end   func(*net.TCPConn)
		whole bool
	}{
		"text, reset":                    {media: "text/plain", end: elmscript.Reset},
		"text, closed with unread bytes": {media: "text/plain", end: elmscript.CloseUnread},
		"text, ended":                    {media: "text/plain", end: elmscript.End, whole: true},
		"stream, reset":                  {media: "text/event-stream", end: elmscript.Reset},
		"stream, ended":                  {media: "text/event-stream", end: elmscript.End, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, err := elmscript.ServeEarly(t.Context(), "HTTP/1.1 200 OK\r\nContent-Type: "+c.media+"\r\n\r\ndata: a\n\n", c.end)
			if err != nil {
				t.Fatal(err)
			}
			client := elmendpointclient.New("http://" + address)
			defer client.Close()
			open := &elmwire.Open{Method: "POST", Path: "/orders", Once: true, Body: make([]byte, 8<<20)}
			wrong := 0
			for range plays {
				var got recorder
				_, err := client.Call(t.Context(), open, &got)
				if errors.Is(err, elmendpointclient.ErrEndpoint) == c.whole {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses count as whole, or not, against what they are", wrong, plays)
			}
		})
	}
}
