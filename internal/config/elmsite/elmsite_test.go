package elmsite_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/config/elmsite"
	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
)

// Guards against an operator's change that fails because the key-value service gives no reply
// in time once, as beside heavy load (TestOutWithFrozenEntry), to the read before it or to its write.
func TestChangeIsRepeatedWhileItsOutcomeIsUnknown(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault elmplatform.Fault
		lasts time.Duration
		// read means that the fault begins before the read.
		read bool
		want error
	}{
		"service down for a moment":                 {fault: elmplatform.FaultDown, lasts: time.Second},
		"replies lost for a moment":                 {fault: elmplatform.FaultLostReplies, lasts: time.Second},
		"service slow for a moment":                 {fault: elmplatform.FaultSlow, lasts: time.Second},
		"service down for a moment before the read": {fault: elmplatform.FaultDown, lasts: time.Second, read: true},
		"service slow for a moment before the read": {fault: elmplatform.FaultSlow, lasts: time.Second, read: true},
		"service down":                              {fault: elmplatform.FaultDown, lasts: time.Minute, want: elmstore.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := elmplatform.New()
			server := httptest.NewServer(platform.Handler())
			t.Cleanup(server.Close)
			site, err := elmsite.New(server.URL, "granite")
			if err != nil {
				t.Fatal(err)
			}
			timer := time.AfterFunc(c.lasts, func() { platform.SetFault(elmplatform.FaultNone) })
			t.Cleanup(func() { timer.Stop() })
			if c.read {
				platform.SetFault(c.fault)
			}
			_, err = site.Change(t.Context(), elmconfig.Change{ID: "c1"}, func(current elmconfig.Config) (elmconfig.Config, error) {
				if !c.read {
					platform.SetFault(c.fault)
				}
				return current, nil
			})
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			history, err := site.History(t.Context())
			if c.want == nil && (err != nil || len(history) != 1) {
				t.Errorf("%d changes in the history, want 1: %v", len(history), err)
			}
		})
	}
}
