package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/runner"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const maxMessageBytes = 64 << 20

// engineFlags are the flags of the engine subcommand.
type engineFlags struct {
	address string
	control string
	engine  emulator.Engine
}

func engineCommand() *ffcli.Command {
	var f engineFlags
	flags := flag.NewFlagSet("standin engine", flag.ContinueOnError)
	flags.StringVar(&f.address, "address", "127.0.0.1:7000", "IP address and port for daemons")
	flags.StringVar(&f.control, "control", "", "IP address and port of the control endpoint with PUT /faults and GET /account; none if empty")
	flags.StringVar(&f.engine.Model.Name, "model", "scribe", "name of the model")
	flags.StringVar(&f.engine.Model.Version, "version", "1", "version of the model")
	flags.IntVar(&f.engine.Model.Layers, "layers", 24, "number of layers of the model")
	flags.IntVar(&f.engine.Range.First, "first", 0, "first layer that this engine holds")
	flags.IntVar(&f.engine.Range.End, "end", 24, "layer after the last one that this engine holds")
	flags.StringVar(&f.engine.Kind, "kind", "small", "kind of accelerator")
	flags.DurationVar(&f.engine.Pace, "pace", 200*time.Microsecond, "time that one layer takes for one decode step")
	flags.DurationVar(&f.engine.PrefillTime, "prefill", 5*time.Microsecond, "time that one layer takes for one prompt token")
	flags.Float64Var(&f.engine.BatchOverhead, "share", 0.05, "fraction of the pace that each additional step of a batch adds")
	flags.IntVar(&f.engine.MaxBatch, "batch", 16, "maximum number of steps in one batch")
	flags.IntVar(&f.engine.CacheCapacity, "memory", 1_000_000, "KV cache capacity in tokens")
	flags.IntVar(&f.engine.PrefixCacheSize, "prefixes", 10_000, "maximum number of prompt prefixes in the cache")
	flags.DurationVar(&f.engine.ReportInterval, "lag", 200*time.Millisecond, "interval of load reports and cache events")
	flags.DurationVar(&f.engine.LinkLatency, "link", 0, "one-way latency of the link to the daemons")
	flags.DurationVar(&f.engine.LayerLoadTime, "loading", 10*time.Millisecond, "time to load one layer")
	flags.IntVar(&f.engine.MaxLayers, "room", 0, "maximum number of layers that the engine can hold")
	flags.BoolVar(&f.engine.EnforceFencing, "fenced", false, "refuse orders with an outdated fencing number")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "standin engine [flags]",
		ShortHelp:  "Runs a model engine that holds a range of layers.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("STANDIN")},
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *engineFlags) run(ctx context.Context) error {
	f.engine.Init()
	var listener net.Listener
	var err error
	if listener, err = listen(f.address); err != nil {
		return err
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes))
	runner.Register(server, f.engine.Handler())
	if f.control != "" {
		go serveControl(ctx, f.control, engineControl(&f.engine))
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-f.engine.Crashed():
		}
		server.Stop()
	}()
	go func() { _ = f.engine.Run(ctx) }()
	if err := server.Serve(listener); err != nil {
		return errors.WithStack(err)
	}
	if ctx.Err() == nil {
		return errors.New("the engine crashed because of an injected fault")
	}
	return nil
}

// engineControl returns the handler of PUT /faults and GET /account.
func engineControl(engine *emulator.Engine) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults emulator.Faults
		var data []byte
		var err error
		if data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16)); err == nil {
			err = decoder.StrictJSON(data, &faults)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		engine.SetFaults(faults)
	}).Methods(http.MethodPut)
	router.HandleFunc("/account", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, engine.Stats())
	}).Methods(http.MethodGet)
	return router
}

// listen opens a TCP listener on an IP address and port.
func listen(address string) (net.Listener, error) {
	var parsed netip.AddrPort
	var err error
	if parsed, err = netip.ParseAddrPort(address); err != nil {
		return nil, errors.Errorf("address: %q is not an IP address and port", address)
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(parsed))
	return listener, errors.WithStack(err)
}
