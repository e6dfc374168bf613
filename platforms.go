package cowslipproxy

import (
	"net/http"
	"time"
)

// Platform holds the interfaces of a relay daemon to the platform that it runs on.
type Platform struct {
	Log                 Log
	Quarantine          Table // records of quarantined fingerprints
	RelayConfigurations Feed[RelayConfiguration]
	Instances           Feed[Instance]
	Dialect             Dialect
	Engines             EngineControl
	// Directory returns the handler for callers that ask which daemon to connect to.
	Directory func(addresses func(now time.Time, centre string) Addresses) http.Handler
	// Ready returns the handler for the platform's readiness check.
	Ready func(isReady func() bool) http.Handler
}
