package main

import (
	"context"
	"os"
	"os/signal"
)

// untilSignal returns a context that ends with the first of the signals. The process catches
// them until it exits, so that further ones don't cut off the requests that a planned stop
// completes.
func untilSignal(signals ...os.Signal) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, signals...)
	go func() {
		<-caught
		cancel()
	}()
	return ctx
}
