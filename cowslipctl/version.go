package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "cowslipctl version",
		ShortHelp:  "Prints the version of the program.",
		LongHelp:   "Prints the module version, the commit of the build and the Go version.",
		FlagSet:    flag.NewFlagSet("cowslipctl version", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the program was built without build information")
			}
			commit := "unknown"
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" {
					commit = setting.Value
				}
			}
			fmt.Printf("cowslipctl %s commit %s %s\n", info.Main.Version, commit, info.GoVersion)
			return nil
		},
	}
}
