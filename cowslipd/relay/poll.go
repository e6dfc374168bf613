package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

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
	if d.recordAnnouncement(reply.ConfigurationVersion, peer) {
		go d.fetchAnnounced(ctx)
	}
	if reply.Age > sharer.MaxAge || len(reply.Instances) == 0 {
		return
	}
	d.sharing.mu.Lock()
	d.sharing.lastSharedRead = now.Add(-reply.Age)
	d.sharing.mu.Unlock()
	d.updateInstances(d.registrar.Replace(now, reply.Instances))
}
