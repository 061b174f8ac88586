// Package elmhostile plays hostile callers of an HTTP server: crowds of connections that send
// requests made to hold as much of its memory and as many of its descriptors as they can.
//
// # Usage
//
//	for _, kind := range elmhostile.Kinds(elmhostile.Target{Host: "site", Path: "/a"}) {
//		crowd := elmhostile.Send(ctx, address, kind)
//		defer crowd.Close()
//	}
package elmhostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// HeadBytes is the size of the largest head of a legal request.
	HeadBytes = 16 << 10
	// BodyBytes is the size of the largest body of a legal request.
	BodyBytes = 4 << 20
	// overlongBytes is just less than net/http reads of a head before a limit is configured.
	overlongBytes = 60_000
	// chunkedBytes is the size of a body that comes in chunks of one byte.
	chunkedBytes = 150 << 10
	// dialers is the number of connections that are opened at a time.
	dialers = 64
	// sendTime is the time in which a connection sends what it has to. A server that does not
	// read stops it.
	sendTime = 3 * time.Second
)

// Target is where a crowd sends its requests.
type Target struct{ Host, Path string }

// Kind is what each connection of a crowd sends before it stops and stays open.
type Kind struct {
	Name        string
	Connections int
	Payload     []byte
	// Endless is sent again and again after Payload.
	Endless []byte
}

// Kinds returns all kinds of crowds.
func Kinds(t Target) []Kind {
	kinds := append(Heads(t), Bodies(t)...)
	return append(append(kinds, Connections(t)...), Unread(t)...)
}

// Heads returns crowds whose heads are odd, long, without end, or of very many lines.
func Heads(t Target) []Kind {
	begin := "POST " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n"
	unknown := "POST /elsewhere HTTP/1.1\r\nHost: elsewhere\r\n"
	const end = "Content-Length: 8\r\n\r\n"
	return []Kind{
		{Name: "short lines", Connections: 300, Payload: repeated(begin, "a:\r\n", "", overlongBytes)},
		{Name: "distinct lines", Connections: 300, Payload: distinct(begin, "", overlongBytes)},
		{Name: "whole head of short lines", Connections: 400, Payload: repeated(begin, "a:\r\n", end, HeadBytes)},
		{Name: "whole head of distinct lines", Connections: 400, Payload: distinct(begin, end, HeadBytes)},
		{Name: "whole head of distinct lines, unknown route", Connections: 400, Payload: distinct(unknown, end, HeadBytes)},
		{Name: "overlong whole head of distinct lines", Connections: 300, Payload: distinct(begin, end, overlongBytes)},
		{Name: "overlong whole head, unknown route", Connections: 300, Payload: distinct(unknown, end, overlongBytes)},
		{Name: "lines without colon", Connections: 300, Payload: repeated(begin, "a\r\n", "", overlongBytes)},
		{Name: "lines without name", Connections: 300, Payload: repeated(begin, ": a\r\n", "", overlongBytes)},
		{Name: "folded lines", Connections: 300, Payload: repeated(begin+"a: b\r\n", " c\r\n", "", overlongBytes)},
		{Name: "head over the limit", Connections: 300, Payload: distinct(begin, end, 256<<10)},
		{Name: "head without end", Connections: 50, Payload: []byte(begin), Endless: repeated("", "a:\r\n", "", 32<<10)},
		{Name: "line without end", Connections: 50, Payload: []byte(begin + "a: "), Endless: repeated("", "x", "", 32<<10)},
		{Name: "empty lines without end", Connections: 50, Endless: repeated("", "\r\n", "", 32<<10)},
	}
}

// Bodies returns crowds whose bodies stop before their end.
func Bodies(t Target) []Kind {
	begin := "POST " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n"
	length := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", begin, n) }
	chunked := begin + "Transfer-Encoding: chunked\r\n\r\n"
	const chunk = 64 << 10
	piece := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	whole := length(BodyBytes)
	return []Kind{
		{Name: "large bodies", Connections: 100, Payload: repeated(whole, "x", "", len(whole)+BodyBytes-1)},
		{Name: "large chunked bodies", Connections: 150, Payload: []byte(chunked + strings.Repeat(piece, BodyBytes/chunk))},
		{Name: "chunks of one byte", Connections: 400, Payload: []byte(chunked + strings.Repeat("1\r\nx\r\n", chunkedBytes))},
		{Name: "small bodies", Connections: 3000, Payload: []byte(length(20_000) + strings.Repeat("x", 16<<10))},
	}
}

// Connections returns crowds that send nothing, part of a line, or one request.
func Connections(t Target) []Kind {
	request := "GET " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n\r\n"
	return []Kind{
		{Name: "silent connections", Connections: 9500},
		{Name: "half a line", Connections: 8000, Payload: []byte(request[:8])},
		{Name: "idle connections", Connections: 8000, Payload: []byte(request)},
	}
}

// Unread returns crowds that do not read the responses to their requests.
func Unread(t Target) []Kind {
	request := "GET " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n\r\n"
	return []Kind{
		{Name: "unread responses", Connections: 200, Payload: []byte(strings.Repeat(request, 2000))},
		{Name: "unread large responses", Connections: 100, Payload: []byte(strings.Repeat(strings.Replace(request, t.Path, t.Path+"/large", 1), 4))},
	}
}

// LegalHead returns a request whose head has the largest legal size, in lines of 4 bytes.
func LegalHead(t Target) []byte {
	return repeated("GET "+t.Path+" HTTP/1.1\r\nHost: "+t.Host+"\r\n", "a:\r\n", "\r\n", HeadBytes)
}

// repeated returns a text of up to a number of bytes that repeats a part.
func repeated(first, part, last string, size int) []byte {
	return []byte(first + strings.Repeat(part, (size-len(first)-len(last))/len(part)) + last)
}

// distinct returns a head of up to a number of bytes whose lines have different names.
func distinct(first, last string, size int) []byte {
	var head bytes.Buffer
	head.WriteString(first)
	for i := 0; head.Len()+len(last)+8 <= size; i++ {
		fmt.Fprintf(&head, "%x:\r\n", 0x1000+i)
	}
	head.WriteString(last)
	return head.Bytes()
}

// Crowd is a number of connections that stay open.
type Crowd struct {
	stop  context.CancelFunc
	mutex sync.Mutex
	// connections are those that were opened.
	connections []net.Conn
	senders     sync.WaitGroup
}

// Send opens the connections of a crowd and sends what they have to, for a limited time. Each
// stays open until Close. Connections that the server refuses or closes are left so.
func Send(ctx context.Context, address string, kind Kind) *Crowd {
	ctx, stop := context.WithCancel(ctx)
	c := &Crowd{stop: stop}
	end := time.Now().Add(sendTime)
	var dialing sync.WaitGroup
	for first := range dialers {
		dialing.Go(func() {
			for i := first; i < kind.Connections; i += dialers {
				c.open(ctx, address, kind, end)
			}
		})
	}
	dialing.Wait()
	c.senders.Wait()
	return c
}

// open opens a connection and sends on it.
func (c *Crowd) open(ctx context.Context, address string, kind Kind, end time.Time) {
	dialer := net.Dialer{Timeout: sendTime, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	c.mutex.Lock()
	c.connections = append(c.connections, conn)
	c.mutex.Unlock()
	c.senders.Go(func() {
		_ = conn.SetWriteDeadline(laterOf(end, time.Now().Add(sendTime/2)))
		_, err := conn.Write(kind.Payload)
		for err == nil && len(kind.Endless) > 0 {
			_, err = conn.Write(kind.Endless)
		}
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Opened returns the number of connections that were opened.
func (c *Crowd) Opened() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.connections)
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.stop()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.connections {
		_ = conn.Close() // The server may have closed it.
	}
}
