package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// trialTimeout bounds the time that a request waits for the grant of a trial. It would be refused
// otherwise, and a grant that comes too late is lost.
const trialTimeout = 500 * time.Millisecond

// askTrial asks the arbiter of a trial of quarantined fingerprints, and reports whether it is
// granted. It does not end with the caller's request, since the arbiter grants one trial at a time.
func (d *Daemon) askTrial(ctx context.Context, trial quarantiner.Trial) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
	defer cancel()
	reply, err := d.sendTrial(ctx, trial)
	if err == nil && reply.Granted {
		return true
	}
	if err == nil {
		d.quarantine.HandleDenial(d.Clock(), trial, reply.Wait)
	}
	reporter.Count(d.Metrics, reporter.MetricTrialsDenied)
	reporter.EventTrialDenied.Log(ctx, d.Logger, slog.Int("fingerprints", len(trial.Fingerprints)), slog.String("first", trial.Fingerprints[0].Key()),
		slog.String("arbiter", trial.Arbiter), slog.Duration("wait", reply.Wait), slog.Any("error", err))
	return false
}

func (d *Daemon) sendTrial(ctx context.Context, trial quarantiner.Trial) (reply quarantiner.TrialReply, err error) {
	address, ok := d.sharing.address(trial.Arbiter)
	if !ok {
		return reply, errors.New("daemon is not known")
	}
	var data []byte
	if data, err = gossiper.Encode(trial.Request()); err != nil {
		return reply, err
	}
	if data, err = d.gossiper.SendTrial(ctx, address.String(), data); err != nil {
		return reply, err
	}
	return reply, decoder.CBOR(data, &reply)
}

// handleTrial decides on another daemon's request for a trial.
func (d *Daemon) handleTrial(data []byte) ([]byte, error) {
	var request quarantiner.TrialRequest
	if err := decoder.CBOR(data, &request); err != nil {
		return nil, err
	}
	return gossiper.Encode(d.quarantine.Grant(d.Clock(), request.Fingerprints))
}
