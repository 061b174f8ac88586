// Package elmlink carries messages between an entry and an agent over QUIC.
//
// A link has one control stream, on which both sides first send a Hello, and one
// stream per request. Messages are length-delimited protobuf.
//
// # Usage
//
//	dialer, err := elmlink.NewDialer("127.0.0.1", keys.ClientConfig())
//	link, err := dialer.Dial(ctx, "127.0.0.1:7001", hello)
//	stream, err := link.Open(ctx)
//	err = elmlink.Write(stream, open)
package elmlink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	// Version is the protocol version. Both sides must have the same one.
	Version = 1

	// CodeCancelled is the stream error code with which an entry cancels a
	// request.
	CodeCancelled quic.StreamErrorCode = 1

	idleTimeout     = 3 * time.Second
	helloTimeout    = 2 * time.Second
	maxMessageBytes = 16 << 20
	maxStreams      = 4096
	// streamWindowBytes and maxStreamWindowBytes limit what is received of a stream and
	// not read yet, at first and when it is read fast.
	streamWindowBytes    = 64 << 10
	maxStreamWindowBytes = 128 << 10
	// linkWindowBytes limits what is received of a link and not read yet. It has room for twice
	// as many streams as an agent runs by default, so that those that are not read hold up
	// neither others nor the control stream.
	linkWindowBytes = 128 * maxStreamWindowBytes
)

var (
	// ErrLink reports a link that could not be set up or has failed.
	ErrLink = errors.New("link failed")
	// ErrVersion reports a peer with another protocol version.
	ErrVersion = errors.New("peer has another protocol version")
)

// Link is a connection between an entry and an agent. It is safe for concurrent
// use, except that only one goroutine may call Receive.
type Link struct {
	conn    *quic.Conn
	control *quic.Stream
	reader  *bufio.Reader
	peer    *elmwire.Hello
	// mutex serializes writes to the control stream.
	mutex sync.Mutex
}

// Accept sets up a link on a connection that an entry has dialled.
func Accept(ctx context.Context, conn *quic.Conn, hello *elmwire.Hello) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	control, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: control stream: %w", ErrLink, err)
	}
	return handshake(conn, control, hello)
}

// QUICConfig returns the QUIC configuration of all links.
func QUICConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: linkWindowBytes,
		MaxConnectionReceiveWindow:     linkWindowBytes,
	}
}

// Peer returns the Hello of the peer.
func (l *Link) Peer() *elmwire.Hello { return l.peer }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.conn.Context().Done() }

// Send writes a message to the control stream.
func (l *Link) Send(message *elmwire.Control) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Write(l.control, message)
}

// Receive reads the next message from the control stream.
func (l *Link) Receive() (*elmwire.Control, error) {
	message := &elmwire.Control{}
	if err := Read(l.reader, message); err != nil {
		return nil, err
	}
	return message, nil
}

// Open starts a stream for a request.
func (l *Link) Open(ctx context.Context) (*quic.Stream, error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: open stream: %w", ErrLink, err)
	}
	return stream, nil
}

// AcceptStream waits for the stream of the next request.
func (l *Link) AcceptStream(ctx context.Context) (*quic.Stream, error) {
	stream, err := l.conn.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: accept stream: %w", ErrLink, err)
	}
	return stream, nil
}

// Close closes the link and all its streams.
func (l *Link) Close() {
	_ = l.conn.CloseWithError(0, "closed") // The connection may be closed already.
}

// Write writes one message.
func Write(w io.Writer, message proto.Message) error {
	if _, err := protodelim.MarshalTo(w, message); err != nil {
		return fmt.Errorf("%w: write: %w", ErrLink, err)
	}
	return nil
}

// Read reads one message.
func Read(r *bufio.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(r, message); err != nil {
		return fmt.Errorf("%w: read: %w", ErrLink, err)
	}
	return nil
}

// handshake exchanges Hello messages on the control stream and checks the peer's
// protocol version.
func handshake(conn *quic.Conn, control *quic.Stream, hello *elmwire.Hello) (*Link, error) {
	hello.Version = Version
	l := &Link{conn: conn, control: control, reader: bufio.NewReader(control), peer: &elmwire.Hello{}}
	if err := Write(control, hello); err != nil {
		l.Close()
		return nil, err
	}
	_ = control.SetReadDeadline(time.Now().Add(helloTimeout)) // It fails only on a closed stream.
	if err := Read(l.reader, l.peer); err != nil {
		l.Close()
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	if l.peer.GetVersion() != Version {
		l.Close()
		return nil, fmt.Errorf("%w: %d, want %d", ErrVersion, l.peer.GetVersion(), Version)
	}
	return l, nil
}
