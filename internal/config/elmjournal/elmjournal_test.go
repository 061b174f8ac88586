package elmjournal_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/config/elmjournal"
)

func TestJournal(t *testing.T) {
	Convey("Replay returns the newest document until the journal is full", t, func() {
		journal := elmjournal.New(5, "config:granite:1")
		first := []byte(`{"drained":[],"site":"granite"}`)
		current := first
		for i := 0; !journal.NeedsFullDocument(); i++ {
			wanted := []byte(fmt.Sprintf(`{"drained":["draft-%d"],"site":"granite"}`, i))
			next, err := journal.WithChange(current, wanted)
			So(err, ShouldBeNil)
			So(next.Newest(), ShouldEqual, journal.Newest()+1)
			journal, current = next, wanted
		}
		So(len(journal.Patches), ShouldEqual, 32)
		data, err := journal.Encode()
		So(err, ShouldBeNil)
		read, err := elmjournal.Decode(data)
		So(err, ShouldBeNil)
		document, err := read.Replay(first)
		So(err, ShouldBeNil)
		So(string(document), ShouldEqual, string(current))
	})
	Convey("A journal with a new full document keeps the last patches", t, func() {
		journal := elmjournal.New(5, "first")
		document := []byte(`{"site":"granite"}`)
		for i := range 20 {
			next := []byte(fmt.Sprintf(`{"drained":["draft-%d"],"site":"granite"}`, i))
			changed, err := journal.WithChange(document, next)
			So(err, ShouldBeNil)
			journal, document = changed, next
		}
		compacted := journal.WithFullDocument("second")
		So(compacted.Newest(), ShouldEqual, 25)
		So(compacted.Revision, ShouldEqual, 25)
		So(compacted.Oldest(), ShouldEqual, 17)
		replayed, err := compacted.Replay(document)
		So(err, ShouldBeNil)
		So(string(replayed), ShouldEqual, string(document))
	})
	Convey("A patch that is too long is not kept", t, func() {
		journal, err := elmjournal.New(5, "first").WithChange([]byte(`{}`), []byte(fmt.Sprintf(`{"site":"%09000d"}`, 1)))
		So(err, ShouldBeNil)
		So(journal.NeedsFullDocument(), ShouldBeTrue)
		compacted := journal.WithFullDocument("second")
		So(compacted.Oldest(), ShouldEqual, 6)
		So(compacted.Newest(), ShouldEqual, 6)
	})
	Convey("An empty journal needs a full document", t, func() {
		So(elmjournal.Journal{}.NeedsFullDocument(), ShouldBeTrue)
	})
	Convey("A malformed journal is rejected", t, func() {
		_, err := elmjournal.Decode([]byte("{"))
		So(err, ShouldNotBeNil)
	})
}
