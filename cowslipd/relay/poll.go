package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

// pollPeers polls other daemons for the instance list and the configuration
// while no shares arrive from the reader of this daemon's data centre, because
// that reader does not know this daemon yet or is down.
func (d *Daemon) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if peer, ok := d.sharing.peerToPoll(d.Clock(), d.Settings.Seeds); ok && peer != d.Settings.Peers {
			d.pollPeer(ctx, peer)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// peerToPoll returns the daemon to poll: a reader, or a seed while no reader is
// known. It returns false while polling is not needed or not possible.
func (s *sharing) peerToPoll(now time.Time, seeds []netip.AddrPort) (netip.AddrPort, bool) {
	if s.listAge(now) < sharer.RequestAge {
		return netip.AddrPort{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []netip.AddrPort
	for _, reader := range sharer.Readers(s.members) {
		peers = append(peers, reader.Peer)
	}
	if len(peers) == 0 && !s.readsAtStart {
		peers = seeds
	}
	if s.reader || len(peers) == 0 {
		return netip.AddrPort{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// pollPeer requests the instance list from another daemon. It also fetches the
// other daemon's configuration if that is newer.
func (d *Daemon) pollPeer(ctx context.Context, peer netip.AddrPort) {
	var reply sharer.Reply
	var err error
	if reply, err = d.exchangeShare(ctx, peer, sharer.Share{From: d.owner.Name, RequestList: true, ConfigurationVersion: d.configurationVersion()}); err != nil {
		return // the next poll may choose another daemon
	}
	now := d.Clock()
	if d.recordAnnouncement(reply.ConfigurationVersion, peer.String()) {
		d.fetchConfiguration(ctx, peer)
	}
	if reply.Age > sharer.MaxAge || len(reply.Instances) == 0 {
		return
	}
	d.sharing.mu.Lock()
	d.sharing.lastSharedRead = now.Add(-reply.Age)
	d.sharing.mu.Unlock()
	d.updateInstances(d.registrar.Replace(now, reply.Instances))
}

// fetchConfiguration fetches the configuration from another daemon and activates
// it if it is newer than the current one.
func (d *Daemon) fetchConfiguration(ctx context.Context, peer netip.AddrPort) {
	if !d.fetching.CompareAndSwap(false, true) {
		return
	}
	defer d.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	start := d.Clock()
	var response gossiper.SnapshotResponse
	var err error
	if response, err = d.gossiper.FetchSnapshot(ctx, peer.String()); err != nil {
		reporter.Count(d.Metrics, reporter.MetricFetchesFailed)
		reporter.EventFetchFailed.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Duration("took", d.Clock().Sub(start)), slog.Any("error", err))
		return // the next share contains the version again
	}
	reporter.EventFetched.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Uint64("version", response.Offset), slog.Int("bytes", len(response.Data)), slog.Duration("took", d.Clock().Sub(start)))
	var configuration cowslipproxy.RelayConfiguration
	if err := decoder.JSON(response.Data, &configuration); err != nil {
		reporter.EventRelayConfigInvalid.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Any("error", err))
		return
	}
	d.apply(configuration, peer.String())
}
