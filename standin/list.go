package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
)

func listCommand() *ffcli.Command {
	flags := flag.NewFlagSet("list", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7300", "address to listen on; port 0 selects a free port")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "standin list [flags]",
		ShortHelp:  "Serves the platform's list of VMs.",
		LongHelp: "GET /v1/vms returns the list. PUT and DELETE /v1/vms/<name> change it.\n" +
			`PUT /control sets its faults: {"lag":"2s","outage":false,"stale":false}.`,
		FlagSet: flags,
		Exec:    func(ctx context.Context, _ []string) error { return serveList(ctx, *listen) },
	}
}

func serveList(ctx context.Context, address string) error {
	var listener net.Listener
	var err error
	if listener, err = net.Listen("tcp", address); err != nil {
		return errors.Wrap(err, "open the listener of the VM list")
	}
	fmt.Println("list listens on", listener.Addr())
	server := &http.Server{Handler: (&registrar.Registrar{}).Handler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // the program stops and aborts open requests
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the VM list")
	}
	return nil
}
