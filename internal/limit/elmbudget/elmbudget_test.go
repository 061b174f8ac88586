package elmbudget_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/limit/elmbudget"
)

func TestBudget(t *testing.T) {
	Convey("Retries are limited to a tenth of the requests in the long run", t, func() {
		budget := elmbudget.New()
		retries := 0
		for range 10_000 {
			budget = budget.Deposit()
			for range 3 {
				next, ok := budget.Withdraw()
				if ok {
					retries++
				}
				budget = next
			}
		}
		So(retries, ShouldBeBetween, 990, 1030)
	})
}
