package elmrouter_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
)

// Guards against an entry that runs out of memory because of large request bodies, each of
// which is within its limit, and so ends the requests of all callers.
func TestBodiesOfManyCallers(t *testing.T) {
	t.Parallel()
	const memoryLimit, length, callers = 64 << 20, 4 << 20, 10
	f := newFixture(t, 1, func(s *platform.Settings) { s.MemoryLimit = memoryLimit })
	f.store.Put("op/config", bytes.ReplaceAll(configuration(2, credential), []byte(`"maxBodyBytes":1000`), fmt.Appendf(nil, `"maxBodyBytes":%d`, length)))
	f.eventually("updated", func() bool { return strings.Contains(f.log.String(), `"version":2`) })

	body := bytes.Repeat([]byte("a"), length)
	type upload struct {
		conn    io.Writer
		answers chan result
	}
	var held []upload
	for range callers {
		conn, reader := f.dialCaller()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		u := upload{conn, make(chan result, 1)}
		go func() { u.answers <- readResult(reader) }()
		_, _ = io.WriteString(conn, rawUpload("/open/a", "15000", length))
		_, _ = conn.Write(body[:length-1]) // The answer may come before.
		select {
		case got := <-u.answers:
			if got.err != nil || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "not-run") {
				t.Errorf("refused with %+v", got)
			}
		case <-time.After(300 * time.Millisecond):
			held = append(held, u)
		}
	}
	if inMemory := len(held) * length; len(held) == 0 || inMemory > memoryLimit/2 {
		t.Errorf("%d bodies of %d bytes in %d bytes of memory", len(held), length, memoryLimit)
	}
	if got := f.call(t.Context(), "POST", "/again/a", "small", nil); got.status != http.StatusOK {
		t.Errorf("small body beside large ones: %+v", got)
	}
	for _, u := range held {
		_, _ = u.conn.Write(body[:1])
		if got := <-u.answers; got.err != nil || got.status != http.StatusOK {
			t.Errorf("body that was held: %+v", got)
		}
	}
	if got := f.call(t.Context(), "POST", "/again/a", string(body), nil); got.status != http.StatusOK {
		t.Errorf("large body after the others: %+v", got)
	}
}
