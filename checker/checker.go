// Package checker verifies invariants of the program at run time. A violation is
// counted, logged and returned as an error, with which the affected request fails.
package checker

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Invariant is the name of an invariant.
type Invariant string

// Invariants of the program.
const (
	InvariantLayers  Invariant = "layers"  // for each token, every layer ran exactly once and in order
	InvariantTokens  Invariant = "tokens"  // the caller receives each token exactly once and in order
	InvariantReply   Invariant = "answer"  // a reply belongs to the step that waits for it
	InvariantLeaving Invariant = "leaving" // no requests are dispatched to an upstream that is leaving
	InvariantRefused Invariant = "refused" // a request that was refused was not dispatched
)

// Checker checks invariants, and counts and logs violations.
type Checker struct {
	Metrics metrics.Registry
	Logger  *slog.Logger
}

// ReportViolation counts and logs a violation and returns it as an error.
func (c *Checker) ReportViolation(ctx context.Context, invariant Invariant, request string, err error) error {
	metrics.GetOrRegisterCounter(reporter.MetricInvariants, c.Metrics).Inc(1)
	reporter.EventInvariant.Log(ctx, c.Logger, slog.String("invariant", string(invariant)), slog.String("request", request), slog.Any("error", err))
	return errors.Wrapf(err, "invariant %s", invariant)
}

// Violations returns the number of violations so far.
func (c *Checker) Violations() int64 {
	return metrics.GetOrRegisterCounter(reporter.MetricInvariants, c.Metrics).Count()
}

// Layers checks that the layer ranges that ran for a token cover the model without
// gaps or overlaps.
func (c *Checker) Layers(ctx context.Context, request string, ranges []cowslipproxy.LayerRange, layers int) error {
	if err := cowslipproxy.CheckTiling(ranges, layers); err != nil {
		return c.ReportViolation(ctx, InvariantLayers, request, err)
	}
	return nil
}

// Reply checks that a reply belongs to the step.
func (c *Checker) Reply(ctx context.Context, step cowslipproxy.StepID, reply cowslipproxy.StepID) error {
	if step == reply {
		return nil
	}
	return c.ReportViolation(ctx, InvariantReply, step.Request, errors.Errorf("reply %v does not belong to step %v", reply, step))
}
