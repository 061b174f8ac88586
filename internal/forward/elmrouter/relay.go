package elmrouter

import (
	"errors"
	"io"
	"net/http"

	"github.com/elmcove/elmcove/internal/forward/elmlifecycle"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmevents"
	"github.com/elmcove/elmcove/platform"
)

// errCallerDisconnected reports that the caller has disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// heldBack is how many bytes of a response that is no stream net/http holds back before it
// sends the head.
const heldBack = 2 << 10

// isStream reports whether the response is a stream.
func (d *delivery) isStream() bool {
	return elmevents.IsStream(d.response.Header.Get("Content-Type"))
}

// open begins to read the body of a response.
func (d *delivery) open() {
	d.first, d.firstErr, d.next = nil, nil, d.response.Next
	if d.isStream() {
		d.next = elmevents.NewReader(d.response, &d.splitter, d.splitter.Feed).Next
	}
}

// readFirst reads the beginning of the body before the head is sent: the first event, or as
// much as would be held back. If the response breaks off before, nothing of it has reached
// the caller, and readFirst returns the error.
func (d *delivery) readFirst() error {
	d.splitter = elmevents.Splitter{}
	d.open()
	events := d.isStream()
	for d.firstErr == nil && (len(d.first) == 0 || !events && len(d.first) < heldBack) {
		var part []byte
		part, d.firstErr = d.next()
		d.first = append(d.first, part...)
	}
	if errors.Is(d.firstErr, io.EOF) || events && len(d.first) > 0 {
		return nil
	}
	return d.firstErr
}

// relay forwards a response to the caller and returns the message for its end.
func (d *delivery) relay(c elmlifecycle.Relay) elmlifecycle.Message {
	d.framing, d.received = d.response.Framing(), 0
	d.router.meter.Count(elmmeter.Responses, "framing", string(d.framing))
	events := d.isStream()
	if c.Resumed {
		d.splitter.DropPending()
		d.open()
	} else {
		d.sendHead(events)
	}
	err := d.copyBody(events)
	switch {
	case err == nil:
		return elmlifecycle.Ended{}
	case errors.Is(err, errCallerDisconnected):
		return elmlifecycle.Disconnected{}
	}
	d.cause = err
	if m := d.contextEnded(true); m != nil {
		return m
	}
	if d.migrate(elmplace.Ignored) {
		d.cause = errMigrated
		return elmlifecycle.Truncated{Resumable: true}
	}
	d.release(elmplace.Failed)
	d.recordLostResponse()
	resumable := events && d.route.Resumable && (d.firstByte == 0 || d.splitter.LastID() != "")
	spent := !resumable || d.groupBroken() || !d.takeRetry()
	return elmlifecycle.Truncated{Resumable: resumable, NoRetry: spent}
}

// sendHead sends the head of the response to the caller.
func (d *delivery) sendHead(events bool) {
	header := d.writer.Header()
	for name, values := range platform.ForwardedResponseHeaders(d.response.Header) {
		header[name] = values
	}
	if events {
		header.Del("Content-Length") // A resumed stream may differ in length.
	}
	d.router.announceReuse(d.writer, d.request)
	d.status = d.response.Status
	d.writer.WriteHeader(d.status)
	if !events {
		d.firstByte = elmclock.Now()
	}
}

// copyBody forwards the body: streams as complete events as soon as they arrive,
// other bodies as they are. It returns nil if the body is whole.
func (d *delivery) copyBody(events bool) error {
	defer func() { d.received = d.response.Received() }()
	for part, err := d.first, d.firstErr; ; part, err = d.next() {
		if events && len(part) > 0 && d.writtenAt > 0 {
			now := elmclock.Now()
			d.recordGap(now-d.writtenAt, now)
		}
		if writeErr := d.writePart(part, events); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writePart writes a part of the body to the caller and flushes events at once.
func (d *delivery) writePart(part []byte, events bool) error {
	if len(part) == 0 {
		return nil
	}
	if events && d.splitter.LastID() == "" && !d.pin() {
		return errMigrated
	}
	if _, err := d.writer.Write(part); err != nil {
		return errCallerDisconnected
	}
	if !events {
		return nil
	}
	now := elmclock.Now()
	if d.firstByte == 0 {
		d.firstByte = now
	}
	if d.progressFrom == 0 {
		d.progressFrom = now
	}
	d.progressTo = now
	d.router.recordProgress(d.service.Name, d.member.ID, now)
	if err := http.NewResponseController(d.writer).Flush(); err != nil {
		return errCallerDisconnected
	}
	d.writtenAt = elmclock.Now()
	return nil
}
