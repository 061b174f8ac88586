package elmrouter

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmflight"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/platform"
)

// errCaller reports that the caller takes no more bytes.
var errCaller = errors.New("caller has gone")

// relay passes an answer on and returns how it ended.
func (v *voyage) relay(c elmflight.Relay) elmflight.Message {
	events := v.route.Kind == elmcatalog.Stream && strings.HasPrefix(v.answer.Header.Get("Content-Type"), "text/event-stream")
	if c.Resumed {
		v.splitter.Restart()
	} else {
		v.begin(events)
	}
	err := v.copyBody(events)
	switch {
	case err == nil:
		return elmflight.Ended{}
	case errors.Is(err, errCaller):
		return elmflight.Left{}
	}
	v.cause = err
	if m := v.ended(true); m != nil {
		return m
	}
	v.release(elmplace.Failed)
	resumable := events && v.route.Resumable
	spent := !resumable || len(v.flight.Tried()) >= v.route.Attempts || v.groupBroken() || !v.repeat()
	return elmflight.Cut{Resumable: resumable, Spent: spent}
}

// begin sends the head of the answer.
func (v *voyage) begin(events bool) {
	header := v.writer.Header()
	for name, values := range platform.AnswerHeaders(v.answer.Header) {
		header[name] = values
	}
	if events {
		header.Del("Content-Length") // A resumed stream may differ in length.
	}
	v.writer.WriteHeader(v.answer.Status)
	if !events {
		v.first = elmclock.Now()
	}
}

// copyBody passes the body on: streams by whole events as they come, others as
// they are.
func (v *voyage) copyBody(events bool) error {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := v.answer.Read(buffer)
		part := buffer[:n]
		ended := errors.Is(err, io.EOF)
		if events {
			part = v.splitter.Feed(part)
			if ended {
				part = append(part, v.splitter.Rest()...)
			}
		}
		if writeErr := v.write(part, events); writeErr != nil {
			return writeErr
		}
		if ended {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write passes a part of the body to the caller, events at once.
func (v *voyage) write(part []byte, events bool) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := v.writer.Write(part); err != nil {
		return errCaller
	}
	if !events {
		return nil
	}
	if v.first == 0 {
		v.first = elmclock.Now()
	}
	if err := http.NewResponseController(v.writer).Flush(); err != nil {
		return errCaller
	}
	return nil
}
