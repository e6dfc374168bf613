package reporter

import "log/slog"

// Events of the choice of upstreams, 300 to 399.
var (
	EventUpstreamEjected  = newEvent(300, slog.LevelWarn, "upstream ejected", "The named upstream gets no new work until the named time, for the named cause. See cowslipctl explain.")
	EventUpstreamReturned = newEvent(301, slog.LevelInfo, "upstream returned", "The named upstream answered its probe, or is needed because too many of its peers are out.")
	EventNoChain          = newEvent(302, slog.LevelError, "no chain", "No usable upstreams tile the named layers. Requests for the model are refused.")
	EventNoUpstream       = newEvent(303, slog.LevelError, "no upstream", "No upstream of the named service is usable. Requests for it are refused.")
	EventRetryDenied      = newEvent(304, slog.LevelWarn, "retry budget spent", "A tenth of the requests were retried already. Look for failing upstreams.")
	EventCacheGap         = newEvent(305, slog.LevelDebug, "cache events lost", "The known cached prefixes of the named upstream were dropped.")
)
