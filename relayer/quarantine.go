package relayer

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// survivalTime is the time after the first event from which on a crash of the engine is
// not attributed to the request. Requests that crash engines do so when their answer
// begins.
const survivalTime = time.Second

// fingerprintsOf returns the fingerprints of a request: its own, and those of the parts of
// its prompt that other requests may share.
func fingerprintsOf(request cowslipproxy.RelayRequest, service, customer string) []quarantiner.RequestFingerprint {
	if customer == "" {
		customer = publicCustomer
	}
	content := append([]string{service, request.Method, request.Host, request.Target, request.Model, string(request.Body)}, request.Parts...)
	shared := slices.Clone(request.SharedParts())
	slices.Sort(shared)
	found := []quarantiner.RequestFingerprint{quarantiner.FingerprintOf(customer, content...)}
	for _, part := range slices.Compact(shared) {
		found = append(found, quarantiner.PartFingerprint(service, part))
	}
	return found
}

// publicCustomer is the customer of requests on routes that need no key.
const publicCustomer = "public"

// admit returns a failure if one of the request's fingerprints is quarantined and the request is
// no trial of them.
func (x *exchange) admit(ctx context.Context) *cowslipproxy.Failure {
	trial, failure := x.Quarantine.Admit(x.Clock(), x.fingerprints)
	if trial.Arbiter != "" && x.AskTrial(ctx, trial) {
		failure = nil
	}
	if failure == nil {
		x.tried = trial.Fingerprints
	}
	return failure
}

// recordTrial records that the request is sent to find out whether its quarantined
// fingerprints are sound.
func (x *exchange) recordTrial(upstream string) {
	if len(x.tried) == 0 {
		return
	}
	x.Quarantine.RecordTrial(x.Clock(), x.tried)
	reporter.Count(x.Metrics, reporter.MetricTrials)
	reporter.EventQuarantineTrial.Log(context.Background(), x.Logger, slog.String("request", x.callerRequest.ID), slog.String("upstream", upstream),
		slog.Any("fingerprints", keysOf(x.tried)))
	x.tried = nil
}

func keysOf(fingerprints []quarantiner.RequestFingerprint) (keys []string) {
	for _, fp := range fingerprints {
		keys = append(keys, fp.Key())
	}
	return keys
}

// isQuarantined reports whether the request must not be sent again.
func (x *exchange) isQuarantined() bool {
	return x.Quarantine.Reject(x.Clock(), x.fingerprints) != nil
}

// recordCrash records that an upstream crashed with the request in flight.
func (x *exchange) recordCrash(upstream, incarnation string, received int) {
	x.Quarantine.Crash(x.Clock(), incarnation, x.fingerprints)
	reporter.Count(x.Metrics, reporter.MetricCrashes)
	reporter.EventInFlightAtCrash.Log(context.Background(), x.Logger, slog.String("request", x.callerRequest.ID), slog.String("upstream", upstream),
		slog.String("incarnation", incarnation), slog.Int("received", received), slog.Any("parts", x.callerRequest.SharedParts()), slog.Any("fingerprints", keysOf(x.fingerprints)))
}

// recordCrash records the end of an attempt as a crash of its first engine, which writes
// the answer, if it broke the connection soon after it began to write.
func (a *streamAttempt) recordCrash(first cowslipproxy.Hop, err error) {
	if !errors.Is(err, errConnectionBroken) {
		return
	}
	a.mu.Lock()
	survived, stalled, received := a.survived, a.stalled, a.received
	a.mu.Unlock()
	if !survived && !stalled {
		a.exchange.recordCrash(first.Instance, first.Incarnation(), received)
	}
}

// recordStall records that an engine of the path other than the first one failed. The
// first engine then ends the stream without having crashed.
func (a *streamAttempt) recordStall(path *pathfinder.Path, failed []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stalled = a.stalled || !slices.Contains(failed, path.First().Address)
}

// recordCompletion records that the answer is complete. Without a length or chunks, a crash
// may look like the end of the answer.
func (a *streamAttempt) recordCompletion(reply upstreamReply) {
	if reply.isFramed() {
		a.Quarantine.Survived(a.Clock(), a.fingerprints)
	}
}
