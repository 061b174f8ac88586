package elmconfig_test

import (
	"encoding/json"
	"fmt"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
)

// TestWithPatch checks that WithPatch gives the same result as the JSON merge
// patch library.
func TestWithPatch(t *testing.T) {
	tests := map[string]string{
		"nothing":             `{}`,
		"data centre out":     `{"datacentres":{"worcester":{"state":"out"}}}`,
		"data centre added":   `{"datacentres":{"springfield":{"state":"in"}}}`,
		"workspace removed":   `{"workspaces":{"curb":null}}`,
		"workspace changed":   `{"workspaces":{"curb":{"bytes":12}}}`,
		"member removed":      `{"services":{"dispatch":{"once":null}}}`,
		"list replaced":       `{"services":{"dispatch":{"once":["PUT /x"]}}}`,
		"endpoints drained":   `{"drained":["a","b"]}`,
		"no endpoint drained": `{"drained":null}`,
		"change described":    `{"change":{"id":"1","text":"x"}}`,
		"several at once":     `{"site":"ring","drained":["a"],"workspaces":{"curb":null,"town":{"credential":"sha256:00"}}}`,
	}
	for name, patch := range tests {
		Convey(name, t, func() {
			config, err := merge("")
			So(err, ShouldBeNil)
			before, err := config.Encode()
			So(err, ShouldBeNil)
			want, err := jsonpatch.MergePatch(before, []byte(patch))
			So(err, ShouldBeNil)
			wanted, err := elmconfig.Decode(want)
			So(err, ShouldBeNil)
			got, err := config.WithPatch([]byte(patch))
			So(err, ShouldBeNil)
			So(encode(got), ShouldEqual, encode(wanted))
			_, known := got.Authenticate("secret")
			_, wantKnown := wanted.Authenticate("secret")
			So(known, ShouldEqual, wantKnown)
			So(encode(config), ShouldEqual, string(before))
		})
	}
	Convey("An unknown key is refused", t, func() {
		config, err := merge("")
		So(err, ShouldBeNil)
		_, err = config.WithPatch([]byte(`{"speed":1}`))
		So(err, ShouldNotBeNil)
	})
}

func encode(c elmconfig.Config) string {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return string(data)
}

// BenchmarkWithPatch measures a small patch of a large configuration.
func BenchmarkWithPatch(b *testing.B) {
	for _, count := range []int{100, 1900, 4000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			workspaces := map[string]elmconfig.Workspace{}
			for i := range count {
				workspaces[fmt.Sprint(i)] = elmconfig.Workspace{Credential: fmt.Sprintf("sha256:%064d", i)}
			}
			document, err := json.Marshal(elmconfig.Config{Workspaces: workspaces})
			if err != nil {
				b.Fatal(err)
			}
			config, err := elmconfig.Decode(document)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := config.WithPatch([]byte(`{"workspaces":{"7":{"bytes":12}}}`)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
