package elmpeers_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/forward/elmpeers"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/stand/elmbody"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// Guards against a truncated snapshot being taken for a shorter one: a protobuf message
// that is cut after a field is valid.
func TestFetchSnapshot(t *testing.T) {
	document, err := proto.Marshal(&elmpeer.Snapshot{Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		complete bool
	}{
		"complete": {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(document) }, complete: true},
		"ends with connection": {handler: func(w http.ResponseWriter, _ *http.Request) {
			b := elmbody.NewUnframed(w)
			_, _ = b.Write(document)
			b.Close()
		}},
		"shorter than announced": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(document)
		}},
		"not found": {handler: http.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			s, err := elmpeers.New(address, nil).FetchSnapshot(t.Context(), address, elmsnapshot.Position{})
			if (err == nil) != c.complete || c.complete && s.GetRevision() != 7 {
				t.Errorf("snapshot %v, error %v", s, err)
			}
		})
	}
}
