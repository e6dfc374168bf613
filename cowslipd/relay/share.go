package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

// share sends the instance list and the loads of engines to the daemons that get them
// from this one.
func (d *Daemon) share(ctx context.Context) {
	near, far := d.sharing.targets(d.owner, d.Settings.Centre)
	if len(near)+len(far) == 0 && !d.sharing.isReader() {
		return
	}
	now := d.Clock()
	loads := &d.sharing.loads
	loads.Put(now, d.owner.Name, d.pools.ownLoads())
	d.pools.setOtherLoads(now, loads.Sum(now, d.owner.Name))
	var farNames []string
	for _, member := range far {
		farNames = append(farNames, member.Name)
	}
	for _, member := range near {
		d.sendShare(ctx, now, member, loads.Sum(now, member.Name))
	}
	for _, member := range far {
		d.sendShare(ctx, now, member, loads.Sum(now, farNames...))
	}
}

// sendShare sends a share to a daemon and processes the reply. While a share to that
// daemon is in flight, it only requests that another one follows.
func (d *Daemon) sendShare(ctx context.Context, now time.Time, member cowslipproxy.Member, loads map[string]float64) {
	s := &d.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, inFlight := s.inFlight[member.Name]; inFlight {
		s.inFlight[member.Name] = true
		return
	}
	s.inFlight[member.Name] = false
	share := d.newShare(now, member, loads)
	go func() {
		if d.completeShare(ctx, member, share) {
			d.sendShare(ctx, d.Clock(), member, loads)
		}
	}()
}

// newShare returns a share for a daemon. It contains the instance list if the receiver
// is in the same data centre and, by its last reply, holds another version of it. The
// caller holds the lock of d.sharing.
func (d *Daemon) newShare(now time.Time, member cowslipproxy.Member, loads map[string]float64) sharer.Share {
	s := &d.sharing
	listVersion := d.registrar.Version()
	share := sharer.Share{
		From: d.owner.Name, Age: now.Sub(s.list.knownAt()), ListPosition: s.list.position, ListVersion: listVersion, Loads: loads, Speeds: d.speeds.Speeds(now),
		ConfigurationVersion: d.configurationVersion(), ConfigurationAge: now.Sub(s.configuration.knownAt()), ConfigurationPosition: s.configuration.position,
	}
	if heldListVersion, ok := s.heldListVersion[member.Name]; member.Centre == d.Settings.Centre && ok && heldListVersion != listVersion {
		share.Complete, share.InstanceList = true, d.registrar.List(now)
	}
	return share
}

// completeShare exchanges a share and processes the reply. It reports whether another
// share must follow: one was requested meanwhile, or the receiver turned out to hold
// another version of the instance list.
func (d *Daemon) completeShare(ctx context.Context, member cowslipproxy.Member, share sharer.Share) (again bool) {
	s := &d.sharing
	start := d.Clock()
	reply, err := d.exchangeShare(ctx, member.Peer, share)
	if err == nil {
		d.speeds.merge(d.Clock(), reply.Speeds)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	again = s.inFlight[member.Name]
	delete(s.inFlight, member.Name)
	if err != nil {
		// The next share follows at the next change or interval. Gossip detects daemons that are
		// down.
		reporter.EventShareFailed.Log(ctx, d.Logger, slog.String("to", member.Name), slog.Duration("took", d.Clock().Sub(start)),
			slog.Bool("complete", share.Complete), slog.Any("error", err))
		delete(s.heldListVersion, member.Name)
		return false
	}
	s.loads.Put(d.Clock(), member.Name, reply.Loads)
	s.heldListVersion[member.Name] = 0
	if reply.Reader == d.owner.Name {
		s.heldListVersion[member.Name] = reply.ListVersion
	}
	if d.recordAnnouncement(reply.ConfigurationVersion, member.Peer) {
		go d.fetchAnnounced(ctx)
	}
	outdated := member.Centre == d.Settings.Centre && s.heldListVersion[member.Name] != share.ListVersion
	return again || outdated && !share.Complete
}

// exchangeShare sends a share and returns the reply.
func (d *Daemon) exchangeShare(ctx context.Context, peer netip.AddrPort, share sharer.Share) (sharer.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var reply sharer.Reply
	var data []byte
	var err error
	if data, err = json.Marshal(share); err != nil {
		return reply, errors.WithStack(err)
	}
	if data, err = d.gossiper.SendShare(ctx, peer.String(), data); err != nil {
		return reply, err
	}
	return reply, decoder.JSON(data, &reply)
}

// handleShare applies a share from another daemon and returns the reply. A daemon
// that requests the list gets it instead.
func (d *Daemon) handleShare(data []byte) ([]byte, error) {
	var share sharer.Share
	if err := decoder.JSON(data, &share); err != nil {
		return nil, err
	}
	now := d.Clock()
	s := &d.sharing
	s.mu.Lock()
	var sender cowslipproxy.Member
	for _, member := range s.members {
		if member.Name == share.From {
			sender = member
		}
	}
	accepted := sender.Centre == d.Settings.Centre && !share.RequestList && share.Age <= sharer.MaxAge
	newList := accepted && s.accept(now, share, d.configurationVersion())
	s.mu.Unlock()
	if newList {
		changed := d.registrar.Replace(now, share.InstanceList)
		s.setList(share.From, share.ListVersion, share.ListPosition)
		d.updateInstances(changed)
	}
	s.mu.Lock()
	reply := sharer.Reply{Reader: s.listSource, ListVersion: s.listVersion, ListPosition: s.list.position, ConfigurationVersion: d.configurationVersion()}
	s.mu.Unlock()
	reply.Speeds = d.speeds.Speeds(now)
	if share.RequestList {
		reply.Age, reply.ConfigurationAge = s.ages(now)
		if share.ListPosition == 0 || share.ListPosition < reply.ListPosition {
			reply.InstanceList = d.registrar.List(now)
		}
	} else {
		s.loads.Put(now, share.From, share.Loads)
		s.loads.Put(now, d.owner.Name, d.pools.ownLoads())
		d.pools.setOtherLoads(now, s.loads.Sum(now, d.owner.Name))
		reply.Loads = s.loads.Sum(now, share.From)
	}
	if d.speeds.merge(now, share.Speeds) || accepted {
		d.share(context.Background())
	}
	if sender.Peer.IsValid() && d.recordAnnouncement(share.ConfigurationVersion, sender.Peer) {
		go d.fetchAnnounced(context.Background())
	}
	out, err := json.Marshal(reply)
	return out, errors.WithStack(err)
}

// accept records a share from a daemon of the same data centre and reports whether its
// instance list replaces the one that this daemon holds. A list that was read earlier
// does not. The caller holds the lock.
func (s *sharing) accept(now time.Time, share sharer.Share, configurationVersion uint64) (newList bool) {
	sameList := share.From == s.listSource && share.ListVersion == s.listVersion
	if sameList || share.Complete || share.ListPosition <= s.list.position {
		s.list.recordShare(now, share.Age)
	}
	s.configuration.recordShare(now, share.ConfigurationAge)
	s.setParent(share.From)
	if share.ConfigurationVersion == configurationVersion {
		s.configuration.position = max(s.configuration.position, share.ConfigurationPosition)
	}
	if sameList {
		s.list.position = max(s.list.position, share.ListPosition)
	}
	return share.Complete && (share.ListPosition == 0 || share.ListPosition >= s.list.position)
}
