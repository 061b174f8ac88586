package elmcommand

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/elmcove/elmcove/internal/config/elmreference"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
)

func keysCommand() *command {
	var folder string
	return &command{
		name:     "keys",
		synopsis: "Makes a development authority and a certificate signed by it.",
		usage:    "keys -folder FOLDER",
		flags:    func(f *flag.FlagSet) { f.StringVar(&folder, "folder", "keys", "folder to write to") },
		run: func(context.Context, []string) error {
			if err := elmkeys.Generate(folder); err != nil {
				return err
			}
			fmt.Println("certificates written to", folder)
			return nil
		},
	}
}

func referenceCommand() *command {
	return &command{
		name:     "reference",
		synopsis: "Prints the reference of the configuration.",
		usage:    "reference",
		run: func(context.Context, []string) error {
			page, err := elmreference.Page()
			if err != nil {
				return err
			}
			fmt.Print(page)
			return nil
		},
	}
}

func versionCommand() *command {
	return &command{
		name:     "version",
		synopsis: "Prints the version.",
		usage:    "version",
		run: func(context.Context, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				fmt.Println("elmcove, built without version information")
				return nil
			}
			fmt.Println("elmcove", info.Main.Version, info.GoVersion)
			return nil
		},
	}
}
