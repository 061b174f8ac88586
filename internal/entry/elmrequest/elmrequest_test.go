package elmrequest_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

var (
	full   = &elmwire.Refusal{Reason: elmwire.Reason_REASON_CAPACITY, Unrun: true}
	failed = &elmwire.Refusal{Reason: elmwire.Reason_REASON_ENDPOINT}
)

// TestOutcome checks the outcome that is reported for requests without a key
// that get no response. It guards against a cause, and so a status, by which a request that
// may have run counts as one that has not.
func TestOutcome(t *testing.T) {
	placed := elmrequest.Placed{Agent: "draft-1"}
	tests := map[string]struct {
		kind     elmrequest.Kind
		messages []elmrequest.Message
		want     elmrequest.Outcome
	}{
		"no endpoint": {
			elmrequest.Idempotent,
			[]elmrequest.Message{elmrequest.Unplaced{}},
			elmrequest.NotRun,
		},
		"refused, then no endpoint": {
			elmrequest.NonIdempotent,
			[]elmrequest.Message{placed, elmrequest.Refused{Attempt: "r/1", Refusal: full}, elmrequest.Unplaced{}},
			elmrequest.NotRun,
		},
		"link failed, non-idempotent": {
			elmrequest.NonIdempotent,
			[]elmrequest.Message{placed, elmrequest.Broken{Attempt: "r/1"}},
			elmrequest.Unknown,
		},
		"link failed, then no endpoint": {
			elmrequest.Idempotent,
			[]elmrequest.Message{placed, elmrequest.Broken{Attempt: "r/1"}, elmrequest.Unplaced{}},
			elmrequest.Unknown,
		},
		"endpoint failed, then no endpoint": {
			elmrequest.Idempotent,
			[]elmrequest.Message{placed, elmrequest.Refused{Attempt: "r/1", Refusal: failed}, elmrequest.Unplaced{}},
			elmrequest.Unknown,
		},
		"endpoint failed, then deadline expired": {
			elmrequest.Idempotent,
			[]elmrequest.Message{placed, elmrequest.Refused{Attempt: "r/1", Refusal: failed}, elmrequest.Expired{}},
			elmrequest.Unknown,
		},
		"link failed, then all refuse": {
			elmrequest.Idempotent,
			[]elmrequest.Message{
				placed,
				elmrequest.Broken{Attempt: "r/1"},
				placed,
				elmrequest.Refused{Attempt: "r/2", Refusal: full},
				placed,
				elmrequest.Refused{Attempt: "r/3", Refusal: full},
				placed,
				elmrequest.Refused{Attempt: "r/4", Refusal: full},
			},
			elmrequest.Unknown,
		},
		"retry budget exhausted": {
			elmrequest.Idempotent,
			[]elmrequest.Message{placed, elmrequest.Broken{Attempt: "r/1", BudgetExhausted: true}},
			elmrequest.Unknown,
		},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			request, _ := elmrequest.New("r", test.kind).Update(elmrequest.Start{})
			var outcome elmrequest.Outcome
			var cause elmrequest.Cause
			for _, m := range test.messages {
				var commands []elmrequest.Command
				request, commands = request.Update(m)
				for _, c := range commands {
					if refuse, ok := c.(elmrequest.Refuse); ok {
						outcome, cause = refuse.Outcome, refuse.Cause
					}
				}
			}
			So(request.Done(), ShouldBeTrue)
			So(outcome, ShouldEqual, test.want)
			So(cause == elmrequest.CauseCapacity, ShouldEqual, test.want == elmrequest.NotRun)
		})
	}
}
