package elmchart_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/state/elmchart"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		document string
		want     error
	}{
		"good":            {`{"initial":"a","states":{"a":{"go":{"next":"b","action":"x"}},"b":{}}}`, nil},
		"unknown initial": {`{"initial":"c","states":{"a":{}}}`, elmchart.ErrChart},
		"unknown next":    {`{"initial":"a","states":{"a":{"go":{"next":"b"}}}}`, elmchart.ErrChart},
		"unknown key":     {`{"start":"a","states":{}}`, elmchart.ErrChart},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			chart, err := elmchart.Parse([]byte(test.document))
			So(errors.Is(err, test.want), ShouldBeTrue)
			if test.want != nil {
				return
			}
			step, ok := chart.Step("a", "go")
			So(ok, ShouldBeTrue)
			So(step, ShouldResemble, elmchart.Step{Next: "b", Action: "x"})
			_, ok = chart.Step("b", "go")
			So(ok, ShouldBeFalse)
		})
	}
}
