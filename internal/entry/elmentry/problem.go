package elmentry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/wire/elmapi"
)

const problemType = "about:blank"

// problem is a refusal. Its zero outcome is not-run.
type problem struct {
	status  int
	title   string
	detail  string
	outcome elmapi.ProblemOutcome
	retry   time.Duration
	request string
}

func (p problem) response() elmapi.Problem {
	response := elmapi.Problem{
		Type:    problemType,
		Title:   p.title,
		Status:  p.status,
		Outcome: p.outcome,
	}
	if response.Outcome == "" {
		response.Outcome = elmapi.ProblemOutcomeNotRun
	}
	if p.detail != "" {
		response.Detail = elmapi.NewOptString(p.detail)
	}
	if p.request != "" {
		response.Request = elmapi.NewOptString(p.request)
	}
	return response
}

// early returns a refusal that comes before the claim of a request was read.
func early(r *http.Request, p problem) problem {
	p.outcome = earlyOutcome(r.Header.Get(keyHeader) != "")
	return p
}

// earlyOutcome tells what is known of a request whose claim was not read. One
// with a key may have run when it was sent before.
func earlyOutcome(keyed bool) elmapi.ProblemOutcome {
	if keyed {
		return elmapi.ProblemOutcomeUnknown
	}
	return elmapi.ProblemOutcomeNotRun
}

// refuse answers with a problem document.
func (e *Entry) refuse(w http.ResponseWriter, p problem) {
	response := p.response()
	e.meter.Count(outcomes, "outcome", string(response.Outcome))
	if p.retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(p.retry.Seconds())))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	body, err := response.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body) // The caller may have gone.
}

// refusal describes what the decisions say of a request.
func refusal(request elmrequest.Request, c elmrequest.Refuse) problem {
	p := problem{request: request.ID(), outcome: elmapi.ProblemOutcome(c.Outcome)}
	switch c.Cause {
	case elmrequest.CauseCapacity:
		p.status = http.StatusServiceUnavailable
		p.title = "no endpoint can take the request now"
		p.retry = retryAfter
	case elmrequest.CauseReused:
		p.status = http.StatusUnprocessableEntity
		p.title = "idempotency key was used with another body"
	case elmrequest.CauseUnsettled:
		p.status = http.StatusGatewayTimeout
		p.title = "it is not known whether the request ran"
		if request.Kind() == elmrequest.Keyed {
			p.status = http.StatusConflict
			p.detail = "ask again with the same idempotency key"
			p.retry = retryAfter
		}
	}
	return p
}
