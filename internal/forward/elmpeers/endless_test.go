package elmpeers_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmpeers"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/stand/elmendless"
)

// Guards against an entry that runs out of memory because what answers at the address of
// another one sends bytes without end. The smallest entry has 184 MB, of which two thirds are
// for three snapshots at a time.
func TestEndlessSnapshots(t *testing.T) {
	const limit = 184 << 20 * 2 / 3 / 3
	protobuf := map[string]elmendless.Answer{
		"empty items":    elmendless.Document("", "\x1a\x00", "", 8<<20),
		"empty keys":     elmendless.Document("", "\x22\x00", "", 8<<20),
		"unknown fields": elmendless.Document("", "\x7a\x00", "", 8<<20),
		"long body":      elmendless.Document("", "\x00", "", 16<<20),
	}
	for name, answer := range elmendless.Named(elmendless.Answers(), protobuf) {
		t.Run(name, func(t *testing.T) {
			address, err := elmendless.Serve(t.Context(), "127.0.0.1:0", answer)
			if err != nil {
				t.Fatal(err)
			}
			peers := elmpeers.New(address, nil)
			allocated := elmendless.Allocated(func() {
				if _, err = peers.FetchSnapshot(t.Context(), address, elmsnapshot.Position{}); err == nil {
					t.Error("no error")
				}
			})
			if allocated > limit {
				t.Errorf("%d MB allocated, limit is %d MB", allocated>>20, limit>>20)
			}
		})
	}
}
