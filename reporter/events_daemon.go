package reporter

import "log/slog"

// Events of the daemon as a whole, 100 to 199.
var (
	EventStarted        = newEvent(100, slog.LevelInfo, "daemon started", "The daemon listens on the addresses in the event.")
	EventStopped        = newEvent(101, slog.LevelInfo, "daemon stopped", "All requests in flight have ended.")
	EventInvariant      = newEvent(102, slog.LevelError, "invariant violated", "The program has a defect. The request ends with the outcome unknown; report the event with its attributes.")
	EventStopPhase      = newEvent(103, slog.LevelInfo, "planned stop entered a phase", "The phases are leaving, draining, finishing, answering and ended; see docs/membership.md. Of a relay daemon the event has the number of requests in flight, which the phase answering ends.")
	EventExchangeFailed = newEvent(104, slog.LevelWarn, "exchange with other daemons failed", "An item could not be encoded or decoded. Daemons of different versions may be running.")
	EventLinesDropped   = newEvent(105, slog.LevelWarn, "log lines dropped", "The reader of the log was too slow. The event has the number of lines that are missing before it.")
)
