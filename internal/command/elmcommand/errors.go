package elmcommand

import (
	"errors"

	"github.com/google/subcommands"

	"github.com/elmcove/elmcove/internal/registry/elmstore"
)

var (
	errConflict   = errors.New("another change was accepted first")
	errNotInForce = errors.New("accepted, but not in force everywhere in time")
	errFailed     = errors.New("command failed")
)

// status returns the exit code for an error.
func status(err error) subcommands.ExitStatus {
	switch {
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, elmstore.ErrUnavailable):
		return ExitUnknown
	}
	return subcommands.ExitFailure
}
