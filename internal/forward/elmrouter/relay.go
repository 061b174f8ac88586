package elmrouter

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmflight"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/platform"
)

// errMoved reports that a stream goes on at another endpoint.
var errMoved = errors.New("stream moves from a slow rank")

// errCaller reports that the caller takes no more bytes.
var errCaller = errors.New("caller has gone")

// relay passes an answer on and returns how it ended.
func (d *delivery) relay(c elmflight.Relay) elmflight.Message {
	events := d.route.Kind == elmcatalog.Stream && strings.HasPrefix(d.answer.Header.Get("Content-Type"), "text/event-stream")
	if c.Resumed {
		d.splitter.Restart()
	} else {
		d.begin(events)
	}
	err := d.copyBody(events)
	switch {
	case err == nil:
		return elmflight.Ended{}
	case errors.Is(err, errCaller):
		return elmflight.Left{}
	}
	d.cause = err
	if m := d.ended(true); m != nil {
		return m
	}
	if errors.Is(err, errMoved) {
		return elmflight.Cut{Resumable: true}
	}
	d.release(elmplace.Failed)
	resumable := events && d.route.Resumable
	spent := !resumable || len(d.flight.Tried()) >= d.route.Attempts || d.groupBroken() || !d.repeat()
	return elmflight.Cut{Resumable: resumable, Spent: spent}
}

// begin sends the head of the answer.
func (d *delivery) begin(events bool) {
	header := d.writer.Header()
	for name, values := range platform.AnswerHeaders(d.answer.Header) {
		header[name] = values
	}
	if events {
		header.Del("Content-Length") // A resumed stream may differ in length.
	}
	d.writer.WriteHeader(d.answer.Status)
	if !events {
		d.first = elmclock.Now()
	}
}

// copyBody passes the body on: streams by whole events as they come, others as
// they are.
func (d *delivery) copyBody(events bool) error {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := d.answer.Read(buffer)
		part := buffer[:n]
		ended := errors.Is(err, io.EOF)
		if events {
			part = d.splitter.Feed(part)
			if ended {
				part = append(part, d.splitter.Rest()...)
			}
		}
		if writeErr := d.write(part, events); writeErr != nil {
			return writeErr
		}
		if ended {
			return nil
		}
		if err != nil {
			return err
		}
		if events && d.move() {
			return errMoved
		}
	}
}

// move gives a stream at a slow rank a place at another, if it may be resumed
// there. All ranks of a group wait for the own part of the slow one, which it
// has while it has requests.
func (d *delivery) move() bool {
	if !d.route.Resumable || d.splitter.Last() == "" || len(d.flight.Tried()) >= d.route.Attempts || !d.atSlowRank() {
		return false
	}
	now := elmclock.Now()
	members := d.router.follower.Belief().Members(d.service.Name, now)
	member, found := d.takeOther(members, now)
	if !found {
		return false
	}
	d.release(elmplace.Ignored)
	d.member, d.open, d.reserved, d.sentAt = member, true, true, now
	return true
}

func (d *delivery) atSlowRank() bool {
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	return d.router.placer.IsSlow(d.member)
}

// takeOther takes a place at an endpoint that is not slow, and a repeat.
func (d *delivery) takeOther(members []elmbelief.Member, now time.Duration) (elmbelief.Member, bool) {
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	placer := d.router.placer
	member, verdict := placer.Pick(elmplace.Query{Service: d.service, Tried: d.flight.Tried()}, members, now)
	if verdict != elmplace.Placed || placer.IsSlow(member) || !placer.Repeat(d.service.Name, now) {
		return member, false
	}
	placer.Begin(member.ID, now)
	return member, true
}

// write passes a part of the body to the caller, events at once.
func (d *delivery) write(part []byte, events bool) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := d.writer.Write(part); err != nil {
		return errCaller
	}
	if !events {
		return nil
	}
	now := elmclock.Now()
	if d.first == 0 {
		d.first = now
	}
	d.router.progress(d.service.Name, d.member.ID, now)
	if err := http.NewResponseController(d.writer).Flush(); err != nil {
		return errCaller
	}
	return nil
}
