// Package elmevents splits a stream of server-sent events, so that only complete events
// are forwarded and a stream can be resumed at another endpoint. It decides where a stream
// ends: a stream is whole only if its response ends, as its framing says, after a complete
// event. Bytes that are no events, such as another response behind a stream whose
// connection marks its end, break the stream off.
//
// # Usage
//
//	var splitter elmevents.Splitter
//	reader := elmevents.NewReader(body, &splitter, splitter.Feed)
//	for {
//		events, err := reader.Next()
//		forward(events)
//		if errors.Is(err, io.EOF) { /* whole */ }
//	}
//	last := splitter.LastID()
package elmevents

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrTruncated reports a stream that ends inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// ErrTooLong reports an event that is longer than MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

// ErrMalformed reports a stream with bytes that are no event.
var ErrMalformed = errors.New("stream has bytes that are no event")

// MaxEventBytes is the longest event that is buffered.
const MaxEventBytes = 128 << 10

// mediaType is the media type of event streams.
const mediaType = "text/event-stream"

// IsStream reports whether a Content-Type header names an event stream.
func IsStream(contentType string) bool {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(name), mediaType)
}

// Splitter buffers bytes until an event is complete. The zero value is ready to use.
type Splitter struct {
	pending []byte
	scanner scanner
	last    string
	err     error
}

// Split adds the next bytes of the stream and returns the events that are now complete.
func (s *Splitter) Split(part []byte) []byte {
	s.pending = append(s.pending, part...)
	complete := 0
	for end := s.scanner.eventEnd(s.pending); end > 0; end = s.scanner.eventEnd(s.pending[complete:]) {
		if !isEvent(s.pending[complete : complete+end]) {
			s.err = ErrMalformed
			break
		}
		complete += end
	}
	if complete == 0 {
		return nil
	}
	events := s.pending[:complete:complete]
	s.pending = bytes.Clone(s.pending[complete:])
	return events
}

// Feed is like Split, but it drops events whose numeric identifier is not above that of
// the last event, because the caller has received these already.
func (s *Splitter) Feed(part []byte) []byte {
	events := s.Split(part)
	var kept []byte
	for end := eventEnd(events); end > 0; end = eventEnd(events) {
		if id, ok := eventID(events[:end]); !ok || s.advance(id) {
			kept = append(kept, events[:end]...)
		}
		events = events[end:]
	}
	return kept
}

// End returns the comments after the last event, or ErrTruncated if the stream ends
// inside an event. However the response is framed, such a stream is incomplete.
func (s *Splitter) End() ([]byte, error) {
	for rest := s.pending; len(rest) > 0; {
		length := lineLength(rest)
		if length == 0 || rest[0] != ':' {
			return nil, ErrTruncated
		}
		rest = rest[length:]
	}
	return s.pending, nil
}

// Err returns ErrMalformed if what follows the last event is none, and ErrTooLong if the
// incomplete event is too long to be buffered.
func (s *Splitter) Err() error {
	if s.err == nil && len(s.pending) > MaxEventBytes {
		return ErrTooLong
	}
	return s.err
}

// LastID returns the identifier of the last complete event, or "".
func (s *Splitter) LastID() string { return s.last }

// Pending returns the bytes of the incomplete event at the end of the stream.
func (s *Splitter) Pending() []byte { return s.pending }

// DropPending drops the incomplete event, so that the stream of another endpoint can
// follow.
func (s *Splitter) DropPending() { s.pending, s.scanner, s.err = nil, scanner{}, nil }

// advance stores an identifier as the last one, unless both are numbers and it is not
// above the last one. It reports whether the identifier was stored.
func (s *Splitter) advance(id string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.last, 10, 64)
	if err == nil && lastErr == nil && next <= last {
		return false
	}
	s.last = id
	return true
}

// eventEnd returns the length of the first event including its blank line, or 0 if no
// event is complete.
func eventEnd(stream []byte) int { return new(scanner).eventEnd(stream) }

// scanner finds the end of the first event of a stream that grows. It looks at each byte
// once, in however many parts the stream arrives.
type scanner struct {
	// line is the start of the first line that is not complete, and searched is how far it
	// has no line ending.
	line, searched int
}

// eventEnd is like the function, for a stream that has grown since the last call that
// returned 0.
func (s *scanner) eventEnd(stream []byte) int {
	for s.line < len(stream) {
		s.searched = max(s.searched, s.line)
		found := bytes.IndexAny(stream[s.searched:], "\r\n")
		if found < 0 {
			s.searched = len(stream)
			return 0
		}
		s.searched += found
		end := s.searched + lineLength(stream[s.searched:])
		if s.searched == s.line {
			*s = scanner{}
			return end
		}
		if end == len(stream) && stream[end-1] == '\r' {
			return 0 // An LF may follow.
		}
		s.line = end
	}
	return 0
}

// byteOrderMark may begin a stream.
const byteOrderMark = "\ufeff"

// isEvent reports whether all lines of an event are comments or fields. Fields of unknown
// names are allowed, but a name has only letters, digits, hyphens and underscores, so that
// neither the head of a response nor a text of several words counts as an event.
func isEvent(event []byte) bool {
	event = bytes.TrimPrefix(event, []byte(byteOrderMark))
	isLineEnding := func(r rune) bool { return r == '\r' || r == '\n' }
	for _, line := range bytes.FieldsFunc(event, isLineEnding) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
			return false
		}
	}
	return true
}

// isNameRune reports whether the name of a field may contain a character.
func isNameRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '-' || r == '_'
}

// lineLength returns the length of the first line with its line ending, which is CR LF, LF
// or CR, or 0 if no line is complete.
func lineLength(stream []byte) int {
	content := bytes.IndexAny(stream, "\r\n")
	switch {
	case content < 0:
		return 0
	case bytes.HasPrefix(stream[content:], []byte("\r\n")):
		return content + 2
	}
	return content + 1
}

// eventID returns the identifier of an event, and whether it has one.
func eventID(event []byte) (string, bool) {
	isLineEnding := func(r rune) bool { return r == '\r' || r == '\n' }
	for _, line := range bytes.FieldsFunc(event, isLineEnding) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
