// Package elmcommand implements the commands of the elmcove program.
//
// # Usage
//
//	commander := subcommands.NewCommander(flag.CommandLine, "elmcove")
//	elmcommand.Register(commander)
//	status := commander.Execute(ctx)
//
// Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another
// change, 4 accepted but not in force in time, 5 unknown whether accepted.
package elmcommand

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/elmcove/elmcove/internal/command/elmsignals"
)

// Exit codes in addition to those of the subcommands package.
const (
	// ExitConflict means that another change was accepted first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitNotInForce means that a change was accepted but was not in force everywhere
	// before the timeout.
	ExitNotInForce subcommands.ExitStatus = 4
	// ExitUnknown means that it is not known whether a change was accepted.
	ExitUnknown subcommands.ExitStatus = 5
)

// Register registers all commands with a commander.
func Register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, c := range []*command{entryCommand(), agentCommand(), routerCommand(), rankAgentCommand()} {
		commander.Register(c, "processes")
	}
	for _, c := range append(operatorCommands(), settingsCommand(), causeCommand(), agesCommand(), routeCommand()) {
		commander.Register(c, "operators")
	}
	for _, c := range []*command{keysCommand(), referenceCommand(), versionCommand()} {
		commander.Register(c, "other")
	}
}

// command implements subcommands.Command with a function.
type command struct {
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
	// args is the required number of arguments.
	args int
	// drains is set if the command catches signals itself.
	drains bool
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return "elmcove " + c.usage + "\n  " + c.synopsis + "\n" }

func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and maps its error to an exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != c.args {
		fmt.Fprintf(os.Stderr, "expected %d arguments, got %d\n%s", c.args, f.NArg(), c.Usage())
		return subcommands.ExitUsageError
	}
	if !c.drains {
		elmsignals.Default()
	}
	err := c.run(ctx, f.Args())
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "elmcove "+c.name+":", err)
	return status(err)
}
