package elmgate_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmcredit"
	"github.com/elmcove/elmcove/internal/limit/elmgate"
)

func TestGate(t *testing.T) {
	tests := map[string]func(t *testing.T, g *elmgate.Gate){
		"full without waiting": func(t *testing.T, g *elmgate.Gate) {
			if err := g.Acquire(t.Context(), 0); !errors.Is(err, elmcredit.ErrFull) {
				t.Error(err)
			}
		},
		"slot is freed in time": func(t *testing.T, g *elmgate.Gate) {
			time.AfterFunc(50*time.Millisecond, g.Release)
			if err := g.Acquire(t.Context(), 100*time.Millisecond); err != nil {
				t.Error(err)
			}
		},
		"slot is freed too late": func(t *testing.T, g *elmgate.Gate) {
			time.AfterFunc(150*time.Millisecond, g.Release)
			if err := g.Acquire(t.Context(), 100*time.Millisecond); !errors.Is(err, elmcredit.ErrFull) {
				t.Error(err)
			}
			time.Sleep(time.Second)
			if g.Demand() != 0 {
				t.Error("a slot was given to a request that had stopped waiting")
			}
		},
		"limit rises": func(t *testing.T, g *elmgate.Gate) {
			time.AfterFunc(50*time.Millisecond, func() { g.SetLimit(2, 2) })
			if err := g.Acquire(t.Context(), 100*time.Millisecond); err != nil {
				t.Error(err)
			}
		},
		"caller disconnects": func(t *testing.T, g *elmgate.Gate) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			if err := g.Acquire(ctx, time.Second); !errors.Is(err, context.DeadlineExceeded) {
				t.Error(err)
			}
		},
		"queue is full": func(t *testing.T, g *elmgate.Gate) {
			for range 2 {
				go func() { _ = g.Acquire(t.Context(), time.Second) }()
			}
			synctest.Wait()
			if err := g.Acquire(t.Context(), time.Second); !errors.Is(err, elmcredit.ErrFull) {
				t.Error(err)
			}
			time.Sleep(2 * time.Second)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := elmgate.New(1)
				if err := g.Acquire(t.Context(), 0); err != nil {
					t.Fatal(err)
				}
				test(t, g)
			})
		})
	}
}
