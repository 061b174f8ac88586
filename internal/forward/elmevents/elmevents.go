// Package elmevents splits a stream of server-sent events, so that only whole
// events are passed on and a stream can go on at another endpoint.
//
// # Usage
//
//	var splitter elmevents.Splitter
//	whole := splitter.Feed(bytes)
//	last := splitter.Last()
package elmevents

import (
	"bytes"
	"strconv"
)

// Splitter collects bytes until they end an event. The zero value is ready.
type Splitter struct {
	pending []byte
	last    string
}

// Feed takes the next bytes and returns the whole events that they end, without
// those that the caller has already.
func (s *Splitter) Feed(part []byte) []byte {
	s.pending = append(s.pending, part...)
	var whole []byte
	for {
		end := eventEnd(s.pending)
		if end == 0 {
			return whole
		}
		event := s.pending[:end]
		if id, ok := eventID(event); !ok || s.advance(id) {
			whole = append(whole, event...)
		}
		s.pending = append([]byte(nil), s.pending[end:]...)
	}
}

// Last returns the identifier of the last whole event, or "".
func (s *Splitter) Last() string { return s.last }

// Rest returns the bytes of an event that has not ended.
func (s *Splitter) Rest() []byte { return s.pending }

// Restart drops an event that has not ended. The events of another endpoint
// follow.
func (s *Splitter) Restart() { s.pending = nil }

// advance takes an identifier if it follows the last one.
func (s *Splitter) advance(id string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.last, 10, 64)
	if err == nil && lastErr == nil && next <= last {
		return false
	}
	s.last = id
	return true
}

// eventEnd returns the length of the first event with its blank line, or 0.
func eventEnd(stream []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(stream, []byte(blank)); i >= 0 && (end == 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
