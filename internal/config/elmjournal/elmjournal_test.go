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
	Convey("An empty journal asks for a full document", t, func() {
		So(elmjournal.Journal{}.Full(), ShouldBeTrue)
	})
	Convey("A malformed journal is refused", t, func() {
		_, err := elmjournal.Decode([]byte("{"))
		So(err, ShouldNotBeNil)
	})
}
