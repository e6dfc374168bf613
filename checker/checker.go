// Package checker asserts the program's invariants while it runs. A violation
// is counted and logged, and ends the request that it concerns.
package checker

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Invariant names one of the program's invariants.
type Invariant string

// Invariants of the program.
const (
	InvariantLayers  Invariant = "layers"  // each layer ran once and in order for a token
	InvariantTokens  Invariant = "tokens"  // tokens reach the caller once and in order
	InvariantAnswer  Invariant = "answer"  // a reply belongs to the step that waits for it
	InvariantLeaving Invariant = "leaving" // a leaving upstream gets no new work
	InvariantRefused Invariant = "refused" // a refused request was not dispatched
)

// Checker counts and logs violations.
type Checker struct {
	Metrics metrics.Registry
	Logger  *slog.Logger
}

// Violated records a violation and returns it as an error.
func (c *Checker) Violated(ctx context.Context, invariant Invariant, request string, err error) error {
	metrics.GetOrRegisterCounter(reporter.MetricInvariants, c.Metrics).Inc(1)
	reporter.EventInvariant.Log(ctx, c.Logger, slog.String("invariant", string(invariant)), slog.String("request", request), slog.Any("error", err))
	return errors.Wrapf(err, "invariant %s", invariant)
}

// Violations returns the number of violations so far.
func (c *Checker) Violations() int64 {
	return metrics.GetOrRegisterCounter(reporter.MetricInvariants, c.Metrics).Count()
}

// Layers asserts that the ranges which ran for one token tile the model.
func (c *Checker) Layers(ctx context.Context, request string, ranges []cowslipproxy.LayerRange, layers int) error {
	if err := cowslipproxy.CheckTiling(ranges, layers); err != nil {
		return c.Violated(ctx, InvariantLayers, request, err)
	}
	return nil
}

// Reply asserts that a reply belongs to a step.
func (c *Checker) Reply(ctx context.Context, step cowslipproxy.StepID, reply cowslipproxy.StepID) error {
	if step == reply {
		return nil
	}
	return c.Violated(ctx, InvariantAnswer, step.Request, errors.Errorf("reply %v does not belong to step %v", reply, step))
}
