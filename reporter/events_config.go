package reporter

import "log/slog"

// Events of the configuration, 200 to 299.
var (
	EventConfigChanged   = newEvent(200, slog.LevelInfo, "configuration changed", "A new configuration is active on this daemon.")
	EventChangeDecided   = newEvent(201, slog.LevelInfo, "change accepted or refused", "The event has the verdict on a published change, which is the same on all daemons.")
	EventRecordIgnored   = newEvent(202, slog.LevelWarn, "configuration record ignored", "A record of the configuration stream can't be decoded. Find out which program appended it.")
	EventLogDown         = newEvent(210, slog.LevelWarn, "log can't be read", "The current configuration stays active. New changes take effect when the log can be read again.")
	EventLogUp           = newEvent(211, slog.LevelInfo, "log can be read again", "Missed records are applied now.")
	EventLogTruncated    = newEvent(212, slog.LevelWarn, "log truncated", "Records that this daemon hasn't applied were removed. It is not ready until it has a snapshot that covers them.")
	EventLogInconsistent = newEvent(213, slog.LevelError, "log is inconsistent", "The log has lost records at its end or between others. The current configuration stays active; check the log service.")
	EventSnapshotLoaded  = newEvent(220, slog.LevelInfo, "snapshot loaded", "The configuration was loaded from a snapshot in the log or from another daemon.")
	EventSnapshotRefused = newEvent(221, slog.LevelWarn, "snapshot refused", "A snapshot is outdated or invalid and was not loaded.")
	EventSnapshotWritten = newEvent(222, slog.LevelInfo, "snapshot appended", "The log holds the whole configuration for another retention period.")
	EventSnapshotFailed  = newEvent(223, slog.LevelWarn, "snapshot not appended", "The daemon retries soon. If no daemon succeeds within the log's retention, new daemons depend on the running ones for the configuration.")
	EventVersionDecrease = newEvent(290, slog.LevelError, "active version would decrease", "The record would have violated an invariant and was refused. Report the event with the records of the stream.")
)
