package elmconfig_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
)

const base = `// A site.
{
  "site": "granite",
  "datacentres": {"worcester": {"state": "in"}},
  "services": {"dispatch": {"kind": "plain", "once": ["POST /orders"]}},
  "workspaces": {
    "curb": {"credential": "sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}, // "secret"
  }
}`

func merge(overlay string) (elmconfig.Config, error) {
	document, err := elmconfig.Merge(
		elmconfig.Source{Name: "base.json", Text: []byte(base)},
		elmconfig.Source{Name: "overlay.json", Text: []byte(overlay)},
	)
	if err != nil {
		return elmconfig.Config{}, err
	}
	return elmconfig.Decode(document)
}

func TestMergeErrors(t *testing.T) {
	tests := map[string]struct {
		overlay string
		want    []string
	}{
		"unknown key":   {"{\n  \"workspaces\": {\"curb\": {\n    \"speed\": 1}}}", []string{"overlay.json:3", "/workspaces/curb/speed"}},
		"wrong type":    {"{\n\n  \"workspaces\": {\"curb\": {\"bytes\": \"1\"}}}", []string{"overlay.json:3", "/workspaces/curb/bytes"}},
		"wrong state":   {`{"datacentres": {"worcester": {"state": "off"}}}`, []string{"overlay.json:1", "/datacentres/worcester/state", "'in', 'out'"}},
		"key removed":   {`{"site": null}`, []string{"overlay.json", "site"}},
		"broken JSON":   {`{"site": `, []string{"overlay.json"}},
		"error in base": {`{"services": {"dispatch": {"once": null, "seconds": 0}}}`, []string{"overlay.json:1", "/services/dispatch/seconds"}},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			_, err := merge(test.overlay)
			So(err, ShouldNotBeNil)
			for _, want := range test.want {
				So(err.Error(), ShouldContainSubstring, want)
			}
		})
	}
}

func TestConfig(t *testing.T) {
	Convey("A merged configuration", t, func() {
		config, err := merge(`{"workspaces": {"curb": {"bytes": 10}}}`)
		So(err, ShouldBeNil)
		workspace, ok := config.Authenticate("secret")
		So(ok, ShouldBeTrue)
		So(workspace, ShouldEqual, "curb")
		So(config.MaxBodyBytes("curb"), ShouldEqual, 10)
		_, ok = config.Authenticate("guess")
		So(ok, ShouldBeFalse)
		So(config.IsIdempotent("dispatch", "POST", "/orders"), ShouldBeFalse)
		So(config.IsIdempotent("dispatch", "GET", "/orders"), ShouldBeTrue)
	})
	Convey("With methods do not change the original", t, func() {
		config, err := merge("")
		So(err, ShouldBeNil)
		out, err := config.WithDatacentre("worcester", elmconfig.StateOut)
		So(err, ShouldBeNil)
		drained := out.WithDrained("dispatch-1", true)
		So(config.AcceptsNewWork("worcester", "dispatch-1"), ShouldBeTrue)
		So(out.AcceptsNewWork("worcester", "dispatch-1"), ShouldBeFalse)
		So(drained.Drained, ShouldResemble, []string{"dispatch-1"})
		So(config.WithStates(drained).AcceptsNewWork("worcester", "x"), ShouldBeFalse)
		_, err = config.WithDatacentre("boston", elmconfig.StateOut)
		So(err.Error(), ShouldContainSubstring, "have worcester")
	})
}
