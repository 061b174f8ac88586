package elmholder_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const document = `{"site":"granite","datacentres":{"worcester":{"state":"in"}},"services":{},"workspaces":{}}`

func full(revision uint64) *elmwire.Update {
	return &elmwire.Update{Revision: revision, Document: []byte(document)}
}

func patch(revision uint64) *elmwire.Update {
	body := fmt.Sprintf(`{"drained":["draft-%d"]}`, revision)
	return &elmwire.Update{Revision: revision, Base: revision - 1, Document: []byte(body)}
}

func TestAdopt(t *testing.T) {
	Convey("A configuration never reverts", t, func() {
		holder := elmholder.New()
		steps := []struct {
			update *elmwire.Update
			want   uint64
			err    error
		}{
			{full(3), 3, nil},
			{full(2), 3, nil},
			{full(3), 3, nil},
			{patch(3), 3, nil},
			{patch(5), 3, elmholder.ErrGap},
			{patch(4), 4, nil},
			{patch(4), 4, nil},
			{patch(5), 5, nil},
			{full(4), 5, nil},
			{full(9), 9, nil},
		}
		for _, s := range steps {
			_, err := holder.Adopt(s.update)
			So(errors.Is(err, s.err), ShouldBeTrue)
			So(holder.Revision(), ShouldEqual, s.want)
		}
	})
	Convey("A malformed configuration is rejected", t, func() {
		holder := elmholder.New()
		_, err := holder.Adopt(&elmwire.Update{Revision: 1, Document: []byte("{")})
		So(err, ShouldNotBeNil)
		So(holder.Revision(), ShouldEqual, 0)
	})
}

func TestSince(t *testing.T) {
	source := elmholder.New()
	for _, u := range []*elmwire.Update{full(3), patch(4), patch(5), patch(6)} {
		if _, err := source.Adopt(u); err != nil {
			t.Fatal(err)
		}
	}
	tests := map[string]struct {
		at    uint64
		count int
		base  uint64
	}{
		"up to date":            {6, 0, 0},
		"newer":                 {7, 0, 0},
		"one behind":            {5, 1, 5},
		"at full document":      {3, 3, 3},
		"before full document":  {2, 1, 0},
		"without configuration": {0, 1, 0},
	}
	for name, test := range tests {
		Convey("A neighbour that is "+name, t, func() {
			updates := source.Since(test.at)
			So(len(updates), ShouldEqual, test.count)
			if test.count == 0 {
				return
			}
			So(updates[0].GetBase(), ShouldEqual, test.base)
			neighbour := elmholder.New()
			if test.base > 0 {
				_, err := neighbour.Adopt(full(test.at))
				So(err, ShouldBeNil)
			}
			for _, u := range updates {
				_, err := neighbour.Adopt(u)
				So(err, ShouldBeNil)
			}
			So(neighbour.Revision(), ShouldEqual, 6)
			So(neighbour.Config().Drained, ShouldResemble, []string{"draft-6"})
		})
	}
}
