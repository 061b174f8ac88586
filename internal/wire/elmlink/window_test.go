package elmlink_test

import (
	"bufio"
	"context"
	"io"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// unread is the number of streams that an entry has open and does not read, which is what an
// agent runs at most at a time by default.
const unread = 64

// Guards against callers who wait for others: an entry does not read the streams of callers
// who have stopped reading, and the responses to all others share the link.
func TestUnreadStreamsDontBlockOthers(t *testing.T) {
	filled := make(chan struct{}, unread)
	entry := dial(t, func(number int, stream *quic.Stream) {
		if number <= unread {
			_, _ = stream.Write(make([]byte, 32<<10)) // Fails at the end of the test.
			filled <- struct{}{}
			_, _ = io.Copy(stream, endless{})
			return
		}
		_ = elmlink.Write(stream, &elmwire.Frame{Attempt: "a"}) // Read reports the error.
		_ = stream.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() { // An entry sends what it wants, which keeps the link up.
		for ctx.Err() == nil && entry.Send(&elmwire.Control{}) == nil {
			elmclock.Wait(ctx, time.Second)
		}
	}()
	open := func() *quic.Stream {
		stream, err := entry.Open(ctx)
		if err == nil {
			_, err = io.WriteString(stream, "x")
		}
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.SetReadDeadline(time.Now().Add(5 * time.Second))
		return stream
	}
	for range unread {
		open()
	}
	for n := range unread {
		select {
		case <-filled:
		case <-ctx.Done():
			t.Fatalf("%d of %d streams can be written", n, unread)
		}
	}
	frame := &elmwire.Frame{}
	if err := elmlink.Read(bufio.NewReader(open()), frame); err != nil || frame.GetAttempt() != "a" {
		t.Errorf("frame %v, error %v", frame, err)
	}
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// dial returns the entry's end of a link whose other end calls serve for each stream.
func dial(t *testing.T, serve func(number int, stream *quic.Stream)) *elmlink.Link {
	t.Helper()
	folder := t.TempDir()
	if err := elmkeys.Generate(folder); err != nil {
		t.Fatal(err)
	}
	keys, err := elmkeys.Load(folder)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := quic.ListenAddr("127.0.0.1:0", keys.ServerConfig(), elmlink.QUICConfig())
	if err != nil {
		t.Fatal(err)
	}
	go accept(t.Context(), listener, serve)
	dialer, err := elmlink.NewDialer("127.0.0.1", keys.ClientConfig())
	if err != nil {
		t.Fatal(err)
	}
	link, err := dialer.Dial(t.Context(), listener.Addr().String(), &elmwire.Hello{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		link.Close()
		dialer.Close()
		_ = listener.Close()
	})
	return link
}

// accept is the agent's end of dial.
func accept(ctx context.Context, listener *quic.Listener, serve func(number int, stream *quic.Stream)) {
	var agent *elmlink.Link
	conn, err := listener.Accept(ctx)
	if err == nil {
		agent, err = elmlink.Accept(ctx, conn, &elmwire.Hello{})
	}
	for number := 1; err == nil; number++ {
		var stream *quic.Stream
		if stream, err = agent.AcceptStream(ctx); err == nil {
			go serve(number, stream)
		}
	}
}
