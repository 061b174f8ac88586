package elmexchange_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// Guards against a part of a response that counts as all of it: it ends with its connection,
// which is reset while the body of the request is being sent. The error of the reset then
// reaches the sender, and the reader sees an end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const plays = 40
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset": {end: elmscript.Reset},
		"reset after a while": {end: func(c *net.TCPConn) {
			<-time.After(5 * time.Millisecond)
			elmscript.Reset(c)
		}},
		"closed with unread bytes": {end: elmscript.CloseUnread},
		"ended, then reset": {whole: true, end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			elmscript.CloseUnread(c)
		}},
		"ended": {end: elmscript.End, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, err := elmscript.ServeEarly(t.Context(), "HTTP/1.1 200 OK\r\nFor: 1\r\n\r\nhalf", c.end)
			if err != nil {
				t.Fatal(err)
			}
			upload := request("1")
			upload.Body = bytes.Repeat([]byte("a"), 8<<20)
			wrong := 0
			for range plays {
				opened := 0
				got := exchange(t, newClient(&opened), address, upload)
				if whole := got.err == nil && got.body == "half"; whole != c.whole {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses count as whole, or not, against what they are", wrong, plays)
			}
		})
	}
}
