package elmrouter

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmlifecycle"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmevents"
	"github.com/elmcove/elmcove/platform"
)

// errStreamMigrated reports that a stream continues at another endpoint.
var errStreamMigrated = errors.New("stream moved away from a slow rank")

// errCallerDisconnected reports that the caller has disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// relay forwards a response to the caller and returns the message for its end.
func (d *delivery) relay(c elmlifecycle.Relay) elmlifecycle.Message {
	d.framing, d.received = d.response.Framing(), 0
	d.router.meter.Count(elmmeter.Responses, "framing", string(d.framing))
	events := elmevents.IsStream(d.response.Header.Get("Content-Type"))
	if c.Resumed {
		d.splitter.DropPending()
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
	if errors.Is(err, errStreamMigrated) {
		return elmlifecycle.Truncated{Resumable: true}
	}
	d.release(elmplace.Failed)
	d.recordLostResponse()
	resumable := events && d.route.Resumable
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
	d.status = d.response.Status
	d.writer.WriteHeader(d.status)
	if !events {
		d.firstByte = elmclock.Now()
	}
}

// copyBody forwards the body: streams as complete events as soon as they arrive,
// other bodies as they are.
func (d *delivery) copyBody(events bool) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := d.response.Read(buffer)
		d.received += n
		part := buffer[:n]
		if events {
			part = d.splitter.Feed(part)
		}
		if writeErr := d.writePart(part, events); writeErr != nil {
			return writeErr
		}
		switch {
		case errors.Is(err, io.EOF) && events:
			return d.endStream()
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case d.splitter.Err() != nil:
			return d.splitter.Err()
		}
		if events && d.migrateStream() {
			return errStreamMigrated
		}
	}
}

// endStream forwards the comments after the last event, or returns an error if the
// stream ended inside an event.
func (d *delivery) endStream() error {
	rest, err := d.splitter.End()
	if err != nil {
		return err
	}
	return d.writePart(rest, true)
}

// migrateStream reserves a slot at another endpoint for a stream at a slow rank, if
// the stream is resumable there. All ranks of a group wait for the slow rank's own
// share of a pass, which it has only while it has requests.
func (d *delivery) migrateStream() bool {
	if !d.route.Resumable || d.splitter.LastID() == "" || len(d.lifecycle.Tried()) >= d.route.Attempts || !d.atSlowRank() {
		return false
	}
	now := elmclock.Now()
	members := d.router.follower.Snapshot().Members(d.service.Name, now)
	member, found := d.reserveElsewhere(members, now)
	if !found {
		return false
	}
	d.release(elmplace.Ignored)
	d.member, d.slotHeld, d.reserved, d.sentAt = member, true, true, now
	return true
}

// atSlowRank reports whether the request is at a slow rank.
func (d *delivery) atSlowRank() bool {
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	return d.router.placer.IsSlow(d.member)
}

// reserveElsewhere takes a slot at an endpoint that is not slow, and one retry from
// the retry budget.
func (d *delivery) reserveElsewhere(members []elmsnapshot.Member, now time.Duration) (elmsnapshot.Member, bool) {
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	placer := d.router.placer
	member, verdict := placer.Pick(d.query(d.lifecycle.Tried()), members, now)
	if verdict != elmplace.Placed || placer.IsSlow(member) || !placer.TakeRetry(d.service.Name, now) {
		return member, false
	}
	placer.Begin(member.ID, now)
	d.router.wakeReporter()
	return member, true
}

// writePart writes a part of the body to the caller and flushes events at once.
func (d *delivery) writePart(part []byte, events bool) error {
	if len(part) == 0 {
		return nil
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
	return nil
}
