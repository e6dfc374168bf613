package reporter

import "log/slog"

// Events of the connections to engines, 700 to 799.
var (
	EventEngineConnected = newEvent(700, slog.LevelInfo, "engine connected", "The engine sent its first report and can be chosen.")
	EventEngineLost      = newEvent(701, slog.LevelWarn, "engine connection lost", "The daemon reconnects with backoff. Its steps in flight are run on other engines.")
	EventStageReplaced   = newEvent(702, slog.LevelInfo, "stage replaced", "A stage failed while it ran a step. The request continues on another engine for its layers.")
	EventEjected         = newEvent(703, slog.LevelWarn, "upstream ejected", "The upstream gets no work until the time in the event, and is then probed by one request.")
	EventRestored        = newEvent(704, slog.LevelInfo, "upstream restored", "An ejected upstream answered its probe and gets work again.")
	EventCrash           = newEvent(705, slog.LevelWarn, "engine lost with requests in flight", "The requests are suspected of having crashed it, and share no upstream with other suspects until they have passed the token at which it crashed; see docs/poison.md.")
	EventQuarantined     = newEvent(706, slog.LevelError, "request quarantined", "Two upstreams crashed with the request in flight. It is refused until the quarantine expires or an operator lifts it.")
	EventStageRetried    = newEvent(707, slog.LevelInfo, "stage retried", "A stage failed while it ran a step, and no other engines hold its layers. The request continues on the same engine, with a longer timeout if the step timed out.")
)
