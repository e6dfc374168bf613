package reporter

import "log/slog"

// Events of the choice of upstreams, 300 to 399. The numbers 300 and 301 stay unused:
// events 703 and 704 took their place.
var (
	EventNoChain     = newEvent(302, slog.LevelError, "no chain", "No usable upstreams tile the layers of the named model. Requests for it are refused. Written every 10 s at most. See cowslipctl explain.")
	EventNoUpstream  = newEvent(303, slog.LevelError, "no upstream", "No upstream of the named service is usable. Requests for it are refused. Written every 10 s at most.")
	EventRetryDenied = newEvent(304, slog.LevelWarn, "retry budget spent", "A tenth of the requests were retried already. Look for failing upstreams. Written every 10 s at most.")
	EventCacheGap    = newEvent(305, slog.LevelDebug, "cache events lost", "The known cached prefixes of the named upstream were dropped.")
)
