package reporter

import "log/slog"

// Events of control orders to engines, 800 to 899.
var (
	EventLeaseTaken  = newEvent(800, slog.LevelInfo, "control lease taken", "This daemon sends orders to engines until it loses the lease.")
	EventLeaseFailed = newEvent(801, slog.LevelWarn, "claiming the control lease failed", "The log is slow or down. No orders are sent once the lease has expired; engines keep the layers that they hold.")
	EventPlanFailed  = newEvent(802, slog.LevelWarn, "placement planning failed", "The weight store doesn't answer, or a model's declaration is invalid. The daemon retries.")
	EventOrderSent   = newEvent(803, slog.LevelInfo, "order sent to an engine", "The order has the desired state and the fencing token of the lease.")
	EventOrderFailed = newEvent(804, slog.LevelWarn, "order to an engine failed", "The engine refused the order or didn't answer. The next plan starts from what it reports.")
)
