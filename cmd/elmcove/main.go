// Command elmcove runs the processes of the load balancer and its operator
// commands. Run elmcove help for the list of commands.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/elmcove/elmcove/internal/command/elmcommand"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "elmcove")
	elmcommand.Register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
