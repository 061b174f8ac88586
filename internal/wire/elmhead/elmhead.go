// Package elmhead checks the heads and trailers of HTTP/1.1 responses for what net/http accepts
// or repairs, although they can't be trusted then: a status that is none, and names of fields
// that are no tokens. A line that continues the one before counts as such a name; gateways may
// reject it (RFC 9112, section 5.2).
//
// # Usage
//
//	var checker elmhead.Checker
//	n, err := checker.Feed(received)
//	if checker.Done() { body := received[n:] }
package elmhead

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/elmcove/elmcove/internal/wire/elmstatus"
)

// ErrMalformed reports a head that is none of HTTP/1.1.
var ErrMalformed = errors.New("malformed head of a response")

// statusDigits is the length of a status code.
const statusDigits = 3

// position is where in a head the next byte stands.
type position int

const (
	inVersion position = iota
	inStatus
	inReason
	atLine
	inName
	inValue
	atEnd
	done
)

// Checker checks the head of one response as it arrives, and keeps nothing of it. The zero
// value is ready to use.
type Checker struct {
	position position
	// status and digits are the value and the length of the status code so far.
	status, digits int
}

// Done reports whether the head is complete.
func (c *Checker) Done() bool { return c.position == done }

// IsInterim reports whether the response to the request is still to come after this one.
func (c *Checker) IsInterim() bool { return elmstatus.Code(c.status).IsInterim() }

// Feed checks the next bytes of the connection. It returns how many of them belong to the head.
func (c *Checker) Feed(p []byte) (int, error) {
	for i, b := range p {
		if c.Done() {
			return i, nil
		}
		if err := c.next(b); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

// next checks one byte.
func (c *Checker) next(b byte) error {
	switch c.position {
	case inVersion:
		return c.nextOfVersion(b)
	case inStatus:
		return c.nextOfStatus(b)
	case inReason, inValue:
		if b == '\n' {
			c.position = atLine
		}
	case atLine:
		return c.beginLine(b)
	case inName:
		return c.nextOfName(b)
	case atEnd:
		if b != '\n' {
			return fmt.Errorf("%w: line begins with CR", ErrMalformed)
		}
		c.position = done
	}
	return nil
}

// nextOfVersion checks a byte up to the blank that precedes the status.
func (c *Checker) nextOfVersion(b byte) error {
	switch b {
	case ' ':
		c.position = inStatus
	case '\n':
		return fmt.Errorf("%w: line without status", ErrMalformed)
	}
	return nil
}

// nextOfStatus checks a byte of the status, of further blanks before it, or the one behind it.
func (c *Checker) nextOfStatus(b byte) error {
	switch {
	case b == ' ' && c.digits == 0:
		return nil
	case b >= '0' && b <= '9' && c.digits < statusDigits:
		c.status = 10*c.status + int(b-'0')
		c.digits++
		return nil
	case c.digits < statusDigits || b != ' ' && b != '\r' && b != '\n':
		return fmt.Errorf("%w: status has not three digits", ErrMalformed)
	case !elmstatus.Code(c.status).IsValid():
		return fmt.Errorf("%w: %03d is no status", ErrMalformed, c.status)
	}
	c.position = inReason
	return c.next(b)
}

// beginLine checks the first byte of a line behind the status line.
func (c *Checker) beginLine(b byte) error {
	switch b {
	case '\r':
		c.position = atEnd
	case '\n':
		c.position = done
	case ':':
		return fmt.Errorf("%w: field without a name", ErrMalformed)
	default:
		c.position = inName
		return c.nextOfName(b)
	}
	return nil
}

// nextOfName checks a byte of the name of a field, or the colon behind it.
func (c *Checker) nextOfName(b byte) error {
	switch {
	case b == ':':
		c.position = inValue
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: byte %#02x in the name of a field", ErrMalformed, b)
	}
	return nil
}

// GuardTrailers makes the body of a response fail at its end if the trailers are malformed.
func GuardTrailers(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &guardedBody{response.Body, response}
	}
}

// guardedBody is a body in chunks, which trailers may follow.
type guardedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // As if the body were not guarded.
	}
	for name, values := range b.response.Trailer {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return n, fmt.Errorf("%w: trailer %q", ErrMalformed, name)
		}
	}
	return n, err //nolint:wrapcheck // As if the body were not guarded.
}
