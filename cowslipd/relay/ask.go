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

// askOthers asks other daemons for what this one doesn't read, when the reader
// of its data centre doesn't tell: it doesn't know this daemon yet, or is gone.
func (d *Daemon) askOthers(ctx context.Context) {
	ticker := time.NewTicker(askGap)
	defer ticker.Stop()
	for {
		if peer, ok := d.sharing.whomToAsk(d.Clock(), d.Settings.Seeds); ok && peer != d.Settings.Peers {
			d.ask(ctx, peer)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// whomToAsk returns the daemon to ask, or false while none needs to be asked:
// a reader, or a seed while no reader is known.
func (s *sharing) whomToAsk(now time.Time, seeds []netip.AddrPort) (netip.AddrPort, bool) {
	if s.age(now) < sharer.AskAge {
		return netip.AddrPort{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []netip.AddrPort
	for _, reader := range sharer.Readers(s.members) {
		known = append(known, reader.Peer)
	}
	if len(known) == 0 && !s.eager {
		known = seeds
	}
	if s.reader || len(known) == 0 {
		return netip.AddrPort{}, false
	}
	return known[rand.IntN(len(known))], true
}

func (d *Daemon) ask(ctx context.Context, peer netip.AddrPort) {
	var answer sharer.Answer
	var err error
	if answer, err = d.exchange(ctx, peer, sharer.Share{From: d.owner.Name, Ask: true, Table: d.version()}); err != nil {
		return // another one is asked soon
	}
	now := d.Clock()
	if answer.Table > d.version() {
		d.fetchTable(ctx, peer)
	}
	if answer.Age > sharer.MaxAge || len(answer.Instances) == 0 {
		return
	}
	d.sharing.mu.Lock()
	d.sharing.shared = now.Add(-answer.Age)
	d.sharing.mu.Unlock()
	d.listChanged(d.registrar.Replace(now, answer.Instances))
}

// fetchTable gets the configuration from another daemon.
func (d *Daemon) fetchTable(ctx context.Context, peer netip.AddrPort) {
	if !d.fetching.CompareAndSwap(false, true) {
		return
	}
	defer d.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	var answer gossiper.SnapshotAnswer
	var err error
	if answer, err = d.gossiper.FetchSnapshot(ctx, peer.String()); err != nil {
		return // the next share tells of the version again
	}
	var table cowslipproxy.Table
	if err := decoder.JSON(answer.Data, &table); err != nil {
		reporter.EventTableRefused.Log(ctx, d.Logger, slog.String("from", peer.String()), slog.Any("error", err))
		return
	}
	d.apply(table, peer.String())
}
