package reporter

import "log/slog"

// Events of control orders to engines, 800 to 899.
var (
	EventLeaseTaken  = newEvent(800, slog.LevelInfo, "control lease taken", "This daemon gives orders to engines until it loses the lease.")
	EventLeaseFailed = newEvent(801, slog.LevelWarn, "claiming the control lease failed", "The log is slow or down. No orders are given once the lease has run out; what engines hold stays in service.")
	EventPlanFailed  = newEvent(802, slog.LevelWarn, "no placement could be planned", "The weight store doesn't answer, or a model's declaration doesn't fit. The daemon tries again.")
	EventOrder       = newEvent(803, slog.LevelInfo, "order given to an engine", "The order names the wanted state and the lease's fencing number.")
	EventOrderFailed = newEvent(804, slog.LevelWarn, "order to an engine failed", "The engine refused the order or didn't answer. The next plan starts from what it reports.")
)
