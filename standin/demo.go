package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/standin/visitor"
)

// demoTimeout limits the whole demo, which must end within a minute.
const demoTimeout = 50 * time.Second

// demoFlags are the flags of the demo subcommand.
type demoFlags struct {
	visitor       visitor.Visitor
	daemons       string
	engines       string
	service       string
	configuration string
}

func demoCommand() *ffcli.Command {
	var f demoFlags
	flags := flag.NewFlagSet("standin demo", flag.ContinueOnError)
	flags.StringVar(&f.daemons, "daemons", "", "IP addresses and ports of the entry daemons, separated by commas")
	flags.StringVar(&f.engines, "engines", "", "control endpoints of the engines as name=address, separated by commas")
	flags.StringVar(&f.service, "service", "", "IP address and port of the plain service")
	flags.StringVar(&f.configuration, "configuration", "demo/configuration.json", "file with the published configuration")
	flags.StringVar(&f.visitor.Key, "key", "officer-key", "bearer key of a customer")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "standin demo [flags]",
		ShortHelp:  "Checks the answers, recovery and refusals of a running deployment with the OpenAI client library.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *demoFlags) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := f.parse(); err != nil {
		return err
	}
	return f.visitor.Run(ctx, func(line string) { fmt.Println(line) })
}

func readConfiguration(file string) (cowslipproxy.Configuration, error) {
	var configuration cowslipproxy.Configuration
	var data []byte
	var err error
	if data, err = os.ReadFile(file); err != nil {
		return configuration, errors.WithStack(err)
	}
	return configuration, errors.Wrap(decoder.YAML(data, &configuration), file)
}

func (f *demoFlags) parse() error {
	var configuration cowslipproxy.Configuration
	var err error
	if configuration, err = readConfiguration(f.configuration); err != nil {
		return err
	}
	f.visitor.Models = configuration.Models
	for _, text := range strings.Split(f.daemons, ",") {
		var address netip.AddrPort
		var err error
		if address, err = netip.ParseAddrPort(text); err != nil {
			return errors.Errorf("daemons: %q is not an IP address and port", text)
		}
		f.visitor.Daemons = append(f.visitor.Daemons, address)
	}
	f.visitor.Controls = map[string]netip.AddrPort{}
	for _, text := range strings.Split(f.engines, ",") {
		name, control, _ := strings.Cut(text, "=")
		if f.visitor.Controls[name], err = netip.ParseAddrPort(control); err != nil {
			return errors.Errorf("engines: %q is not of the form name=address", text)
		}
	}
	if f.visitor.Service, err = netip.ParseAddrPort(f.service); err != nil {
		return errors.Errorf("service: %q is not an IP address and port", f.service)
	}
	return nil
}
