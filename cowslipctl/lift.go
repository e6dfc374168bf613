package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

var fingerprintPattern = regexp.MustCompile(`^[0-9a-f]{1,16}$`)

func liftCommand() *ffcli.Command {
	flags := flag.NewFlagSet("cowslipctl lift", flag.ContinueOnError)
	target := newDaemonFlags(flags)
	return &ffcli.Command{
		Name:       "lift",
		ShortUsage: "cowslipctl lift --operator ADDRESS [flags] FINGERPRINT",
		ShortHelp:  "Ends the quarantine of a fingerprint.",
		LongHelp: "FINGERPRINT is the hexadecimal number in event 706 and in \"cowslipctl dump\". The\n" +
			"daemon notifies the other daemons. Requests with the fingerprint are no longer\n" +
			"isolated from others, so fix the cause of the crashes first.\n\n" +
			"Exit codes: 0 success, 1 not quarantined or other error, 2 usage, 4 no response.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || !fingerprintPattern.MatchString(args[0]) {
				return usageError("arguments %q are not one FINGERPRINT of 1 to 16 hexadecimal digits", args)
			}
			var d daemon
			var err error
			if d, err = target.daemon(); err != nil {
				return err
			}
			if _, err := d.call(ctx, http.MethodDelete, "/v1/quarantine/"+args[0], nil); err != nil {
				return err
			}
			_, err = fmt.Fprintf(os.Stdout, "%s: lifted\n", args[0])
			return err
		},
	}
}
