package elmexchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// refusals are framings of a refusal, with a place for the header that names its attempt.
var refusals = map[string]string{
	"without body": "HTTP/1.1 503 Service Unavailable\r\n%s\r\nContent-Length: 0\r\n\r\n",
	"length":       "HTTP/1.1 503 Service Unavailable\r\n%s\r\nContent-Length: 4\r\n\r\nfull",
	"chunks":       "HTTP/1.1 503 Service Unavailable\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
}

// Guards against an earlier refusal that an endpoint writes once more on a kept connection
// and that counts as the response to the next request, which the endpoint runs.
func TestEarlierRefusalIsNoResponse(t *testing.T) {
	const late = 50 * time.Millisecond
	for name, c := range map[string]struct {
		// again names the attempt in the repeated refusal. It is written at once after the
		// first one, or a time after the second request has arrived.
		again  string
		atOnce bool
		after  time.Duration
		second string
		// unknown is set if nobody can tell whose response it is.
		unknown bool
	}{
		"names no attempt":           {again: "X: y", second: "2", unknown: true},
		"names no attempt, late":     {again: "X: y", after: late, second: "2", unknown: true},
		"names the earlier attempt":  {again: "For: 1", second: "2"},
		"names the earlier one late": {again: "For: 1", after: late, second: "2"},
		"names the pending attempt, which the connection carried before": {again: "For: 1", second: "1"},
		"names none, the pending attempt was carried before":             {again: "X: y", second: "1"},
		"arrives before the next request":                                {again: "X: y", atOnce: true, second: "2"},
		"request without an attempt":                                     {again: "X: y"},
	} {
		for framing, refusal := range refusals {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				var refused io.Writer
				addresses, err := elmscript.Serve(t.Context(), 1, func(x elmscript.Exchange) bool {
					again := fmt.Sprintf(refusal, c.again)
					switch {
					case x.Number == 1 && c.atOnce:
						_, _ = io.WriteString(x, fmt.Sprintf(refusal, "For: 1")+again)
					case x.Number == 1:
						_, _ = io.WriteString(x, fmt.Sprintf(refusal, "For: 1"))
						refused = x.Writer
					default:
						<-time.After(c.after)
						if x.Writer == refused {
							_, _ = io.WriteString(x, again)
						}
						_, _ = io.WriteString(x, responseText(c.second, "ok"))
					}
					return true
				})
				if err != nil {
					t.Fatal(err)
				}
				opened := 0
				client := newClient(&opened)
				if got := exchange(t, client, addresses[0], request("1")); got.status != http.StatusServiceUnavailable {
					t.Fatalf("got %+v", got)
				}
				got := exchange(t, client, addresses[0], request(c.second))
				if c.unknown && !errors.Is(got.err, elmexchange.ErrNoResponse) || !c.unknown && (got.status != http.StatusOK || got.body != "ok") {
					t.Errorf("got %+v", got)
				}
			})
		}
	}
}

// exchanged is the result of an exchange.
type exchanged struct {
	status int
	body   string
	err    error
}

func exchange(t *testing.T, x *elmexchange.Client, address string, r elmexchange.Request) exchanged {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := x.Do(ctx, address, r)
	if err != nil {
		return exchanged{err: err}
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return exchanged{response.Status, string(body), err}
}
