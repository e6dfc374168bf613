package main

import (
	"encoding/json"
	"flag"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/follower"
)

// logFlags are the flags of commands that connect to the log.
type logFlags struct {
	address *string
	timeout *time.Duration
	json    *bool
}

func newLogFlags(flags *flag.FlagSet) logFlags {
	return logFlags{
		address: flags.String("log", "", "address of the log, an IP address and port (required)"),
		timeout: flags.Duration("timeout", 10*time.Second, "timeout of the whole command"),
		json:    flags.Bool("json", false, "print JSON"),
	}
}

func (l logFlags) client() (*follower.Client, error) {
	var address netip.AddrPort
	var err error
	if address, err = netip.ParseAddrPort(*l.address); err != nil {
		return nil, usageError("log: %q is not an IP address and port such as 127.0.0.1:7100", *l.address)
	}
	if *l.timeout <= 0 {
		return nil, usageError("timeout: %v is not positive", *l.timeout)
	}
	return &follower.Client{Address: address}, nil
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(value))
}
