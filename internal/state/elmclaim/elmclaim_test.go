package elmclaim_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/state/elmclaim"
)

func TestParse(t *testing.T) {
	now := time.Now()
	key := uuid.Must(uuid.NewV7()).String()
	tests := map[string]struct {
		text string
		now  time.Time
		want error
	}{
		"fresh":           {key, now, nil},
		"just in time":    {key, now.Add(elmclaim.MaxAge - time.Second), nil},
		"too old":         {key, now.Add(elmclaim.MaxAge + time.Second), elmclaim.ErrAge},
		"from the future": {key, now.Add(-time.Hour), elmclaim.ErrAge},
		"random UUID":     {uuid.NewString(), now, elmclaim.ErrKey},
		"not a UUID":      {"order-1", now, elmclaim.ErrKey},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			_, err := elmclaim.Parse("north", test.text, test.now)
			So(errors.Is(err, test.want), ShouldBeTrue)
		})
	}
	Convey("A record outlives the maximum age of its key", t, func() {
		written := now.Truncate(time.Hour).Add(time.Hour - time.Nanosecond)
		granted := now.Truncate(time.Hour)
		So(elmclaim.HoursSinceEpoch(granted), ShouldEqual, elmclaim.HoursSinceEpoch(written))
		So(granted.Add(elmclaim.LeaseTTL).Sub(written), ShouldBeGreaterThan, elmclaim.MaxAge)
	})
	Convey("Workspaces do not share keys", t, func() {
		north, _ := elmclaim.Parse("north", key, now)
		south, _ := elmclaim.Parse("south", key, now)
		So(north.RecordKey(), ShouldNotEqual, south.RecordKey())
	})
}
