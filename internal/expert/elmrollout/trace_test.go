package elmrollout_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

var trace = func(string, ...any) {}

// TestTrace prints the schedule of the seed in ELMSHIFT_SEED:
//
//	ELMSHIFT_SEED=30 go test -run Trace -v
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("ELMSHIFT_SEED"), 10, 64)
	if err != nil {
		return
	}
	trace = func(f string, a ...any) { fmt.Printf(f+"\n", a...) }
	g, fault := scenario(seed)
	t.Log(g.mixed, fault)
}
