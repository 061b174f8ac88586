package elmrouter_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against a request that an escaped character sends to the route of another prefix
// (review/3).
func TestEscapedPath(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	split := ""
	for _, prefix := range []string{"/once/eu/", "/once/e%2Fu/"} {
		split += fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"non_idempotent","service":"other","attempts":1},`, prefix, host, prefix)
	}
	f.store.Put("op/config", bytes.Replace(configuration(2, credential), []byte(`"routes":[`), []byte(`"routes":[`+split), 1))
	f.eventually("updated", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
	for path, served := range map[string]bool{
		"/once/eu%2F17": true, "/once/eu%2f17": true, "/once/eu17/": true, "/once/eu/17": false, "/once/e%2Fu/17": false,
	} {
		want := http.StatusServiceUnavailable // The other service has no endpoints.
		if served {
			want = http.StatusOK
		}
		if got := f.call(t.Context(), "POST", path, "", nil); got.status != want {
			t.Errorf("%s has status %d, want %d", path, got.status, want)
		}
	}
}
