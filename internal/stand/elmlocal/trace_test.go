package elmlocal_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

// span holds the decoded fields of a trace span.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// TestTraces checks that a request produces one trace with a span for each hop.
func TestTraces(t *testing.T) {
	t.Parallel()
	var folder string
	f := startWith(t, func(plan *elmlocal.Plan) { folder = plan.Folder })
	if a := f.completion(1, 3); !a.Complete(3) {
		t.Fatalf("the completion got status %d: %s", a.Status, a.Body)
	}
	for _, name := range []string{"entry-1", "draft-1", "draft-2", "draft-3"} {
		f.signal(name, syscall.SIGTERM)
		if err := f.site.WaitExit(f.ctx, name); err != nil {
			t.Fatal(err)
		}
	}
	traces := map[string][]string{}
	paths, err := filepath.Glob(filepath.Join(folder, "*.traces.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		for _, s := range readSpans(t, path) {
			traces[s.SpanContext.TraceID] = append(traces[s.SpanContext.TraceID], s.Name)
		}
	}
	for _, names := range traces {
		all := strings.Join(names, " ")
		if strings.Contains(all, "entry") && strings.Contains(all, "agent") && strings.Contains(all, "endpoint") {
			return
		}
	}
	t.Errorf("no trace has a span for each hop: %v", traces)
}

func readSpans(t *testing.T, path string) []span {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // The file was opened for reading only.
	var spans []span
	for decoder := json.NewDecoder(bufio.NewReader(file)); ; {
		var s span
		if err := decoder.Decode(&s); err != nil {
			return spans
		}
		spans = append(spans, s)
	}
}

// TestSlowReader checks that a caller that reads slowly gets the complete
// response, and delays no other caller.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	f := start(t)
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.entry(1)+"/v1/chat/completions",
		strings.NewReader(`{"model":"draft","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer curb-secret")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // Each failed read ends the test.
	buffer := make([]byte, 512)
	var text strings.Builder
	for range 10 {
		n, readErr := response.Body.Read(buffer)
		if readErr != nil {
			t.Fatal(readErr)
		}
		text.Write(buffer[:n])
		sleep(f.ctx, 200*time.Millisecond)
	}
	if a := f.completion(1, 3); !a.Complete(3) {
		t.Errorf("another caller got status %d: %s", a.Status, a.Body)
	}
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	text.Write(rest)
	if count := strings.Count(text.String(), "content"); count != 400 || !strings.HasSuffix(text.String(), "data: [DONE]\n\n") {
		t.Errorf("got %d of 400 tokens, or no end marker", count)
	}
}
