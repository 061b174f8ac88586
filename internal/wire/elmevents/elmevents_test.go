package elmevents_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/wire/elmevents"
)

const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestFeedInAnyParts(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		var s elmevents.Splitter
		var got strings.Builder
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			got.Write(s.Feed([]byte(rest[:n])))
			rest = rest[n:]
		}
		if got.String() != stream || s.LastID() != "3" || len(s.Pending()) != 0 {
			t.Fatalf("parts of %d: got %q, last %q", size, got.String(), s.LastID())
		}
	}
}

func TestFeed(t *testing.T) {
	for name, c := range map[string]struct {
		parts []string
		want  string
		last  string
		rest  string
	}{
		"incomplete event is buffered":   {[]string{"id: 1\ndata: a\n\nid: 2\nda"}, "id: 1\ndata: a\n\n", "1", "id: 2\nda"},
		"repeated events are dropped":    {[]string{"id: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"}, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", "3", ""},
		"events without an identifier":   {[]string{"data: x\n\n: comment\n\n"}, "data: x\n\n: comment\n\n", "", ""},
		"carriage returns":               {[]string{"id: 7\r\ndata: x\r\n\r\n"}, "id: 7\r\ndata: x\r\n\r\n", "7", ""},
		"single carriage returns":        {[]string{"id: 7\rdata: x\r\rid: 8\rda"}, "id: 7\rdata: x\r\r", "7", "id: 8\rda"},
		"mixed line endings":             {[]string{"id: 7\r\ndata: x\r\n\ndata: y\n\r\n"}, "id: 7\r\ndata: x\r\n\ndata: y\n\r\n", "7", ""},
		"line ending in two parts":       {[]string{"id: 7\r\n\r", "\nid: 8\r", "\ndata: y\r\n\r\n"}, "id: 7\r\n\r\nid: 8\r\ndata: y\r\n\r\n", "8", ""},
		"identifier that isn't a number": {[]string{"id: x\n\nid: x\n\n"}, "id: x\n\nid: x\n\n", "x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var s elmevents.Splitter
			var got strings.Builder
			for _, p := range c.parts {
				got.Write(s.Feed([]byte(p)))
			}
			if got.String() != c.want || s.LastID() != c.last || string(s.Pending()) != c.rest {
				t.Errorf("got %q, last %q, rest %q", got.String(), s.LastID(), s.Pending())
			}
		})
	}
}

func TestRestartDropsTheIncompleteEvent(t *testing.T) {
	var s elmevents.Splitter
	s.Feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: b"))
	s.DropPending()
	if got := string(s.Feed([]byte("id: 2\ndata: b\n\n"))); got != "id: 2\ndata: b\n\n" {
		t.Errorf("got %q", got)
	}
}

// Guards against a stream that ends inside an event passing for complete.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		stream    string
		rest      string
		truncated bool
	}{
		"no event":                   {stream: ""},
		"after an event":             {stream: "data: a\n\n"},
		"after blank lines":          {stream: "data: a\n\n\n\r\n"},
		"after a comment":            {stream: "data: a\n\n: keep-alive\n", rest: ": keep-alive\n"},
		"inside a comment":           {stream: "data: a\n\n: keep", truncated: true},
		"inside a field name":        {stream: "data: a\n\nda", truncated: true},
		"after a line of an event":   {stream: "data: a\n\nid: 2\n", truncated: true},
		"inside the first event":     {stream: "data: a", truncated: true},
		"comment inside an event":    {stream: "data: a\n: keep-alive\n", truncated: true},
		"before a blank line, by CR": {stream: "data: a\r", truncated: true},
	} {
		t.Run(name, func(t *testing.T) {
			var s elmevents.Splitter
			s.Feed([]byte(c.stream))
			rest, err := s.End()
			if string(rest) != c.rest || errors.Is(err, elmevents.ErrTruncated) != c.truncated {
				t.Errorf("rest %q, error %v", rest, err)
			}
		})
	}
}

// Guards against a process that runs out of memory because an event never ends.
func TestEndlessEvent(t *testing.T) {
	var s elmevents.Splitter
	part := []byte(strings.Repeat("x", 8<<10))
	fed := 0
	for s.Feed([]byte("id: 1\ndata: ")); s.Err() == nil; fed += len(part) {
		if fed > 2*elmevents.MaxEventBytes {
			t.Fatalf("no error after %d bytes", fed)
		}
		s.Feed(part)
	}
	if fed < elmevents.MaxEventBytes-len(part) {
		t.Errorf("error after %d bytes, %d are allowed", fed, elmevents.MaxEventBytes)
	}
}

// Guards against a process that copies an incomplete event once more for each small part of
// it that arrives.
func TestEventInSmallParts(t *testing.T) {
	allocations := testing.AllocsPerRun(1, func() {
		var s elmevents.Splitter
		for s.Err() == nil {
			s.Split([]byte("data: x\n"))
		}
	})
	if allocations > 100 {
		t.Errorf("%v allocations", allocations)
	}
}
