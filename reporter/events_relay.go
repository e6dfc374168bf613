package reporter

import "log/slog"

// Events of requests that are relayed whole, 900 to 999.
var (
	EventRelayed      = newEvent(900, slog.LevelInfo, "request ended", "Names the request, its route, the tries and how it ended. The reasons are those of docs/callers.md.")
	EventTryFailed    = newEvent(901, slog.LevelInfo, "try failed", "An upstream refused or failed a request. The event names the upstream, what it answered and what the daemon does next.")
	EventStalled      = newEvent(902, slog.LevelWarn, "stream stalled", "No event came in time. The engines named served no other request meanwhile and get no new work for some seconds.")
	EventTable        = newEvent(903, slog.LevelInfo, "configuration in force", "A newer configuration was read. The event names its version and whether it came from the store or another daemon.")
	EventTableRefused = newEvent(904, slog.LevelWarn, "configuration not usable", "The record could not be decoded. The configuration before stays in force.")
	EventBadEntry     = newEvent(905, slog.LevelWarn, "list entry not usable", "An entry of the list could not be decoded and names no upstream.")
	EventFeedLost     = newEvent(906, slog.LevelWarn, "platform store not readable", "What was read before stays in force, and other daemons are asked for newer data.")
	EventFeedBack     = newEvent(907, slog.LevelInfo, "platform store readable again", "The event names how long it was not.")
	EventInstances    = newEvent(908, slog.LevelInfo, "upstreams changed", "Names how many upstreams are live and how many are leaving.")
	EventReady        = newEvent(909, slog.LevelInfo, "readiness changed", "The daemon takes requests once it has a configuration and the list of upstreams, until it is stopped.")
	EventPipeAvoided  = newEvent(911, slog.LevelWarn, "pipe avoided", "Requests that crossed between the two data centres got their events late, one after the other, while few on other paths did. New paths go around it for the span named.")
	EventReloaded     = newEvent(910, slog.LevelInfo, "settings read again", "The settings file changed or SIGHUP came.")
)
