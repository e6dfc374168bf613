package router

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/pooler"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	suspectSendTimeout     = time.Second
	suspectSyncInterval    = 100 * time.Millisecond // between attempts to reach a daemon that has not acknowledged a record
	maxSuspectRecords      = 64
	maxFailureDelay        = 2 * time.Second // limits the wait for acknowledgements of crash records; a failed daemon is known to be down only after 3 s
	holdRequestTimeout     = 200 * time.Millisecond
	quarantinePollInterval = 10 * time.Millisecond
)

// suspectsMessage is the message with which daemons exchange the records of suspects:
// requests that may crash the upstreams that run them.
type suspectsMessage struct {
	Records []quarantiner.Record `json:"records"`
}

// Check returns an error for too many records or for the first invalid record.
func (s suspectsMessage) Check() error {
	if len(s.Records) > maxSuspectRecords {
		return errors.Errorf("records: %d exceed the limit of %d", len(s.Records), maxSuspectRecords)
	}
	for i, record := range s.Records {
		if err := record.Check(); err != nil {
			return errors.Wrapf(err, "records[%d]", i)
		}
	}
	return nil
}

func fingerprintOf(request limiter.Request) quarantiner.RequestFingerprint {
	return quarantiner.RequestFingerprint{Customer: request.Customer.Name, Content: request.Content}
}

// handleCrash records the crash of an engine with requests in flight.
func (r *Router) handleCrash(upstream, engineRun string, requests []string, now time.Time) {
	var fingerprints []quarantiner.RequestFingerprint
	for _, id := range requests {
		request, ok := r.admission.inFlight.get(id)
		switch {
		case !ok:
		case r.pool.HasHold(id, upstream):
			r.quarantiner.CrashAlone(now, engineRun, fingerprintOf(request.Request))
		default:
			fingerprints = append(fingerprints, fingerprintOf(request.Request))
		}
	}
	r.quarantiner.Crash(now, engineRun, fingerprints)
	r.updateMembers(now) // a suspect may run only when all live daemons have its record, including those that joined within the last second
	reporter.Count(r.Metrics, reporter.MetricCrashes)
	reporter.EventCrash.Log(context.Background(), r.Logger, slog.String("upstream", upstream), slog.Int("requests", len(requests)))
	select {
	case r.suspectsChanged <- struct{}{}:
	default: // a replication is already pending
	}
}

// permitRun implements driver.Permit.
func (r *Router) permitRun(now time.Time, job driver.Job) (bool, *cowslipproxy.Failure) {
	request, ok := r.admission.inFlight.get(job.Request)
	if !ok {
		return false, nil
	}
	fp := fingerprintOf(request.Request)
	if request.run != nil {
		r.quarantiner.End(now, *request.run, false) // the run of the previous attempt, which failed
	}
	run, failure := r.quarantiner.Begin(now, fp)
	if failure == nil {
		r.admission.inFlight.setRun(job.Request, &run)
	} else {
		r.admission.inFlight.setRun(job.Request, nil)
	}
	return run.Alone, failure
}

func formatFP(fp quarantiner.RequestFingerprint) string { return strconv.FormatUint(fp.Content, 16) }

// handleSurvived handles a suspect that passed the token at which an upstream crashed.
// From then on the suspect may share its upstreams with other suspects.
func (r *Router) handleSurvived(job driver.Job) {
	request, ok := r.admission.inFlight.get(job.Request)
	if !ok || request.run == nil {
		return
	}
	r.quarantiner.End(r.Clock(), *request.run, false)
	r.admission.inFlight.setRun(job.Request, &quarantiner.Run{RequestFingerprint: request.run.RequestFingerprint})
}

// handleJobEnd reports the end of a job to the quarantine. If the job failed, it waits
// until the crash records are replicated to the other daemons, since the caller may
// retry through any of them.
func (r *Router) handleJobEnd(ctx context.Context, id string, success bool) {
	request, ok := r.admission.inFlight.get(id)
	if !ok {
		return
	}
	if request.run != nil {
		r.quarantiner.End(r.Clock(), *request.run, success)
	}
	if success {
		return
	}
	fp := fingerprintOf(request.Request)
	if r.quarantiner.State(r.Clock(), fp) == quarantiner.StateQuarantined {
		reporter.EventQuarantined.Log(ctx, r.Logger, slog.String("customer", fp.Customer), slog.String("fingerprint", formatFP(fp)))
	}
	ctx, cancel := context.WithTimeout(ctx, maxFailureDelay)
	defer cancel()
	waiter.Until(ctx, quarantinePollInterval, func() bool { return r.quarantiner.Replicated(r.Clock(), fp) })
}

// replicateSuspects sends suspect records to the daemons that have not acknowledged them.
func (r *Router) replicateSuspects(ctx context.Context) error {
	ticker := time.NewTicker(suspectSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.suspectsChanged:
		case <-ticker.C:
		}
		if len(r.quarantiner.Records(r.Clock())) == 0 {
			continue // with 150 daemons, listing the members ten times a second takes a third of an idle daemon's CPU time
		}
		for _, member := range r.gossiper.Members() {
			if member.Down || member.Owner == r.owner {
				continue
			}
			if records := r.quarantiner.Pending(r.Clock(), member.Key()); len(records) > 0 {
				r.sendSuspects(ctx, member, records)
			}
		}
	}
}

func (r *Router) sendSuspects(ctx context.Context, member cowslipproxy.Member, records []quarantiner.Record) {
	if !r.suspectSends.tryBegin(member.Key()) {
		return
	}
	r.admission.group.Go(func() {
		defer r.suspectSends.end(member.Key())
		ctx, cancel := context.WithTimeout(ctx, suspectSendTimeout)
		defer cancel()
		var current suspectsMessage
		data, err := cbor.Marshal(suspectsMessage{Records: records})
		if err == nil {
			data, err = r.gossiper.SendSuspects(ctx, member.Peer.String(), data)
		}
		if err == nil {
			err = decoder.CBOR(data, &current)
		}
		if err != nil {
			reporter.EventExchangeFailed.Log(ctx, r.Logger, slog.String("peer", member.Name), slog.Any("error", err))
			return
		}
		r.quarantiner.HandleAck(r.Clock(), member.Key(), records, current.Records)
	})
}

// mergeSuspects merges the records of another daemon and returns the resulting ones.
func (r *Router) mergeSuspects(data []byte) ([]byte, error) {
	var sent suspectsMessage
	if err := decoder.CBOR(data, &sent); err != nil {
		return nil, err
	}
	current := r.quarantiner.Merge(r.Clock(), sent.Records)
	return cbor.Marshal(suspectsMessage{Records: current})
}

// holdReply is the reply to a pooler.HoldMessage.
type holdReply struct {
	Granted bool `json:"granted"`
}

// requestHold asks another daemon to reserve an upstream for a suspect or to release
// it. It reports whether the daemon granted the request.
func (r *Router) requestHold(daemon string, hold pooler.HoldMessage) bool {
	ctx, cancel := context.WithTimeout(context.Background(), holdRequestTimeout)
	defer cancel()
	for _, member := range r.gossiper.Members() {
		if member.Name != daemon {
			continue
		}
		var reply holdReply
		data, err := cbor.Marshal(hold)
		if err == nil {
			data, err = r.gossiper.SendHold(ctx, member.Peer.String(), data)
		}
		if err == nil {
			err = decoder.CBOR(data, &reply)
		}
		return err == nil && reply.Granted
	}
	return false
}

// grantHold handles a hold that another daemon requests.
func (r *Router) grantHold(data []byte) ([]byte, error) {
	var hold pooler.HoldMessage
	if err := decoder.CBOR(data, &hold); err != nil {
		return nil, err
	}
	if err := decoder.Check(hold); err != nil {
		return nil, err
	}
	return cbor.Marshal(holdReply{Granted: r.pool.Grant(r.Clock(), hold)})
}

// liftQuarantine ends the quarantine of a fingerprint. It reports whether there was one.
func (r *Router) liftQuarantine(fingerprint string) bool {
	now := r.Clock()
	lifted := false
	for _, record := range r.quarantiner.Records(now) {
		if formatFP(record.RequestFingerprint) == fingerprint && r.quarantiner.Lift(now, record.RequestFingerprint) {
			lifted = true
		}
	}
	return lifted
}
