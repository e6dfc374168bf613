package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
)

func logCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin log", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7100", "address to listen on")
	count := flags.Int("retention-count", 0, "maximum number of records kept per stream; 0 keeps all")
	age := flags.Duration("retention-age", 0, "maximum age of records; 0 keeps all")
	delay := flags.Duration("delay", 0, "delay before each response")
	return &ffcli.Command{
		Name:       "log",
		ShortUsage: "standin log [flags]",
		ShortHelp:  "Runs an append-only log in memory.",
		LongHelp: "Faults and retention are read with GET and changed with POST at /v1/control,\n" +
			`for example {"down":true}, {"lose":3} or {"delay":"200ms"}.`,
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, _ []string) error {
			log := &appender.Server{}
			log.SetSettings(appender.Settings{RetentionCount: *count, RetentionAge: cowslipproxy.Duration(*age), Delay: cowslipproxy.Duration(*delay)})
			return serveLog(ctx, *listen, log)
		},
	}
}

func serveLog(ctx context.Context, address string, handler http.Handler) error {
	var listener net.Listener
	var err error
	if listener, err = net.Listen("tcp", address); err != nil {
		return errors.WithStack(err)
	}
	fmt.Println("log listens on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 64 << 10}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}
