package relay

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

// share sends the instance list and the loads of engines to other daemons, if
// this daemon is the reader of its data centre.
func (d *Daemon) share(ctx context.Context) {
	if !d.sharing.isReader() {
		return
	}
	now := d.Clock()
	self := cowslipproxy.Member{Owner: d.owner, Hello: cowslipproxy.Hello{Centre: d.Settings.Centre}}
	near, far := d.sharing.targets(self)
	own := d.pools.ownLoads()
	d.sharing.loads.Put(now, d.owner.Name, own)
	d.pools.setOtherLoads(d.sharing.loads.Sum(now, d.owner.Name))
	var farNames []string
	for _, member := range far {
		farNames = append(farNames, member.Name)
	}
	for _, member := range near {
		d.sendShare(ctx, now, member, d.sharing.loads.Sum(now, member.Name))
	}
	for _, member := range far {
		d.sendShare(ctx, now, member, d.sharing.loads.Sum(now, farNames...))
	}
}

// sendShare sends a share to a daemon, unless the previous one is still in flight,
// and processes the reply. The share contains the instance list if the receiver is
// in the same data centre and, by its last reply, holds another version of it.
func (d *Daemon) sendShare(ctx context.Context, now time.Time, member cowslipproxy.Member, loads map[string]float64) {
	s := &d.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[member.Name] {
		return
	}
	s.inFlight[member.Name] = true
	listVersion := d.registrar.Version()
	share := sharer.Share{From: d.owner.Name, Age: now.Sub(s.lastRead), ConfigurationVersion: d.configurationVersion(), ListVersion: listVersion, Loads: loads}
	if heldListVersion, ok := s.heldListVersion[member.Name]; member.Centre == d.Settings.Centre && ok && heldListVersion != listVersion {
		share.Complete, share.Instances = true, d.registrar.Instances()
	}
	go func() {
		reply, err := d.exchangeShare(ctx, member.Peer, share)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, member.Name)
		if err != nil {
			delete(s.heldListVersion, member.Name)
			return // gossip detects daemons that are down
		}
		s.loads.Put(d.Clock(), member.Name, reply.Loads)
		s.heldListVersion[member.Name] = 0
		if reply.Reader == d.owner.Name {
			s.heldListVersion[member.Name] = reply.ListVersion
		}
		if d.recordAnnouncement(reply.ConfigurationVersion, member.Name) {
			go d.fetchConfiguration(ctx, member.Peer)
		}
	}()
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
	sameCentre := sender.Centre == d.Settings.Centre
	accepted := sameCentre && !share.RequestList && share.Age <= sharer.MaxAge
	if accepted {
		s.lastSharedRead = now.Add(-share.Age)
	}
	if accepted && share.Complete {
		s.listSource, s.listVersion = share.From, share.ListVersion
	}
	reply := sharer.Reply{Reader: s.listSource, ListVersion: s.listVersion, ConfigurationVersion: d.configurationVersion()}
	s.mu.Unlock()
	if accepted && share.Complete {
		d.updateInstances(d.registrar.Replace(now, share.Instances))
	}
	switch {
	case sameCentre && !share.RequestList:
		d.pools.setOtherLoads(share.Loads)
		reply.Loads = d.pools.ownLoads()
	case !share.RequestList:
		s.loads.Put(now, share.From, share.Loads)
		reply.Loads = s.loads.Sum(now, share.From)
	default:
		reply.Age, reply.Instances = s.listAge(now), d.registrar.Instances()
	}
	if d.recordAnnouncement(share.ConfigurationVersion, share.From) && sender.Peer.IsValid() {
		go d.fetchConfiguration(context.Background(), sender.Peer)
	}
	out, err := json.Marshal(reply)
	return out, errors.WithStack(err)
}
