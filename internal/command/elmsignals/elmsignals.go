// Package elmsignals catches the signals to this process before other packages are initialised.
//
// A signal that is not caught ends the process. The initialisation of all packages takes
// milliseconds, so that SIGHUP would end a process that has just been started. A package is
// initialised as soon as those that it imports are, which is why this one imports few.
//
// # Usage
//
//	ctx, signals := elmsignals.Catch(ctx) // In a process that reloads and drains.
//	defer signals.Release()
//	<-signals.Hangups()
//
//	elmsignals.Default() // In any other process.
package elmsignals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// hangups and stops get the signals to this process from its initialisation on.
var (
	hangups = make(chan os.Signal, 1)
	stops   = make(chan os.Signal, 1)
)

func init() { notify(hangups, stops) }

// notify starts to catch the signals.
func notify(hangups, stops chan<- os.Signal) {
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
}

// Signals are the signals to a process that reloads at SIGHUP and drains at SIGTERM.
type Signals struct {
	cancel context.CancelFunc
}

// Catch returns a context that ends at SIGTERM or SIGINT, also at one that has come already.
// Further ones are ignored, so that they do not abort requests in progress.
func Catch(ctx context.Context) (context.Context, Signals) {
	notify(hangups, stops)
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-stops:
		cancel()
	default:
	}
	go func() {
		select {
		case <-stops:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, Signals{cancel: cancel}
}

// Hangups returns the channel that gets SIGHUP.
func (Signals) Hangups() <-chan os.Signal { return hangups }

// Release ends the context and lets later signals end the process.
func (s Signals) Release() {
	s.cancel()
	stopCatching()
}

// Default lets signals end the process, also one that has come already.
func Default() {
	if pending := stopCatching(); pending != nil {
		_ = syscall.Kill(os.Getpid(), pending.(syscall.Signal)) //nolint:errcheck // Signals of this package are of that type.
	}
}

// stopCatching returns a signal that has come and was not handled, or nil.
func stopCatching() os.Signal {
	signal.Stop(hangups)
	signal.Stop(stops)
	var pending os.Signal
	for _, c := range []chan os.Signal{hangups, stops} {
		select {
		case pending = <-c:
		default:
		}
	}
	return pending
}
