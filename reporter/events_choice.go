package reporter

import "log/slog"

// Events of the choice of upstreams, 300 to 399. The numbers 300 and 301 are reserved:
// events 703 and 704 replaced them.
var (
	EventNoChain     = newEvent(302, slog.LevelError, "no chain", "No usable upstreams cover all layers of the model. Requests for it are refused. Logged at most once in 10 s. See cowslipctl explain.")
	EventNoUpstream  = newEvent(303, slog.LevelError, "no upstream", "No upstream of the service is usable. Requests for it are refused. Logged at most once in 10 s.")
	EventRetryDenied = newEvent(304, slog.LevelWarn, "retry budget exhausted", "A tenth of the requests have been retried. Look for failing upstreams. Logged at most once in 10 s.")
	EventCacheGap    = newEvent(305, slog.LevelDebug, "cache events lost", "The list of cached prefixes of the upstream was cleared.")
)
