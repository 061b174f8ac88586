package elmfollower_test

import (
	"bytes"
	"encoding/json"
	"runtime"
	"slices"
	"testing"
	"weak"

	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// Guards against versions that are built though a later one is there (storm of large
// documents), one that can't be decoded and ends the one in force, is reported with each
// read, or is handed on, and a return to an earlier version.
func TestAdoptedVersions(t *testing.T) {
	document := func(version int64) string { return string(configuration(3, version)) }
	cut := document(9)[:300]
	for name, c := range map[string]struct {
		// reads holds the configurations of each read.
		reads   [][]string
		adopted []int64
		refused int
	}{
		"one":                          {[][]string{{document(1)}}, []int64{1}, 0},
		"storm in one read":            {[][]string{{document(1)}, {document(2), document(3), document(4)}}, []int64{1, 4}, 0},
		"storm in two reads":           {[][]string{{document(1), document(2)}, {document(4), document(7)}}, []int64{2, 7}, 0},
		"earlier one":                  {[][]string{{document(5)}, {document(4)}, {document(5)}}, []int64{5}, 0},
		"earlier one after later":      {[][]string{{document(5)}, {document(7), document(6)}}, []int64{5, 7}, 0},
		"breaks off":                   {[][]string{{document(5)}, {cut}}, []int64{5}, 1},
		"breaks off and stays":         {[][]string{{document(5)}, {cut}, {cut}, {cut}}, []int64{5}, 1},
		"breaks off, then whole":       {[][]string{{document(5)}, {cut}, {document(9)}}, []int64{5, 9}, 1},
		"breaks off after later one":   {[][]string{{document(5)}, {document(6), cut}}, []int64{5, 6}, 1},
		"breaks off, then none":        {[][]string{{document(5)}, {cut}, {}}, []int64{5}, 1},
		"first one breaks off":         {[][]string{{cut}, {document(2)}}, []int64{2}, 1},
		"no version":                   {[][]string{{document(5)}, {`{"routes":[]}`}}, []int64{5}, 1},
		"version can't be read":        {[][]string{{document(5)}, {`{"version":`}}, []int64{5}, 1},
		"repeated route":               {[][]string{{document(5)}, {`{"version":9,"routes":[{"host":"h"},{"host":"h"}]}`}}, []int64{5}, 1},
		"same version, something else": {[][]string{{document(5)}, {`{"version":5}`}}, []int64{5}, 0},
	} {
		for kind, full := range map[string]bool{"changes": false, "full reads": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				var log bytes.Buffer
				f := elmfollower.New(platform.NewStore("127.0.0.1:1"), elmlog.NewJSON("entry", &log))
				for i, texts := range c.reads {
					var items []platform.Item
					for _, text := range texts {
						items = append(items, platform.Item{Key: platform.ConfigKey, Value: []byte(text), Revision: int64(i + 1)})
					}
					f.ApplyRead(elmsnapshot.Position{Revision: int64(i + 1)}, items, full)
				}
				adopted, refused, changed := configEvents(t, &log)
				if len(changed) > 1 && changed[1] != 1 || changed[0] != 3 {
					t.Errorf("routes changed: %v, want 3 and then 1", changed)
				}
				latest := c.adopted[len(c.adopted)-1]
				if !slices.Equal(adopted, c.adopted) || refused != c.refused || f.Snapshot().Catalog().Version() != latest {
					t.Errorf("version %d, adopted %v, want %v; refused %d, want %d", f.Snapshot().Catalog().Version(), adopted, c.adopted, refused, c.refused)
				}
				handed := f.PeerSnapshot(elmsnapshot.Position{}).GetItems()
				if len(handed) != 1 || string(handed[0].GetValue()) != document(latest) {
					t.Errorf("handed on: %v", handed)
				}
			})
		}
	}
}

// Guards against texts of earlier versions, or of the same one, that stay in memory beside
// the one in force.
func TestOneTextIsHeld(t *testing.T) {
	f := newFollower()
	var texts []weak.Pointer[byte]
	for i := range 12 {
		text := configuration(400, int64(1+i/3)) // Each version is read three times.
		texts = append(texts, weak.Make(&text[0]))
		position, items := read(text, int64(1+i))
		f.ApplyRead(position, items, i%2 == 0)
		if handed := f.PeerSnapshot(elmsnapshot.Position{}).GetItems(); handed[0].GetRevision() != int64(1+i) {
			t.Errorf("revision %d handed on, want %d", handed[0].GetRevision(), 1+i)
		}
	}
	runtime.GC()
	held := 0
	for _, text := range texts {
		if text.Value() != nil {
			held++
		}
	}
	if held != 1 {
		t.Errorf("%d texts are held", held)
	}
	runtime.KeepAlive(f)
}

// configEvents returns the versions that a log says were adopted, how many were refused, and how many
// routes each of the adopted ones changed.
func configEvents(t *testing.T, log *bytes.Buffer) (adopted []int64, refused int, changed []int) {
	t.Helper()
	for decoder := json.NewDecoder(log); decoder.More(); {
		var line struct {
			Event   elmlog.Event `json:"event"`
			Version int64        `json:"version"`
			Routes  int          `json:"routes"`
		}
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		switch line.Event {
		case elmlog.ConfigAdopted:
			adopted, changed = append(adopted, line.Version), append(changed, line.Routes)
		case elmlog.ConfigRefused:
			refused++
		}
	}
	return adopted, refused, changed
}
