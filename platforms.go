package cowslipproxy

import (
	"net/http"
	"time"
)

// Platform is what a relaying daemon needs of the platform that it runs on.
type Platform struct {
	Log       Log
	Tables    Feed[Table]
	Instances Feed[Instance]
	Dialect   Dialect
	Engines   Operable
	// Directory serves callers that ask where to connect.
	Directory func(addresses func(now time.Time, centre string) Addresses) http.Handler
	// Ready serves the platform's readiness check.
	Ready func(isReady func() bool) http.Handler
}
