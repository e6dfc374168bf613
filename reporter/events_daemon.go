package reporter

import "log/slog"

// Events of the daemon as a whole, 100 to 199.
var (
	EventStarted   = newEvent(100, slog.LevelInfo, "daemon started", "The daemon listens on the addresses that the event names.")
	EventStopped   = newEvent(101, slog.LevelInfo, "daemon stopped", "All requests in flight have ended.")
	EventInvariant = newEvent(102, slog.LevelError, "invariant violated", "The program has a defect. The request ends with outcome unknown; report the event with its attributes.")
)
