package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	// fetchTimeout bounds the fetch of a configuration from one daemon. What was
	// received until then is kept, so that the next fetch continues.
	fetchTimeout = 2 * time.Second
	// fetchRetryDelay is the delay before the next daemon is asked.
	fetchRetryDelay = 50 * time.Millisecond
	// maxFetches is the number of fetches in a row. The next share with a newer version
	// starts others.
	maxFetches = 6
)

// fetchAnnounced fetches the configuration until the newest announced version is
// active. It starts with the daemon that announced it and continues with the parent and
// the reader.
func (d *Daemon) fetchAnnounced(ctx context.Context) {
	if !d.fetching.CompareAndSwap(false, true) {
		return
	}
	defer d.fetching.Store(false)
	for number := range maxFetches {
		sources := d.sharing.sources(d.owner, d.announced.source())
		if len(sources) == 0 {
			return
		}
		d.fetchConfiguration(ctx, sources[number%len(sources)])
		if d.announced.lag(d.Clock(), d.configurationVersion()) == 0 || !waiter.Wait(ctx, fetchRetryDelay) {
			return
		}
	}
}

// sources returns the daemons from which this one may fetch the configuration.
func (s *sharing) sources(self cowslipproxy.Owner, announcer netip.AddrPort) (sources []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parent, _ := s.tree.Parent(self.Name)
	reader, _ := s.tree.Reader()
	if reader.Owner == self {
		reader = cowslipproxy.Member{}
	}
	for _, address := range []netip.AddrPort{announcer, parent.Peer, reader.Peer} {
		if address.IsValid() && !slices.Contains(sources, address) {
			sources = append(sources, address)
		}
	}
	return sources
}

// fetchConfiguration fetches the configuration of another daemon and activates it if it
// is newer than the current one.
func (d *Daemon) fetchConfiguration(ctx context.Context, peer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	start := d.Clock()
	document, err := d.gossiper.FetchDocument(ctx, peer.String(), &d.download)
	if errors.Is(err, gossiper.ErrNoDocuments) {
		d.fetchSnapshot(ctx, peer)
		return
	}
	if err != nil {
		d.logFetchFailure(ctx, peer, start, err)
		return
	}
	d.logFetch(ctx, peer, start, document.Version, len(document.Data))
	var configuration cowslipproxy.RelayConfiguration
	if configuration, err = decodeConfiguration(document); err != nil {
		reporter.EventRelayConfigInvalid.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Any("error", err))
		return
	}
	d.keepDocument(document)
	d.apply(configuration, peer.String())
}

// fetchSnapshot fetches the configuration of a daemon that runs an earlier build,
// which sends it uncompressed and in one piece.
func (d *Daemon) fetchSnapshot(ctx context.Context, peer netip.AddrPort) {
	start := d.Clock()
	var response gossiper.SnapshotResponse
	var err error
	if response, err = d.gossiper.FetchSnapshot(ctx, peer.String()); err != nil {
		d.logFetchFailure(ctx, peer, start, err)
		return
	}
	d.logFetch(ctx, peer, start, response.Offset, len(response.Data))
	var configuration cowslipproxy.RelayConfiguration
	if err := decoder.JSON(response.Data, &configuration); err != nil {
		reporter.EventRelayConfigInvalid.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Any("error", err))
		return
	}
	d.apply(configuration, peer.String())
}

func (d *Daemon) logFetch(ctx context.Context, peer netip.AddrPort, start time.Time, version uint64, bytes int) {
	reporter.EventFetched.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Uint64("version", version), slog.Int("bytes", bytes), slog.Duration("took", d.Clock().Sub(start)))
}

func (d *Daemon) logFetchFailure(ctx context.Context, peer netip.AddrPort, start time.Time, err error) {
	reporter.Count(d.Metrics, reporter.MetricFetchesFailed)
	reporter.EventFetchFailed.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Int("received", d.download.Size()), slog.Duration("took", d.Clock().Sub(start)), slog.Any("error", err))
}
