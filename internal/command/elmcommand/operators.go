package elmcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/config/elmsite"
)

// siteFlags holds the flags that the operators' commands share.
type siteFlags struct {
	platform string
	site     string
	output   string
	wait     bool
}

func (sf *siteFlags) register(f *flag.FlagSet) {
	f.StringVar(&sf.platform, "platform", "http://127.0.0.1:9000", "URL of the platform's services")
	f.StringVar(&sf.site, "site", "granite", "name of the site")
	f.StringVar(&sf.output, "o", "text", "output: text or json")
}

func (sf *siteFlags) registerWait(f *flag.FlagSet) {
	sf.register(f)
	f.BoolVar(&sf.wait, "wait", false, "wait until the change is in force everywhere")
}

func (sf *siteFlags) open() (*elmsite.Site, error) {
	return elmsite.New(sf.platform, sf.site)
}

func operatorCommands() []*command {
	return []*command{
		checkCommand(), applyCommand(), historyCommand(), statusCommand(), explainCommand(),
		datacentreCommand("out", "Takes a data centre out, so that it receives no new work.", elmconfig.StateOut),
		datacentreCommand("back", "Lets a data centre receive new work again.", elmconfig.StateIn),
		drainCommand("drain", "Drains an endpoint, so that it receives no new work.", true),
		drainCommand("undrain", "Lets a drained endpoint receive new work again.", false),
	}
}

func checkCommand() *command {
	var base, overlay string
	return &command{
		name:     "check",
		synopsis: "Checks a base file with an overlay.",
		usage:    "check -base FILE [-overlay FILE]",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&base, "base", "base.json", "base file")
			f.StringVar(&overlay, "overlay", "", "overlay file")
		},
		run: func(context.Context, []string) error {
			config, err := loadConfig(base, overlay)
			if err != nil {
				return err
			}
			fmt.Printf("site %s: %d data centres, %d services, %d workspaces\n",
				config.Site, len(config.Datacentres), len(config.Services), len(config.Workspaces))
			return nil
		},
	}
}

func applyCommand() *command {
	var sf siteFlags
	var base, overlay string
	var reset bool
	return &command{
		name:     "apply",
		synopsis: "Puts a base file with an overlay in force. Data centres that are out and endpoints that are drained stay so.",
		usage:    "apply -base FILE [-overlay FILE] [-wait] [-reset]",
		flags: func(f *flag.FlagSet) {
			sf.registerWait(f)
			f.StringVar(&base, "base", "base.json", "base file")
			f.StringVar(&overlay, "overlay", "", "overlay file")
			f.BoolVar(&reset, "reset", false, "take the states of data centres and endpoints from the files")
		},
		run: func(ctx context.Context, _ []string) error {
			wanted, err := loadConfig(base, overlay)
			if err != nil {
				return err
			}
			sf.site = wanted.Site
			return change(ctx, &sf, "apply "+base+" "+overlay, func(current elmconfig.Config) (elmconfig.Config, error) {
				if reset {
					return wanted, nil
				}
				return wanted.WithStates(current), nil
			})
		},
	}
}

func datacentreCommand(name, synopsis, state string) *command {
	var sf siteFlags
	return &command{
		name:     name,
		synopsis: synopsis,
		usage:    name + " [-wait] DATACENTRE",
		flags:    sf.registerWait,
		args:     1,
		run: func(ctx context.Context, args []string) error {
			return change(ctx, &sf, name+" "+args[0], func(current elmconfig.Config) (elmconfig.Config, error) {
				return current.WithDatacentre(args[0], state)
			})
		},
	}
}

func drainCommand(name, synopsis string, drained bool) *command {
	var sf siteFlags
	return &command{
		name:     name,
		synopsis: synopsis,
		usage:    name + " [-wait] INSTANCE",
		flags:    sf.registerWait,
		args:     1,
		run: func(ctx context.Context, args []string) error {
			return change(ctx, &sf, name+" "+args[0], func(current elmconfig.Config) (elmconfig.Config, error) {
				return current.WithDrained(args[0], drained), nil
			})
		},
	}
}

func historyCommand() *command {
	var sf siteFlags
	return &command{
		name:     "history",
		synopsis: "Shows the last accepted changes.",
		usage:    "history",
		flags:    sf.register,
		run: func(ctx context.Context, _ []string) error {
			site, err := sf.open()
			if err != nil {
				return err
			}
			changes, err := site.History(ctx)
			if err != nil {
				return err
			}
			return sf.print(changes, func(w *tabwriter.Writer) {
				for _, c := range changes {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", c.Revision, c.Time.Format("2006-01-02 15:04:05"), c.Operator, c.Text, c.ID)
				}
			})
		},
	}
}

func statusCommand() *command {
	var sf siteFlags
	return &command{
		name:     "status",
		synopsis: "Shows the entries and their view of the agents.",
		usage:    "status",
		flags:    sf.register,
		run: func(ctx context.Context, _ []string) error {
			site, err := sf.open()
			if err != nil {
				return err
			}
			entries, err := site.Status(ctx)
			if err != nil {
				return err
			}
			return sf.print(entries, func(w *tabwriter.Writer) {
				fmt.Fprintln(w, "ENTRY\tAGENT\tDATA CENTRE\tSERVICE\tLINKED\tLEAVING\tOPEN\tWINDOW\tRUNNING\tLIMIT\tREVISION")
				for _, e := range entries {
					for _, a := range e.Agents {
						fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d\t%d\t%d\n", e.Instance, a.Agent, a.Datacentre,
							a.Service, a.Linked, a.Leaving, a.Outstanding, a.Window, a.Running, a.Limit, a.Revision)
					}
				}
			})
		},
	}
}

func explainCommand() *command {
	var sf siteFlags
	return &command{
		name:     "explain",
		synopsis: "Shows why a request was placed, retried or refused.",
		usage:    "explain REQUEST",
		flags:    sf.register,
		args:     1,
		run: func(ctx context.Context, args []string) error {
			site, err := sf.open()
			if err != nil {
				return err
			}
			lines, err := site.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			return sf.print(lines, func(w *tabwriter.Writer) {
				for _, l := range lines {
					fmt.Fprintf(w, "%s\t%s\n", l.Time.Format("15:04:05.000"), l.Text)
				}
			})
		},
	}
}

// print prints a value as JSON, or as a table.
func (sf *siteFlags) print(value any, table func(*tabwriter.Writer)) error {
	switch sf.output {
	case "json":
		return json.NewEncoder(os.Stdout).Encode(value)
	case "text":
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	return fmt.Errorf("%w: -o must be text or json, got %q", errFailed, sf.output)
}

// loadConfig reads, merges and validates a base file and an optional overlay.
func loadConfig(base, overlay string) (elmconfig.Config, error) {
	baseText, err := os.ReadFile(base)
	if err != nil {
		return elmconfig.Config{}, fmt.Errorf("%w: %w", errFailed, err)
	}
	var overlayText []byte
	if overlay != "" {
		if overlayText, err = os.ReadFile(overlay); err != nil {
			return elmconfig.Config{}, fmt.Errorf("%w: %w", errFailed, err)
		}
	}
	document, err := elmconfig.Merge(
		elmconfig.Source{Name: base, Text: baseText},
		elmconfig.Source{Name: overlay, Text: overlayText},
	)
	if err != nil {
		return elmconfig.Config{}, err
	}
	return elmconfig.Decode(document)
}
