package reporter

import "log/slog"

// Events of at-most-once execution and plain services, 500 to 599.
var (
	EventAppendFailed    = newEvent(500, slog.LevelWarn, "append to a claims stream failed", "The log is slow or down, or its answer was lost. The append is repeated; requests with plain keys are refused meanwhile.")
	EventAppendRestored  = newEvent(501, slog.LevelInfo, "append to a claims stream works again", "Requests with plain keys are accepted again.")
	EventReadFailed      = newEvent(502, slog.LevelWarn, "reading a claims stream failed", "The log is slow or down. The daemon reads again; requests with plain keys are refused meanwhile.")
	EventEntryMalformed  = newEvent(503, slog.LevelError, "entry of a claims stream is malformed", "All daemons ignore the entry's malformed records. Find out who writes to the stream.")
	EventStreamTruncated = newEvent(504, slog.LevelError, "claims stream was truncated before it was read", "The daemon was behind by more than the log's retention. Keys in the gap are forgotten; check the retention.")
	EventOutcomeDropped  = newEvent(505, slog.LevelWarn, "outcome of a request was not recorded", "The queue for the log is full. Resends with the key get the outcome unknown.")
	EventEffectViolation = newEvent(506, slog.LevelError, "invariant of at-most-once execution violated", "A decision that would violate the invariant was rejected. The program has a defect; report the event with the events before it.")
)
