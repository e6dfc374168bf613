package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/standin/measurer"
)

// measureTimeout limits all measurements together.
const measureTimeout = 5 * time.Minute

func measureCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin measure", flag.ContinueOnError)
	out := flags.String("out", "docs", "directory for MEASURES.md and measures.svg")
	load := flags.Float64("load", 0, "measure only throughput at this fraction of the bound, and write no files")
	program := flags.String("cowslipd", "bin/cowslipd", "path of cowslipd, for entry daemons that run as separate processes")
	return &ffcli.Command{
		Name:       "measure",
		ShortUsage: "standin measure [flags]",
		ShortHelp:  "Measures throughput against the bound and recovery time.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, measureTimeout)
			defer cancel()
			m := &measurer.Measurer{Program: *program, OnProgress: func(line string) { fmt.Println(line) }}
			if *load > 0 {
				return m.Load(ctx, *load)
			}
			var result *measurer.Result
			var err error
			if result, err = m.Run(ctx); err != nil {
				return err
			}
			if err := writeFile(filepath.Join(*out, "MEASURES.md"), func(w io.Writer) error {
				return result.WritePage(w, "make measure", "measures.svg")
			}); err != nil {
				return err
			}
			return writeFile(filepath.Join(*out, "measures.svg"), result.WritePlot)
		},
	}
}

func writeFile(name string, write func(io.Writer) error) error {
	var file *os.File
	var err error
	if file, err = os.Create(name); err != nil {
		return errors.WithStack(err)
	}
	if err := write(file); err != nil {
		_ = file.Close() // the write error is returned
		return err
	}
	return errors.WithStack(file.Close())
}
