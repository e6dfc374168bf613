package reporter

import "log/slog"

// Events of the configuration, 200 to 299.
var (
	EventConfigChanged   = newEvent(200, slog.LevelInfo, "configuration changed", "A new configuration is in force on this daemon.")
	EventChangeJudged    = newEvent(201, slog.LevelInfo, "change judged", "A published change was accepted or refused; the verdict is the same on all daemons.")
	EventRecordIgnored   = newEvent(202, slog.LevelWarn, "configuration record ignored", "A record of the configuration stream can't be read. Find out which program appended it.")
	EventLogDown         = newEvent(210, slog.LevelWarn, "log can't be read", "The configuration in force stays. New changes come into force when the log is back.")
	EventLogUp           = newEvent(211, slog.LevelInfo, "log can be read again", "The records that were missed are folded now.")
	EventLogTruncated    = newEvent(212, slog.LevelWarn, "log truncated", "Records that this daemon hasn't folded are gone. It is not ready until it has a snapshot that covers them.")
	EventLogInconsistent = newEvent(213, slog.LevelError, "log is inconsistent", "The log has lost records at its end or between others. The configuration in force stays; check the log service.")
	EventSnapshotLoaded  = newEvent(220, slog.LevelInfo, "snapshot loaded", "The configuration was taken from a snapshot in the log or of another daemon.")
	EventSnapshotRefused = newEvent(221, slog.LevelWarn, "snapshot refused", "A snapshot is stale or not valid and was not loaded.")
	EventSnapshotWritten = newEvent(222, slog.LevelInfo, "snapshot appended", "The log holds the whole configuration for another retention period.")
	EventSnapshotFailed  = newEvent(223, slog.LevelWarn, "snapshot not appended", "The daemon tries again soon. If no daemon succeeds within the log's retention, new daemons depend on the running ones for the configuration.")
	EventVersionDecrease = newEvent(290, slog.LevelError, "version in force would decrease", "An invariant was about to be broken and the record was refused. Report it with the records of the stream.")
)
