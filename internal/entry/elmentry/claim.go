package elmentry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/state/elmclaim"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

func (x *exchange) read(c elmrequest.Read) elmrequest.Message {
	if x.entry.pause.SuspendedSince(x.start) {
		return elmrequest.Thawed{}
	}
	value, err := x.entry.store.Read(x.storeContext(), c.Key)
	if err != nil {
		return elmrequest.StoreFailed{}
	}
	tally := &elmwire.Tally{}
	if err := proto.Unmarshal(value.Data, tally); err != nil {
		return elmrequest.StoreFailed{}
	}
	return elmrequest.Tallied{Version: value.Version, Tally: tally}
}

func (x *exchange) void(c elmrequest.Void) elmrequest.Message {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.Tally)
	if err != nil {
		return elmrequest.StoreFailed{}
	}
	hour := elmclaim.HoursSinceEpoch(time.Now())
	result, err := x.entry.store.SwapWithLease(x.storeContext(), c.Key, c.Version, data, hour, elmclaim.LeaseTTL)
	if err != nil {
		return elmrequest.StoreFailed{}
	}
	if result.Won {
		return elmrequest.Voided{Version: result.Value.Version}
	}
	tally := &elmwire.Tally{}
	if err := proto.Unmarshal(result.Value.Data, tally); err != nil {
		return elmrequest.StoreFailed{}
	}
	return elmrequest.Tallied{Version: result.Value.Version, Tally: tally}
}

// storeContext returns a context with which calls to the key-value service
// complete even if the caller disconnects. The store has its own timeout.
func (x *exchange) storeContext() context.Context {
	return context.WithoutCancel(x.ctx)
}
