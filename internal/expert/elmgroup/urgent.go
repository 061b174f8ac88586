package elmgroup

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// resendDelay is the delay after which an order for which the group may be waiting is sent
// a second time, while the answer to the first is still awaited.
const resendDelay = orderTimeout / 2

// sendUrgent sends an order for which the group may be waiting. The order is idempotent, so
// it is sent again before the first one times out. The first answer counts.
func sendUrgent(ctx context.Context, send func(context.Context) elmrank.Outcome) elmrank.Outcome {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcomes := make(chan elmrank.Outcome, 2)
	start := func() { outcomes <- send(limited) }
	go start()
	resend := time.NewTimer(resendDelay)
	defer resend.Stop()
	for pending := 1; pending > 0; {
		select {
		case outcome := <-outcomes:
			if outcome != elmrank.Unknown {
				return outcome
			}
			pending--
		case <-resend.C:
			pending++
			go start()
		}
	}
	return elmrank.Unknown
}
