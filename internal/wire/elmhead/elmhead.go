// Package elmhead checks the heads of HTTP/1.1 responses for what net/http accepts or repairs,
// although the head can't be trusted then: a status that is none.
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
	inLine
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
	case inReason, inLine:
		if b == '\n' {
			c.position = atLine
		}
	case atLine:
		c.beginLine(b)
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
func (c *Checker) beginLine(b byte) {
	switch b {
	case '\r':
		c.position = atEnd
	case '\n':
		c.position = done
	default:
		c.position = inLine
	}
}
