package elmlistener

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
)

const (
	// lineBytes is what net/http holds for a line of a head beyond its bytes: the entry of the
	// map of headers, a string and a slice. Heads of short lines with different names were
	// measured with up to 150 bytes a line.
	lineBytes = 160
	// copies is how often the bytes of a head are in memory: as they are read, and as text.
	copies = 2
	// headAllowance is the memory for a head that is part of what each connection may hold. An
	// ordinary head has some 20 lines and 1 KB.
	headAllowance = 8 << 10
	// headMargin is how far a head may exceed its limit until the listener ends it. What is
	// beyond the limit by less is refused by the handler, and up to a buffer of 4 KiB may have
	// been read ahead.
	headMargin = 8 << 10
	// refusalTime is the time to write the refusal of a head.
	refusalTime = time.Second
)

// tooLarge refuses a request whose head exceeds the limit. The request has not run.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/problem+json\r\n" +
	"Connection: close\r\nContent-Length: 21\r\n\r\n" + `{"outcome":"not-run"}`

// headCount counts what was read of a head.
type headCount struct {
	bytes, lines int
	// taken is the memory that was taken from the account.
	taken int64
}

// add returns the count with a further part.
func (h headCount) add(part []byte) headCount {
	h.bytes += len(part)
	h.lines += bytes.Count(part, []byte{'\n'})
	return h
}

// cost returns the memory that the head takes beyond the allowance.
func (h headCount) cost() int64 {
	return max(int64(copies*h.bytes+lineBytes*h.lines)-headAllowance, 0)
}

// chargeHead takes the memory for a part of a head that was read into a buffer of some size. It
// returns false if the connection must end.
func (c *conn) chargeHead(part []byte, size int) bool {
	now := time.Now()
	c.mutex.Lock()
	if c.phase != receiving {
		switch { // The server's buffer may hold the begin of the next head.
		case size == c.headBuffer:
			c.ahead = headCount{}.add(part)
		case size < c.headBuffer:
			c.ahead = c.ahead.add(part)
		}
		c.mutex.Unlock()
		return true
	}
	c.head = c.head.add(part)
	if c.ahead = c.ahead.add(part); size == c.headBuffer {
		c.ahead = headCount{}.add(part)
	}
	cost := c.head.cost()
	missing := cost - c.head.taken
	c.head.taken = cost
	exceeded := c.maxHead > 0 && c.head.bytes > c.maxHead+headMargin
	c.mutex.Unlock()
	c.holder.Progress(len(part), now)
	switch {
	case exceeded:
		c.listener.ended(EndedHeadSize)
		_ = c.SetWriteDeadline(now.Add(refusalTime)) // It fails only on a closed connection.
		_, _ = io.WriteString(c.TCPConn, tooLarge)   // The caller may have disconnected.
		return false
	case !c.holder.Take(elmmemory.Heads, missing, now):
		c.listener.ended(EndedHeadMemory)
		return false
	}
	return true
}

// parsedHead returns the count of the head of a request that was read. A head that came in one
// packet with the request before was not counted as it was read, and what was counted may include
// the begin of a body.
func parsedHead(r *http.Request) headCount {
	count := headCount{bytes: len(r.Method) + len(r.RequestURI) + len(r.Host), lines: 2}
	for name, values := range r.Header {
		for _, v := range values {
			count.bytes += len(name) + len(v)
			count.lines++
		}
	}
	return count
}

// ProtectBodies returns a handler whose requests hold the memory of their parsed heads, and are
// protected from being ended as soon as their bodies have been read to the end.
func ProtectBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder := Holder(r)
		if holder == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !holder.Settle(elmmemory.Heads, parsedHead(r).cost(), time.Now()) {
			panic(http.ErrAbortHandler) // The request has not run, and the caller gets no response.
		}
		if r.Body == http.NoBody {
			if !holder.Protect() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		// net/http treats the body of its own request in a special way when it writes a response
		// before the body was read, which it would not do with another one.
		protected := *r
		protected.Body = &protectedBody{r.Body, holder}
		next.ServeHTTP(w, &protected)
	})
}

// Holder returns the holder of a request's connection, or nil if there is no account.
func Holder(r *http.Request) *elmmemory.Holder {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c.holder
	}
	return nil
}

// protectedBody is the body of a request that is protected after its end.
type protectedBody struct {
	io.ReadCloser
	holder *elmmemory.Holder
}

// Read implements io.Reader.
func (b *protectedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.holder.Protect() { //nolint:errorlint // net/http returns it unwrapped.
		return n, elmmemory.ErrExhausted
	}
	return n, err //nolint:wrapcheck // It is the error of the body.
}
