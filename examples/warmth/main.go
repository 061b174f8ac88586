// Command warmth shows how the concurrency limit of an endpoint is learned, and
// how it falls when the endpoint becomes cold.
package main

import (
	"fmt"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmconcurrency"
)

func main() {
	now := time.Unix(0, 0)
	limit := elmconcurrency.New(37*time.Millisecond, 64, now)
	for i := range 12 {
		step := 10 * time.Millisecond
		if i >= 10 {
			step = 60 * time.Millisecond
		}
		now = now.Add(500 * time.Millisecond)
		limit = limit.WithReport(elmconcurrency.Report{Capacity: 8, Measured: now.Add(-300 * time.Millisecond)})
		for range limit.Learned() {
			limit = limit.WithDemand(64).Observe(step, now)
		}
		fmt.Printf("a step of %s: limit %d\n", step, limit.Learned())
	}
}
