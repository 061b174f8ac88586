package elmjournal_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/config/elmjournal"
)

func TestJournal(t *testing.T) {
	Convey("A journal leads to the newest document until it is full", t, func() {
		journal := elmjournal.New(5, "config:granite:1")
		first := []byte(`{"drained":[],"site":"granite"}`)
		present := first
		for i := 0; !journal.Full(); i++ {
			wanted := []byte(fmt.Sprintf(`{"drained":["draft-%d"],"site":"granite"}`, i))
			next, err := journal.WithChange(present, wanted)
			So(err, ShouldBeNil)
			So(next.Newest(), ShouldEqual, journal.Newest()+1)
			journal, present = next, wanted
		}
		So(len(journal.Patches), ShouldEqual, 32)
		data, err := journal.Encode()
		So(err, ShouldBeNil)
		read, err := elmjournal.Decode(data)
		So(err, ShouldBeNil)
		document, err := read.Replay(first)
		So(err, ShouldBeNil)
		So(string(document), ShouldEqual, string(present))
	})
	Convey("A journal that starts again keeps the last changes", t, func() {
		journal := elmjournal.New(5, "first")
		document := []byte(`{"site":"granite"}`)
		for i := range 20 {
			next := []byte(fmt.Sprintf(`{"drained":["draft-%d"],"site":"granite"}`, i))
			changed, err := journal.WithChange(document, next)
			So(err, ShouldBeNil)
			journal, document = changed, next
		}
		again := journal.WithFull("second")
		So(again.Newest(), ShouldEqual, 25)
		So(again.Revision, ShouldEqual, 25)
		So(again.Oldest(), ShouldEqual, 17)
		replayed, err := again.Replay(document)
		So(err, ShouldBeNil)
		So(string(replayed), ShouldEqual, string(document))
	})
	Convey("A change that is too long does not stay", t, func() {
		journal, err := elmjournal.New(5, "first").WithChange([]byte(`{}`), []byte(fmt.Sprintf(`{"site":"%09000d"}`, 1)))
		So(err, ShouldBeNil)
		So(journal.Full(), ShouldBeTrue)
		again := journal.WithFull("second")
		So(again.Oldest(), ShouldEqual, 6)
		So(again.Newest(), ShouldEqual, 6)
	})
	Convey("An empty journal asks for a full document", t, func() {
		So(elmjournal.Journal{}.Full(), ShouldBeTrue)
	})
	Convey("A malformed journal is refused", t, func() {
		_, err := elmjournal.Decode([]byte("{"))
		So(err, ShouldNotBeNil)
	})
}
