package elmagent

import (
	"fmt"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/limit/elmgate"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// BenchmarkCheckAttempt measures the check of one attempt while many earlier
// attempts are recorded.
func BenchmarkCheckAttempt(b *testing.B) {
	for _, count := range []int{100, 10_000, 50_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			a := &Agent{
				settings: elmsettings.Settings{MaxConcurrency: 64},
				holder:   elmholder.New(),
				gate:     elmgate.New(1),
				seen:     make(map[string]time.Time, count),
			}
			for i := range count {
				a.checkAttempt(&elmwire.Open{Attempt: fmt.Sprintf("old-%d", i), DeadlineMs: 3_600_000}, now)
			}
			for i := 0; b.Loop(); i++ {
				a.checkAttempt(&elmwire.Open{Attempt: fmt.Sprintf("new-%d", i), DeadlineMs: 1000}, now)
				delete(a.seen, fmt.Sprintf("new-%d", i))
			}
		})
	}
}
