package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

func serviceCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin service", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:9300", "IP address and port to listen on")
	name := flags.String("name", "service", "server name in the responses of /echo")
	honour := flags.Bool("honour", false, "honour Idempotency-Key")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "standin service [flags]",
		ShortHelp:  "Runs a plain service with fees, confirmations and lookups.",
		LongHelp:   "PUT /control sets faults, GET /account lists the effects.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			var address netip.AddrPort
			var err error
			if address, err = netip.ParseAddrPort(*listen); err != nil {
				return errors.Errorf("listen: %q is not an IP address and port", *listen)
			}
			s := &server.Server{Name: *name}
			s.Set(server.Control{HonourKeys: *honour})
			return runService(ctx, address, s)
		},
	}
}

func runService(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	var listener net.Listener
	var err error
	if listener, err = net.Listen("tcp", address.String()); err != nil {
		return errors.WithStack(err)
	}
	fmt.Println("service listens on", listener.Addr())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(listener) }()
	select {
	case err = <-ended:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	defer cancel()
	return errors.WithStack(s.Shutdown(shutdownCtx))
}
