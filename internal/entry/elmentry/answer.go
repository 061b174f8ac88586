package elmentry

import (
	"net/http"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmapi"
	"github.com/elmcove/elmcove/internal/wire/elmevents"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// begin sends the status and header of the response, at its first data or at
// its end.
func (x *exchange) begin() {
	if x.headSent || x.head == nil {
		return
	}
	x.headSent = true
	x.entry.meter.Observe(elmmeter.FirstByte, time.Since(x.start))
	x.w.Header().Set("Content-Type", x.head.Media)
	x.w.Header().Set("Elmcove-Request", x.request.ID())
	x.w.WriteHeader(int(x.head.Status))
}

func (x *exchange) write(data []byte) elmrequest.Message {
	x.begin()
	controller := http.NewResponseController(x.w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // Not all writers support deadlines.
	_, err := x.w.Write(data)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		x.disconnected = true
		return elmrequest.Left{}
	}
	return nil
}

// abort ends a partial response by closing the connection, so that the caller
// can detect that it is incomplete. An event stream gets an error event first.
// If nothing has been sent yet, the caller gets a problem document instead.
func (x *exchange) abort() {
	x.entry.logger.Event(elmlog.RequestAborted, "request", x.request.ID())
	x.entry.meter.Count(requestsMetric, "outcome", "aborted")
	if !x.headSent {
		p := refusal(x.request, elmrequest.Refuse{Outcome: elmrequest.Unknown, Cause: elmrequest.CauseUnknownOutcome})
		x.refuse(p)
		return
	}
	if elmevents.IsStream(x.head.Media) {
		_, _ = x.w.Write([]byte(errorEvent)) // Fails if the caller has disconnected.
		_ = http.NewResponseController(x.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) refuse(p problem) {
	x.entry.logger.Event(elmlog.RequestRefused, "request", x.request.ID(), "outcome", p.outcome, "title", p.title)
	x.entry.refuse(x.w, p)
}

// replay sends the response that an earlier attempt recorded, or a problem if
// the response was too long to record.
func (x *exchange) replay(tally *elmwire.Tally) {
	if !tally.GetKept() {
		x.refuse(problem{
			status:  http.StatusConflict,
			title:   "the request has run, and its answer is too long to be kept",
			outcome: elmapi.ProblemOutcomeRan,
			request: x.request.ID(),
		})
		return
	}
	x.w.Header().Set("Idempotency-Replayed", "true")
	x.head = &elmrequest.Begin{Status: tally.GetStatus(), Media: tally.GetMedia()}
	x.begin()
	_, _ = x.w.Write(tally.GetBody()) // Fails if the caller has disconnected.
	x.entry.meter.Count(requestsMetric, "outcome", "replayed")
}
