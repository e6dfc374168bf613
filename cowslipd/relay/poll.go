package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

// pollPeers polls other daemons for the instance list and the configuration
// while no shares arrive from the reader of this daemon's data centre, because
// that reader does not know this daemon yet or is down, and while this daemon is the
// reader and cannot read the store, which may refuse single daemons.
func (d *Daemon) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if peer, ok := d.sharing.peerToPoll(d.Clock(), d.Settings); ok {
			d.pollPeer(ctx, peer)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// peerToPoll returns the daemon to poll: a reader or any daemon of the same data
// centre, or a seed while no reader is known. It returns false while polling is not
// needed or not possible.
func (s *sharing) peerToPoll(now time.Time, settings loader.RelaySettings) (netip.AddrPort, bool) {
	if s.listAge(now) < sharer.RequestAge {
		return netip.AddrPort{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []netip.AddrPort
	for _, reader := range sharer.Readers(s.members) {
		peers = append(peers, reader.Peer)
	}
	if near, ok := s.randomMember(settings); ok && len(peers) > 0 {
		peers = append(peers, near)
	}
	if len(peers) == 0 && !s.readsAtStart {
		peers = settings.Seeds
	}
	peers = slices.DeleteFunc(slices.Clone(peers), func(peer netip.AddrPort) bool { return peer == settings.Peers })
	if len(peers) == 0 {
		return netip.AddrPort{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// randomMember returns another random daemon of this daemon's data centre. The caller holds
// the lock.
func (s *sharing) randomMember(settings loader.RelaySettings) (netip.AddrPort, bool) {
	var near []netip.AddrPort
	for _, member := range s.members {
		if member.Centre == settings.Centre && member.Peer != settings.Peers {
			near = append(near, member.Peer)
		}
	}
	if len(near) == 0 {
		return netip.AddrPort{}, false
	}
	return near[rand.IntN(len(near))], true
}

// pollPeer requests the instance list from another daemon. It also fetches the
// other daemon's configuration if that is newer.
func (d *Daemon) pollPeer(ctx context.Context, peer netip.AddrPort) {
	var reply sharer.Reply
	var err error
	if reply, err = d.exchangeShare(ctx, peer, sharer.Share{
		From: d.owner.Name, RequestList: true, ListPosition: d.sharing.position(&d.sharing.list), ConfigurationVersion: d.configurationVersion(),
	}); err != nil {
		return // the next poll may choose another daemon
	}
	now := d.Clock()
	if d.recordAnnouncement(reply.ConfigurationVersion, peer) {
		go d.fetchAnnounced(ctx)
	}
	if reply.Age > sharer.MaxAge {
		return
	}
	if len(reply.Instances) > 0 {
		changed := d.registrar.Replace(now, reply.InstanceList)
		d.sharing.setList("", 0, reply.ListPosition)
		d.updateInstances(changed)
	}
	d.sharing.acceptReply(now, reply, d.configurationVersion())
}

// acceptReply records the ages that the response to a request for the instance list
// reports, if this daemon holds the same list now. A daemon without a list, or with an
// older one, sends none.
func (s *sharing) acceptReply(now time.Time, reply sharer.Reply, configurationVersion uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.ListPosition != s.list.position {
		return
	}
	s.list.recordShare(now, reply.Age)
	if reply.ConfigurationVersion == configurationVersion {
		s.configuration.recordShare(now, reply.ConfigurationAge)
	}
}
