package elmcommand

import (
	"flag"
	"fmt"

	"github.com/elmcove/elmcove/internal/forward/elmrouter"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
)

// routerFlags holds the flags of the router command.
type routerFlags struct {
	admission     elmrouter.Admission
	learnedLimits bool
	limits        elmcrowd.Limits
}

func (rf *routerFlags) register(f *flag.FlagSet) {
	f.Func("admission", "auto: admission by priority for services whose requests differ in priority; pressure: also refuse the least urgent while events are late; off: none (default auto)", func(text string) (err error) {
		rf.admission, err = elmrouter.ParseAdmission(text)
		return err
	})
	f.IntVar(&rf.limits.MaxConnections, "max-connections", 0, "limit of callers' connections, or 0 to derive it from the memory limit and the descriptors")
	f.IntVar(&rf.limits.RequestMemoryMB, "request-memory", 0, "memory for heads and bodies of requests in MiB, or 0 to derive it from the memory limit")
	f.Func("learned-limits", "on: learn the limits of endpoints of plain services; off: three requests per slot (default off)", func(text string) error {
		return parseSwitch(text, &rf.learnedLimits)
	})
}

// options returns the options that the flags stand for.
func (rf *routerFlags) options() []elmrouter.Option {
	options := []elmrouter.Option{elmrouter.WithAdmission(rf.admission), elmrouter.WithLimits(rf.limits)}
	if rf.learnedLimits {
		options = append(options, elmrouter.WithLearnedLimits())
	}
	return options
}

// parseSwitch parses on or off.
func parseSwitch(text string, on *bool) error {
	switch text {
	case "on", "off":
		*on = text == "on"
		return nil
	}
	return fmt.Errorf("%w: must be on or off", errFailed)
}
