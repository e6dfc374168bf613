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
	suspectTimeout = time.Second
	suspectPeriod  = 100 * time.Millisecond // between two tries to reach a daemon that lacks records
	maxSuspects    = 64
	holdBack       = 2 * time.Second // longest delay of a failure; a daemon that is down is noticed after 3 s
	holdTimeout    = 200 * time.Millisecond
	holdBackPoll   = 10 * time.Millisecond
)

// suspectRecords is what daemons send each other of requests that may be poison.
type suspectRecords struct {
	Records []quarantiner.Record `json:"records"`
}

// Check reports the first record that is out of range.
func (s suspectRecords) Check() error {
	if len(s.Records) > maxSuspects {
		return errors.Errorf("records: found %d, accepted are at most %d", len(s.Records), maxSuspects)
	}
	for i, record := range s.Records {
		if err := record.Check(); err != nil {
			return errors.Wrapf(err, "records[%d]", i)
		}
	}
	return nil
}

func printOf(request limiter.Request) quarantiner.RequestFingerprint {
	return quarantiner.RequestFingerprint{Customer: request.Customer.Name, Content: request.Content}
}

// crashed takes in that an engine was lost with requests in flight.
func (r *Router) crashed(upstream, run string, requests []string, now time.Time) {
	var prints []quarantiner.RequestFingerprint
	for _, id := range requests {
		request, ok := r.admission.track.get(id)
		switch {
		case !ok:
		case r.pool.IsAlone(id, upstream):
			r.quarantiner.CrashAlone(now, run, printOf(request.Request))
		default:
			prints = append(prints, printOf(request.Request))
		}
	}
	r.quarantiner.Crash(now, run, prints)
	r.trackMembers(now) // a suspect runs once all daemons know, those that came within the last second too
	reporter.Count(r.Metrics, reporter.MetricCrashes)
	reporter.EventCrash.Log(context.Background(), r.Logger, slog.String("upstream", upstream), slog.Int("requests", len(requests)))
	select {
	case r.suspected <- struct{}{}:
	default: // a round is due already
	}
}

// permit implements driver.Permit.
func (r *Router) permit(now time.Time, job driver.Job) (bool, *cowslipproxy.Failure) {
	request, ok := r.admission.track.get(job.Request)
	if !ok {
		return false, nil
	}
	mark := printOf(request.Request)
	if request.run != nil {
		r.quarantiner.End(now, *request.run, false) // the run that crashed
	}
	run, failure := r.quarantiner.Begin(now, mark)
	if failure == nil {
		r.admission.track.setRun(job.Request, &run)
	} else {
		r.admission.track.setRun(job.Request, nil)
	}
	return run.Alone, failure
}

func fingerprint(of quarantiner.RequestFingerprint) string { return strconv.FormatUint(of.Content, 16) }

// survived takes in that a suspect got past the token at which an upstream
// crashed. It may share its upstreams with other suspects from now on.
func (r *Router) survived(job driver.Job) {
	request, ok := r.admission.track.get(job.Request)
	if !ok || request.run == nil {
		return
	}
	r.quarantiner.End(r.Clock(), *request.run, false)
	r.admission.track.setRun(job.Request, &quarantiner.Run{RequestFingerprint: request.run.RequestFingerprint})
}

// completed tells the quarantine that a job ended. A failure is held back until
// the other daemons know of the crashes, since the caller may send the request
// again through any of them.
func (r *Router) completed(ctx context.Context, id string, whole bool) {
	request, ok := r.admission.track.get(id)
	if !ok {
		return
	}
	if request.run != nil {
		r.quarantiner.End(r.Clock(), *request.run, whole)
	}
	if whole {
		return
	}
	mark := printOf(request.Request)
	if r.quarantiner.State(r.Clock(), mark) == quarantiner.StateQuarantined {
		reporter.EventQuarantined.Log(ctx, r.Logger, slog.String("customer", mark.Customer), slog.String("fingerprint", fingerprint(mark)))
	}
	ctx, cancel := context.WithTimeout(ctx, holdBack)
	defer cancel()
	waiter.Until(ctx, holdBackPoll, func() bool { return r.quarantiner.Replicated(r.Clock(), mark) })
}

// spreadSuspects sends records to the daemons that lack them.
func (r *Router) spreadSuspects(ctx context.Context) error {
	ticker := time.NewTicker(suspectPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.suspected:
		case <-ticker.C:
		}
		if len(r.quarantiner.Records(r.Clock())) == 0 {
			continue // to list the members ten times a second took a third of an idle daemon's processor time among 150
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
	if !r.sending.begin(member.Key()) {
		return
	}
	r.admission.group.Go(func() {
		defer r.sending.end(member.Key())
		ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
		defer cancel()
		var held suspectRecords
		data, err := cbor.Marshal(suspectRecords{Records: records})
		if err == nil {
			data, err = r.gossiper.SendSuspects(ctx, member.Peer.String(), data)
		}
		if err == nil {
			err = decoder.CBOR(data, &held)
		}
		if err != nil {
			reporter.EventExchangeFailed.Log(ctx, r.Logger, slog.String("peer", member.Name), slog.Any("error", err))
			return
		}
		r.quarantiner.HandleAck(r.Clock(), member.Key(), records, held.Records)
	})
}

// takeSuspects takes in another daemon's records.
func (r *Router) takeSuspects(data []byte) ([]byte, error) {
	var sent suspectRecords
	if err := decoder.CBOR(data, &sent); err != nil {
		return nil, err
	}
	held := r.quarantiner.Merge(r.Clock(), sent.Records)
	return cbor.Marshal(suspectRecords{Records: held})
}

// grantAnswer is the answer to a hold.
type grantAnswer struct {
	Granted bool `json:"granted"`
}

// askHold asks another daemon to grant an upstream to a suspect.
func (r *Router) askHold(daemon string, hold pooler.Hold) bool {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	for _, member := range r.gossiper.Members() {
		if member.Name != daemon {
			continue
		}
		var answer grantAnswer
		data, err := cbor.Marshal(hold)
		if err == nil {
			data, err = r.gossiper.SendHold(ctx, member.Peer.String(), data)
		}
		if err == nil {
			err = decoder.CBOR(data, &answer)
		}
		return err == nil && answer.Granted
	}
	return false
}

// grantHold decides on a hold that another daemon asks for.
func (r *Router) grantHold(data []byte) ([]byte, error) {
	var hold pooler.Hold
	if err := decoder.CBOR(data, &hold); err != nil {
		return nil, err
	}
	if err := decoder.Check(hold); err != nil {
		return nil, err
	}
	return cbor.Marshal(grantAnswer{Granted: r.pool.Grant(r.Clock(), hold)})
}

// lift ends the quarantine of a fingerprint.
func (r *Router) lift(text string) bool {
	now := r.Clock()
	lifted := false
	for _, record := range r.quarantiner.Records(now) {
		if fingerprint(record.RequestFingerprint) == text && r.quarantiner.Lift(now, record.RequestFingerprint) {
			lifted = true
		}
	}
	return lifted
}
