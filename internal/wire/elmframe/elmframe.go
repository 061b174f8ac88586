// Package elmframe numbers and verifies the frames of a response.
//
// Each frame contains the identifier of its attempt and a sequence number that
// starts at 0. The last frame contains the number of data bytes and their XXH64
// checksum. Frames that are missing, repeated, out of order, after the end, or of
// another attempt are errors.
//
// # Usage
//
//	assembler := elmframe.New("r1/1")
//	err := assembler.Accept(frame)
package elmframe

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

var (
	// ErrWrongAttempt reports a frame of another attempt.
	ErrWrongAttempt = errors.New("frame belongs to another attempt")
	// ErrSequence reports a frame that is missing, repeated, or out of order.
	ErrSequence = errors.New("frame out of sequence")
	// ErrCorrupted reports a response whose length or checksum is wrong.
	ErrCorrupted = errors.New("response length or checksum mismatch")
)

// Assembler verifies the received frames of one response in order, or creates the
// numbered frames of a response to send.
type Assembler struct {
	attempt string
	// next is the sequence number of the next frame.
	next uint64
	// total is the number of data bytes so far.
	total  uint64
	ended  bool
	digest *xxhash.Digest
}

// New returns an Assembler for the response to an attempt.
func New(attempt string) *Assembler {
	return &Assembler{attempt: attempt, digest: xxhash.New()}
}

// Accept verifies the next received frame.
func (a *Assembler) Accept(f *elmwire.Frame) error {
	if f.GetAttempt() != a.attempt {
		return fmt.Errorf("%w: got %q, want %q", ErrWrongAttempt, f.GetAttempt(), a.attempt)
	}
	if a.ended || f.GetSequence() != a.next {
		return fmt.Errorf("%w: got %d, want %d", ErrSequence, f.GetSequence(), a.next)
	}
	a.next++
	switch kind := f.GetKind().(type) {
	case *elmwire.Frame_Data:
		a.add(kind.Data)
	case *elmwire.Frame_End:
		a.ended = true
		return a.checkEnd(kind.End)
	case *elmwire.Frame_Refusal:
		a.ended = true
	}
	return nil
}

// Head returns the frame that precedes the data.
func (a *Assembler) Head(head *elmwire.Head) *elmwire.Frame {
	f := a.frame()
	f.Kind = &elmwire.Frame_Head{Head: head}
	return f
}

// Data returns a frame with the next part of the response body.
func (a *Assembler) Data(data []byte) *elmwire.Frame {
	a.add(data)
	f := a.frame()
	f.Kind = &elmwire.Frame_Data{Data: data}
	return f
}

// End returns the frame that ends a complete response.
func (a *Assembler) End() *elmwire.Frame {
	f := a.frame()
	f.Kind = &elmwire.Frame_End{End: &elmwire.End{Total: a.total, Checksum: a.digest.Sum64()}}
	return f
}

// Refusal returns the frame that ends a request without a complete response.
func (a *Assembler) Refusal(refusal *elmwire.Refusal) *elmwire.Frame {
	f := a.frame()
	f.Kind = &elmwire.Frame_Refusal{Refusal: refusal}
	return f
}

func (a *Assembler) frame() *elmwire.Frame {
	f := &elmwire.Frame{Attempt: a.attempt, Sequence: a.next}
	a.next++
	return f
}

func (a *Assembler) add(data []byte) {
	a.total += uint64(len(data))
	_, _ = a.digest.Write(data) // Digest.Write never fails.
}

func (a *Assembler) checkEnd(end *elmwire.End) error {
	if end.GetTotal() != a.total || end.GetChecksum() != a.digest.Sum64() {
		return fmt.Errorf("%w: got %d bytes, want %d", ErrCorrupted, a.total, end.GetTotal())
	}
	return nil
}
