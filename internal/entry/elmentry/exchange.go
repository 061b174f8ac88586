package elmentry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmfleet"
	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
	"github.com/elmcove/elmcove/internal/state/elmclaim"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	requestsMetric = elmmeter.Requests
	writeTimeout   = 30 * time.Second
	// maxLate limits the messages of an attempt that are read after the deadline, so that a
	// response without end is ended.
	maxLate    = 16
	errorEvent = "event: error\ndata: {\"error\":{\"message\":\"the answer broke off\",\"type\":\"incomplete\"}}\n\n"
)

// call is a request in the form in which it is sent to an endpoint.
type call struct {
	service    string
	method     string
	path       string
	mediaType  string
	body       []byte
	prefix     string
	key        string
	idempotent bool
}

// exchange executes the commands of one elmrequest.Request.
type exchange struct {
	entry        *Entry
	ctx          context.Context
	w            http.ResponseWriter
	call         call
	start        time.Time
	deadline     time.Time
	id           string
	request      elmrequest.Request
	attempt      *elmfleet.Call
	messages     chan elmrequest.Message
	stop         context.CancelFunc
	head         *elmrequest.Begin
	headSent     bool
	disconnected bool
	// late is the number of messages that were read after the deadline.
	late int
}

// serve handles one request until its response is complete.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, sender caller, c call) {
	ctx, span := e.tracer.Start(ctx, "entry", "")
	defer span.End()
	request, err := e.newRequest(sender, c)
	if err != nil {
		outcome := outcomeBeforeClaim(errors.Is(err, elmclaim.ErrAge))
		e.refuse(w, problem{status: http.StatusBadRequest, title: "idempotency key is not accepted", detail: err.Error(), outcome: outcome})
		return
	}
	now := time.Now()
	x := &exchange{
		entry:    e,
		ctx:      ctx,
		w:        w,
		call:     c,
		start:    now,
		deadline: now.Add(sender.config.RequestTimeout(c.service)),
		id:       request.ID(),
		request:  request,
		stop:     func() {},
	}
	defer x.close()
	x.run()
}

func (e *Entry) newRequest(sender caller, c call) (elmrequest.Request, error) {
	id := e.newRequestID()
	if c.idempotent {
		return elmrequest.New(id, elmrequest.Idempotent), nil
	}
	if c.key == "" {
		return elmrequest.New(id, elmrequest.NonIdempotent), nil
	}
	key, err := elmclaim.Parse(sender.workspace, c.key, time.Now())
	if err != nil {
		return elmrequest.Request{}, err
	}
	digest := sha256.Sum256([]byte(c.service + "\x00" + c.method + "\x00" + c.path + "\x00" + string(c.body)))
	return elmrequest.New(id, elmrequest.Keyed).WithKey(key.RecordKey(), digest[:]), nil
}

// run applies messages to the request until it has ended.
func (x *exchange) run() {
	queue := []elmrequest.Message{elmrequest.Start{}}
	for !x.request.Done() {
		if len(queue) == 0 {
			queue = append(queue, x.wait())
		}
		message := queue[0]
		queue = queue[1:]
		queue = append(queue, x.update(message)...)
	}
}

func (x *exchange) update(message elmrequest.Message) []elmrequest.Message {
	before := x.request.State()
	request, commands := x.request.Update(message)
	x.request = request
	if request.State() != before {
		x.entry.ledger.Record(request.ID(), fmt.Sprintf("%s → %s on %T", before, request.State(), message))
	}
	var replies []elmrequest.Message
	for _, c := range commands {
		if reply := x.perform(c); reply != nil {
			replies = append(replies, reply)
		}
	}
	return replies
}

// wait blocks until the agent responds, the caller disconnects, the deadline passes or
// the entry ends, and returns the corresponding message.
func (x *exchange) wait() elmrequest.Message {
	if !time.Now().Before(x.deadline) {
		return x.expire()
	}
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	callerDone := x.ctx.Done()
	if x.disconnected {
		callerDone = nil
	}
	select {
	case message := <-x.messages:
		return message
	case <-callerDone:
		x.disconnected = true
		x.entry.logger.Event(elmlog.CallerDisconnected, "request", x.request.ID())
		return elmrequest.Left{}
	case <-timer.C:
	case <-x.entry.ending:
	}
	return x.expire()
}

// expire returns a message that has arrived and that a busy process has not read in time, or
// Expired if there is none.
func (x *exchange) expire() elmrequest.Message {
	if x.late < maxLate {
		select {
		case message := <-x.messages:
			x.late++
			return message
		default:
		}
	}
	return elmrequest.Expired{}
}

// perform executes a command and returns the message that results, or nil.
func (x *exchange) perform(command elmrequest.Command) elmrequest.Message {
	switch c := command.(type) {
	case elmrequest.Read:
		return x.read(c)
	case elmrequest.Void:
		return x.void(c)
	case elmrequest.Place:
		return x.place(c)
	case elmrequest.Send:
		return x.send(c)
	case elmrequest.Cancel:
		x.close()
	case elmrequest.Begin:
		x.head = &c
	case elmrequest.Write:
		return x.write(c.Bytes)
	case elmrequest.Finish:
		x.begin()
		x.entry.meter.Count(requestsMetric, "outcome", "whole")
	case elmrequest.Abort:
		x.abort()
	case elmrequest.Refuse:
		x.refuse(refusal(x.request, c))
	case elmrequest.Replay:
		x.replay(c.Tally)
	}
	return nil
}

func (x *exchange) place(c elmrequest.Place) elmrequest.Message {
	if x.request.Kind() == elmrequest.Keyed && x.entry.pause.SuspendedSince(x.start) {
		return elmrequest.Thawed{}
	}
	if len(c.Tried) > 0 {
		x.entry.meter.Count(elmmeter.Retries, "service", x.call.service)
		x.entry.logger.Event(elmlog.RequestRetried, "request", x.request.ID(), "tried", strings.Join(c.Tried, ","))
	}
	agent, last, ok := x.entry.pick(x.call.service, x.call.prefix, c.Tried)
	if !ok {
		return elmrequest.Unplaced{}
	}
	return elmrequest.Placed{Agent: agent, Last: last}
}

func (x *exchange) send(c elmrequest.Send) elmrequest.Message {
	x.close()
	x.entry.ledger.Record(x.request.ID(), "sent to "+c.Agent)
	attempt, err := x.entry.fleet.Call(x.ctx, c.Agent, &elmwire.Open{
		Request:    x.request.ID(),
		Attempt:    c.Attempt,
		Trace:      elmtrace.Parent(x.ctx),
		Method:     x.call.method,
		Path:       x.call.path,
		Media:      x.call.mediaType,
		Body:       x.call.body,
		DeadlineMs: uint32(max(time.Until(x.deadline).Milliseconds(), 0)),
		Once:       x.request.Kind() != elmrequest.Idempotent,
		PatienceMs: uint32(c.MaxWait.Milliseconds()),
		Claim:      c.Claim,
	})
	if errors.Is(err, elmfleet.ErrNoLink) {
		return elmrequest.Refused{Attempt: c.Attempt, Refusal: &elmwire.Refusal{Reason: elmwire.Reason_REASON_STALE, Unrun: true}}
	}
	if err != nil {
		return elmrequest.Broken{Attempt: c.Attempt, BudgetExhausted: x.entry.withdrawRetry()}
	}
	x.attempt = attempt
	x.messages = make(chan elmrequest.Message)
	ctx, stop := context.WithCancel(context.WithoutCancel(x.ctx))
	x.stop = stop
	go x.receive(ctx, c.Attempt, attempt, x.messages)
	return nil
}

// receive sends a message for each frame of an attempt until the attempt ends.
func (x *exchange) receive(ctx context.Context, name string, attempt *elmfleet.Call, messages chan<- elmrequest.Message) {
	for {
		message, more := x.next(name, attempt)
		select {
		case messages <- message:
		case <-ctx.Done():
			return
		}
		if !more {
			return
		}
	}
}

// next returns the message for the next frame and whether more frames may
// follow.
func (x *exchange) next(name string, attempt *elmfleet.Call) (message elmrequest.Message, more bool) {
	frame, err := attempt.Next()
	if err != nil {
		return elmrequest.Broken{Attempt: name, BudgetExhausted: x.entry.withdrawRetry()}, false
	}
	switch kind := frame.GetKind().(type) {
	case *elmwire.Frame_Head:
		return elmrequest.Headed{Attempt: name, Status: kind.Head.GetStatus(), Media: kind.Head.GetMedia()}, true
	case *elmwire.Frame_Data:
		return elmrequest.Data{Attempt: name, Bytes: kind.Data}, true
	case *elmwire.Frame_End:
		return elmrequest.Ended{Attempt: name}, false
	case *elmwire.Frame_Refusal:
		x.entry.ledger.Record(x.id, fmt.Sprintf("refused by %s: %s", attempt.Agent(), kind.Refusal.GetReason()))
		if kind.Refusal.GetReason() == elmwire.Reason_REASON_CAPACITY {
			x.entry.fleet.MarkFull(attempt.Agent())
		}
		exhausted := !kind.Refusal.GetUnrun() && x.entry.withdrawRetry()
		return elmrequest.Refused{Attempt: name, Refusal: kind.Refusal, BudgetExhausted: exhausted}, false
	}
	return elmrequest.Broken{Attempt: name}, false
}

// close ends the current attempt.
func (x *exchange) close() {
	x.stop()
	if x.attempt != nil {
		x.attempt.Close()
		x.attempt = nil
	}
}
