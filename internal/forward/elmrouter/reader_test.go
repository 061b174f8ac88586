package elmrouter_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform/stand"
)

// Guards against a caller that does not read its response and keeps the slot of an endpoint
// for as long as it likes: the slot is free some time after the request's time limit.
func TestCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.endpoints[0].QueueBehaviours(stand.EndlessBody)
	c, err := net.Dial("tcp4", f.settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // The test is over.
	_, err = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: a1\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n", host, credential)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-f.endpoints[0].Disconnected():
	case <-time.After(10 * time.Second):
		t.Errorf("the endpoint still sends after 10 s; log:\n%s", f.log)
	}
	// Writing to the caller reaches its time limit, or reading from the endpoint does, whichever comes first.
	f.eventually("ended", func() bool {
		return strings.Contains(f.log.String(), `"event":1404`) || strings.Contains(f.log.String(), `"event":1403`)
	})
}
