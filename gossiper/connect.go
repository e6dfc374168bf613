package gossiper

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams limit the wait between attempts to connect to the length of a
// few rounds, so that a partition that heals is noticed at once. The default
// of grpc-go is up to two minutes.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
	MinConnectTimeout: time.Second,
}
