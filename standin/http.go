package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// serveHTTP serves a handler until the context is cancelled.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	var listener net.Listener
	var err error
	if listener, err = listen(address); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the stand-in stops and aborts open requests
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// serveControl serves the control endpoint of a stand-in and prints the error if it fails.
func serveControl(ctx context.Context, address string, handler http.Handler) {
	if err := serveHTTP(ctx, address, handler); err != nil {
		fmt.Fprintln(os.Stderr, "standin: control:", err)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client disconnected
}
