package gossiper

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams caps the reconnect backoff at a few gossip rounds, so that
// peers reconnect soon after a partition heals. The grpc-go default maximum is
// two minutes.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
	MinConnectTimeout: time.Second,
}
