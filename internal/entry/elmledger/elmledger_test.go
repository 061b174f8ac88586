package elmledger_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/entry/elmledger"
)

func TestLedger(t *testing.T) {
	Convey("Only the last requests are kept", t, func() {
		ledger := elmledger.New(3)
		for i := range 5 {
			ledger.Record(fmt.Sprint(i), "placed")
			ledger.Record(fmt.Sprint(i), "sent")
		}
		So(ledger.Explain("1"), ShouldBeNil)
		So(len(ledger.Explain("2")), ShouldEqual, 2)
		So(ledger.Explain("4")[1].Text, ShouldEqual, "sent")
	})
}
