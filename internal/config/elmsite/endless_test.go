package elmsite_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/elmcove/elmcove/internal/config/elmsite"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

// Guards against an operator's command that runs out of memory because what answers at the
// address of an entry sends a head or a body without end.
func TestEntriesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ first, repeated string }{
		"head":            {ok, "A: b\r\n"},
		"no document":     {ok + "\r\n", " "},
		"status":          {ok + "\r\n" + `{"instance":"`, "x"},
		"decisions":       {ok + "\r\n" + `[{}`, ",{}"},
		"declared length": {ok + "Content-Length: 99999999999\r\n\r\n", " "},
		"behind a status": {ok + "\r\n" + `{"instance":"a"}`, " "},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			addresses, err := elmscript.Serve(t.Context(), 1, func(x elmscript.Exchange) bool {
				_, err := io.WriteString(x, c.first)
				for block := strings.Repeat(c.repeated, 8<<10); err == nil; {
					var n int
					n, err = io.WriteString(x, block)
					sent.Add(int64(n))
				}
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			platform := elmplatform.New()
			platform.SetInstances([]elmkvapi.Instance{{
				Name: "entry-1", Role: elmkvapi.InstanceRoleEntry, State: elmkvapi.InstanceStateLive,
				Datacentre: "worcester", Address: addresses[0],
			}})
			server := httptest.NewServer(platform.Handler())
			t.Cleanup(server.Close)
			site, err := elmsite.New(server.URL, "granite")
			if err != nil {
				t.Fatal(err)
			}
			if entries, err := site.Status(t.Context()); err != nil || len(entries) != 0 {
				t.Errorf("status %v, error %v", entries, err)
			}
			if _, err := site.Explain(t.Context(), "r1"); err == nil {
				t.Error("the request is explained")
			}
			// The buffers of each of both connections take up to 36 MiB.
			if n := sent.Load() >> 20; n > 2*(16+36) {
				t.Errorf("%d MiB sent", n)
			}
		})
	}
}
