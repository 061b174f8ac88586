package elmfleet

import (
	"bufio"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/elmcove/elmcove/internal/wire/elmframe"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Call is one attempt of a request at an agent, on a stream of its own.
type Call struct {
	agent     string
	stream    *quic.Stream
	reader    *bufio.Reader
	frames    *elmframe.Assembler
	closeOnce sync.Once
	onClose   func()
}

func newCall(agent string, stream *quic.Stream, attempt string, end func()) *Call {
	return &Call{
		agent:   agent,
		stream:  stream,
		reader:  bufio.NewReader(stream),
		frames:  elmframe.New(attempt),
		onClose: end,
	}
}

// Agent returns the name of the agent.
func (c *Call) Agent() string { return c.agent }

// Next returns the next frame of the response. It fails if the link fails or the
// frame is out of place.
func (c *Call) Next() (*elmwire.Frame, error) {
	frame := &elmwire.Frame{}
	if err := elmlink.Read(c.reader, frame); err != nil {
		return nil, err
	}
	if err := c.frames.Accept(frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// Close ends the call. An idempotent request that is still running is cancelled
// at its endpoint.
func (c *Call) Close() {
	c.closeOnce.Do(func() {
		c.stream.CancelRead(elmlink.CodeCancelled)
		c.stream.CancelWrite(elmlink.CodeCancelled)
		c.onClose()
	})
}
