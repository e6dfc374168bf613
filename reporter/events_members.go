package reporter

import "log/slog"

// Events of membership and of the exchange between entry daemons, 600 to 699.
var (
	EventListChanged      = newEvent(600, slog.LevelInfo, "list of VMs changed", "The list service shows other VMs or states than before.")
	EventListFailed       = newEvent(601, slog.LevelWarn, "list of VMs can't be read", "The last known list stays in use, combined with probes and the announcements of daemons. Check the list service.")
	EventListOutdated     = newEvent(602, slog.LevelWarn, "list of VMs is outdated", "The list service returns an old list. VMs missing from it are not treated as leaving.")
	EventPeerDown         = newEvent(610, slog.LevelWarn, "entry daemon sends no heartbeats", "Address responses omit this daemon until it answers again.")
	EventPeerUp           = newEvent(611, slog.LevelInfo, "entry daemon answers again", "Address responses can include this daemon again.")
	EventPeerFailed       = newEvent(612, slog.LevelDebug, "exchange with an entry daemon failed", "The exchange is repeated in the next round.")
	EventSuperseded       = newEvent(613, slog.LevelError, "a later incarnation of this daemon runs", "Two daemons have the same name, or the clock went back across a restart. This daemon stops.")
	EventPeerStateChanged = newEvent(615, slog.LevelInfo, "state of an entry daemon changed", "This daemon takes another one as down, or as up again. The event has the reason, which is its own observation, reports of others, a refutation or that no report is left, and the daemons that report the other one as down.")
	EventPeerForgotten    = newEvent(616, slog.LevelInfo, "entry daemon forgotten", "A daemon was down for long, or another process has its address. The event has the daemons that reported it as down.")
	EventItemInvalid      = newEvent(614, slog.LevelWarn, "item from an entry daemon can't be decoded", "Daemons of incompatible versions are running.")
)
