package elmentry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/wire/elmapi"
)

const problemType = "about:blank"

// problem describes a refusal. An empty outcome means not-run.
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

// beforeClaim sets the outcome of a problem for a request that is refused before
// its claim is read.
func beforeClaim(r *http.Request, p problem) problem {
	p.outcome = outcomeBeforeClaim(r.Header.Get(idempotencyKeyHeader) != "")
	return p
}

// outcomeBeforeClaim returns the outcome of a request that is refused before
// its claim is read. A request with a key may be a retry of one that has run.
func outcomeBeforeClaim(keyed bool) elmapi.ProblemOutcome {
	if keyed {
		return elmapi.ProblemOutcomeUnknown
	}
	return elmapi.ProblemOutcomeNotRun
}

// refuse answers with a problem document.
func (e *Entry) refuse(w http.ResponseWriter, p problem) {
	response := p.response()
	e.meter.Count(requestsMetric, "outcome", string(response.Outcome))
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
	_, _ = w.Write(body) // Fails if the caller has disconnected.
}

// refusal returns the problem for a Refuse command.
func refusal(request elmrequest.Request, c elmrequest.Refuse) problem {
	p := problem{request: request.ID(), outcome: elmapi.ProblemOutcome(c.Outcome)}
	switch c.Cause {
	case elmrequest.CauseCapacity:
		p.status = http.StatusServiceUnavailable
		p.title = "no endpoint can take the request now"
		p.retry = retryAfter
	case elmrequest.CauseKeyReused:
		p.status = http.StatusUnprocessableEntity
		p.title = "idempotency key was used with another body"
	case elmrequest.CauseUnknownOutcome:
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
