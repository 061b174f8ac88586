package elmagent

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/agent/elmjob"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
	"github.com/elmcove/elmcove/internal/state/elmclaim"
	"github.com/elmcove/elmcove/internal/wire/elmframe"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	openTimeout = 5 * time.Second
	// cancelGrace is the time that an endpoint has to stop a cancelled or failed
	// request before its slot is reused.
	cancelGrace = 50 * time.Millisecond
)

// job executes the commands of one elmjob.Job.
type job struct {
	agent  *Agent
	open   *elmwire.Open
	stream *quic.Stream
	frames *elmframe.Assembler
	base   context.Context
	// complete means that the endpoint's response is complete.
	complete bool
}

// serveStream serves one request.
func (a *Agent) serveStream(ctx context.Context, stream *quic.Stream) {
	defer func() { _ = stream.Close() }() // The entry may have disconnected.
	open := &elmwire.Open{}
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout)) // Fails only on a closed stream.
	if err := elmlink.Read(bufio.NewReader(stream), open); err != nil {
		return
	}
	ctx, span := a.tracer.Start(ctx, "agent", open.GetTrace())
	defer span.End()
	j := &job{agent: a, open: open, stream: stream, frames: elmframe.New(open.GetAttempt()), base: ctx}
	j.serve()
}

// serve admits the request and runs its state machine until there are no further
// messages.
func (j *job) serve() {
	state := elmjob.New(j.agent.settings.Instance+"/"+j.agent.incarnation, j.open.GetClaim())
	if j.open.GetOnce() {
		state = state.WithNonIdempotent()
	}
	var message elmjob.Message = elmjob.Admitted{}
	reason := j.admit()
	if reason != elmwire.Reason_REASON_UNSPECIFIED {
		message = elmjob.Denied{Reason: reason}
	} else {
		defer func() { j.agent.release(j.complete) }()
	}
	for message != nil {
		var commands []elmjob.Command
		state, commands = state.Update(message)
		message = nil
		for _, command := range commands {
			message = j.perform(command)
		}
	}
}

// admit acquires a slot for the request, unless its entry has already
// disconnected.
func (j *job) admit() elmwire.Reason {
	if j.stream.Context().Err() != nil {
		return elmwire.Reason_REASON_STALE
	}
	return j.agent.admit(j.stream.Context(), j.open)
}

// perform executes a command and returns the resulting message, or nil.
func (j *job) perform(command elmjob.Command) elmjob.Message {
	switch c := command.(type) {
	case elmjob.Swap:
		return j.swap(c)
	case elmjob.Run:
		return j.run()
	case elmjob.End:
		j.writeLastFrame(j.frames.End())
	case elmjob.Refuse:
		j.writeLastFrame(j.frames.Refusal(c.Refusal))
	}
	return nil
}

// swap writes a claim record with a compare-and-swap.
func (j *job) swap(c elmjob.Swap) elmjob.Message {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.Tally)
	if err != nil {
		return elmjob.StoreFailed{}
	}
	result, err := j.agent.store.SwapWithLease(j.base, c.Key, c.Version, data, elmclaim.HoursSinceEpoch(time.Now()), elmclaim.LeaseTTL)
	if err != nil {
		if c.Tally.GetPhase() == elmwire.Phase_PHASE_DONE {
			j.agent.logger.Event(elmlog.RecordFailed, "request", j.open.GetRequest(), "error", err)
		}
		return elmjob.StoreFailed{}
	}
	return elmjob.Swapped{Won: result.Won, Version: result.Value.Version}
}

// run sends the request to the endpoint. If the entry disconnects, an idempotent
// request is cancelled and a non-idempotent one continues.
func (j *job) run() elmjob.Message {
	ctx, cancel := context.WithTimeout(j.base, time.Duration(j.open.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	if !j.open.GetOnce() {
		stop := context.AfterFunc(j.stream.Context(), cancel)
		defer stop()
	}
	ctx, span := j.agent.tracer.Start(ctx, "endpoint", elmtrace.Parent(j.base))
	defer span.End()
	reply, err := j.agent.client.Call(ctx, j.open, j)
	if err == nil {
		j.complete = true
		return elmjob.Replied{Status: reply.Status, Media: reply.Media, Body: reply.Body}
	}
	if j.stream.Context().Err() != nil {
		return elmjob.Cancelled{}
	}
	j.agent.logger.Event(elmlog.EndpointFailed, "request", j.open.GetRequest(), "error", err)
	if errors.Is(err, elmendpointclient.ErrRefused) || errors.Is(err, elmendpointclient.ErrEndpoint) {
		j.agent.resetToCold()
	}
	return elmjob.EndpointFailed{}
}

// Head implements elmendpointclient.Sink.
func (j *job) Head(head *elmwire.Head) error {
	return j.writeFrame(j.frames.Head(head))
}

// Data implements elmendpointclient.Sink.
func (j *job) Data(data []byte, step time.Duration) error {
	if step > 0 {
		j.agent.observe(step)
	}
	return j.writeFrame(j.frames.Data(data))
}

// writeFrame sends a frame to the entry. For a non-idempotent request it ignores
// write errors, so that the response is read to its end even if the entry has
// disconnected.
func (j *job) writeFrame(frame *elmwire.Frame) error {
	err := elmlink.Write(j.stream, frame)
	if j.open.GetOnce() {
		return nil
	}
	return err
}

func (j *job) writeLastFrame(frame *elmwire.Frame) {
	_ = elmlink.Write(j.stream, frame) // The entry may have disconnected.
}
