// Package elmhead validates the heads and trailers of HTTP/1.1 responses. It rejects what
// net/http accepts or repairs: status codes outside 100 to 599, and field names that are not
// tokens. Obsolete line folding counts as an invalid name, since it can't be told from a name
// that begins with a space; RFC 9112, section 5.2, lets gateways reject it.
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

// ErrMalformed reports a response head that is not valid HTTP/1.1.
var ErrMalformed = errors.New("malformed head of a response")

// statusDigits is the length of a status code.
const statusDigits = 3

// position is the part of a head that the next byte belongs to.
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

// Checker validates the head of one response as it arrives, without buffering it. The zero
// value is ready to use.
type Checker struct {
	position position
	// status is the value of the first digits of the status code.
	status, digits int
}

// Done reports whether the head is complete.
func (c *Checker) Done() bool { return c.position == done }

// IsInterim reports whether the head is that of an interim response.
func (c *Checker) IsInterim() bool { return elmstatus.Code(c.status).IsInterim() }

// Feed validates the next bytes of the connection and returns how many of them belong to the
// head.
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

// next validates one byte.
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
			return fmt.Errorf("%w: CR without LF", ErrMalformed)
		}
		c.position = done
	}
	return nil
}

// nextOfVersion validates a byte up to the space before the status code.
func (c *Checker) nextOfVersion(b byte) error {
	switch b {
	case ' ':
		c.position = inStatus
	case '\n':
		return fmt.Errorf("%w: no status code", ErrMalformed)
	}
	return nil
}

// nextOfStatus validates a byte of the status code, a further space before it, or the byte after
// it.
func (c *Checker) nextOfStatus(b byte) error {
	switch {
	case b == ' ' && c.digits == 0:
		return nil
	case b >= '0' && b <= '9' && c.digits < statusDigits:
		c.status = 10*c.status + int(b-'0')
		c.digits++
		return nil
	case c.digits < statusDigits || b != ' ' && b != '\r' && b != '\n':
		return fmt.Errorf("%w: status code does not have three digits", ErrMalformed)
	case !elmstatus.Code(c.status).IsValid():
		return fmt.Errorf("%w: status code %03d is out of range", ErrMalformed, c.status)
	}
	c.position = inReason
	return c.next(b)
}

// beginLine validates the first byte of a line after the status line.
func (c *Checker) beginLine(b byte) error {
	switch b {
	case '\r':
		c.position = atEnd
	case '\n':
		c.position = done
	case ':':
		return fmt.Errorf("%w: empty field name", ErrMalformed)
	default:
		c.position = inName
		return c.nextOfName(b)
	}
	return nil
}

// nextOfName validates a byte of a field name, or the colon after it.
func (c *Checker) nextOfName(b byte) error {
	switch {
	case b == ':':
		c.position = inValue
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: byte %#02x in a field name", ErrMalformed, b)
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
