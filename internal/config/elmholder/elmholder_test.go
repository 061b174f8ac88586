package elmholder_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

func TestAdopt(t *testing.T) {
	good := []byte(`{"site":"granite","datacentres":{},"services":{},"workspaces":{}}`)
	Convey("A configuration never reverts", t, func() {
		holder := elmholder.New()
		steps := []struct {
			revision uint64
			document []byte
			adopted  bool
			want     uint64
		}{
			{3, good, true, 3},
			{2, good, false, 3},
			{3, good, false, 3},
			{4, []byte("{"), false, 3},
			{5, good, true, 5},
		}
		for _, s := range steps {
			adopted, _ := holder.Adopt(&elmwire.Update{Revision: s.revision, Document: s.document})
			So(adopted, ShouldEqual, s.adopted)
			So(holder.Config().Revision(), ShouldEqual, s.want)
		}
	})
}
