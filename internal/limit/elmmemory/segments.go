package elmmemory

import (
	"errors"
	"io"
	"time"
)

const (
	// minSegment and maxSegment bound the segments of a body. Each is as long as what was read
	// before, so that a body takes at most twice its length.
	minSegment = 1 << 10
	maxSegment = 64 << 10
)

// ReadBody reads a body into segments, which are never copied while it grows. It takes the
// capacity of each segment from the holder. The length is the announced one, or -1, and the
// body is read up to a limit and one byte more. The error is ErrExhausted if there is no memory
// for the body. With an error the holder returns what the body has taken.
func ReadBody(body io.Reader, length, limit int64, holder *Holder) ([][]byte, error) {
	segments, err := readBody(body, length, limit, holder)
	if err != nil {
		holder.Drop()
		return nil, err
	}
	return segments, nil
}

func readBody(body io.Reader, length, limit int64, holder *Holder) ([][]byte, error) {
	var segments [][]byte
	total := int64(0)
	for total <= limit {
		size := min(max(total, minSegment), maxSegment, limit+1-total)
		if length >= 0 {
			size = min(size, length-total+1) // The last byte is for the end of the body.
		}
		if total <= SmallBytes { // The byte beyond is for the end of the body.
			size = min(size, SmallBytes+1-total)
		}
		if !holder.Take(poolAt(total), size, time.Now()) {
			return nil, ErrExhausted
		}
		segment, err := fill(make([]byte, 0, size), body, holder)
		total += int64(len(segment))
		if len(segment) > 0 {
			segments = append(segments, segment)
		}
		if errors.Is(err, io.EOF) {
			return segments, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return segments, nil
}

// poolAt returns the pool of the part of a body that follows a number of bytes.
func poolAt(total int64) Pool {
	if total <= SmallBytes {
		return Small
	}
	return Large
}

// fill reads until a segment is full.
func fill(segment []byte, body io.Reader, holder *Holder) ([]byte, error) {
	for len(segment) < cap(segment) {
		n, err := body.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if n > 0 {
			holder.Progress(n, time.Now())
		}
		if err != nil {
			return segment, err //nolint:wrapcheck // It is the error of the body.
		}
	}
	return segment, nil
}

// Length returns the length of segments together.
func Length(segments [][]byte) int64 {
	total := int64(0)
	for _, s := range segments {
		total += int64(len(s))
	}
	return total
}
