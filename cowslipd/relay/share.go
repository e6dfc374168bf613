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

// share tells other daemons what this one read.
func (d *Daemon) share(ctx context.Context) {
	if !d.sharing.isReader() {
		return
	}
	now := d.Clock()
	self := cowslipproxy.Member{Owner: d.owner, Hello: cowslipproxy.Hello{Centre: d.Settings.Centre}}
	near, far := d.sharing.targets(self)
	own := d.pools.held()
	d.sharing.loads.Put(now, d.owner.Name, own)
	d.pools.setOthers(d.sharing.loads.Sum(now, d.owner.Name))
	var distant []string
	for _, member := range far {
		distant = append(distant, member.Name)
	}
	for _, member := range near {
		d.tell(ctx, now, member, d.sharing.loads.Sum(now, member.Name))
	}
	for _, member := range far {
		d.tell(ctx, now, member, d.sharing.loads.Sum(now, distant...))
	}
}

// tell sends one share, unless the one before is still on its way.
func (d *Daemon) tell(ctx context.Context, now time.Time, member cowslipproxy.Member, loads map[string]float64) {
	s := &d.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[member.Name] {
		return
	}
	s.busy[member.Name] = true
	version := d.registrar.Version()
	share := sharer.Share{From: d.owner.Name, Age: now.Sub(s.read), Table: d.version(), Listed: version, Loads: loads}
	if known, ok := s.known[member.Name]; member.Centre == d.Settings.Centre && ok && known != version {
		share.Whole, share.Instances = true, d.registrar.Instances()
	}
	go func() {
		answer, err := d.exchange(ctx, member.Peer, share)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, member.Name)
		if err != nil {
			delete(s.known, member.Name)
			return // gossip notices a daemon that is gone
		}
		s.loads.Put(d.Clock(), member.Name, answer.Loads)
		s.known[member.Name] = 0
		if answer.Reader == d.owner.Name {
			s.known[member.Name] = answer.Listed
		}
		if answer.Table > d.version() {
			go d.fetchTable(ctx, member.Peer)
		}
	}()
}

// exchange sends a share and returns the answer.
func (d *Daemon) exchange(ctx context.Context, peer netip.AddrPort, share sharer.Share) (sharer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	var answer sharer.Answer
	var data []byte
	var err error
	if data, err = json.Marshal(share); err != nil {
		return answer, errors.WithStack(err)
	}
	if data, err = d.gossiper.SendShare(ctx, peer.String(), data); err != nil {
		return answer, err
	}
	return answer, decoder.JSON(data, &answer)
}

// takeShare takes in a share of another daemon and answers it.
func (d *Daemon) takeShare(data []byte) ([]byte, error) {
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
	near := sender.Centre == d.Settings.Centre
	counts := near && !share.Ask && share.Age <= sharer.MaxAge
	if counts {
		s.shared = now.Add(-share.Age)
	}
	if counts && share.Whole {
		s.from, s.listed = share.From, share.Listed
	}
	answer := sharer.Answer{Reader: s.from, Listed: s.listed, Table: d.version()}
	s.mu.Unlock()
	if counts && share.Whole {
		d.listChanged(d.registrar.Replace(now, share.Instances))
	}
	switch {
	case near && !share.Ask:
		d.pools.setOthers(share.Loads)
		answer.Loads = d.pools.held()
	case !share.Ask:
		s.loads.Put(now, share.From, share.Loads)
		answer.Loads = s.loads.Sum(now, share.From)
	default:
		answer.Age, answer.Instances = s.age(now), d.registrar.Instances()
	}
	if share.Table > answer.Table && sender.Peer.IsValid() {
		go d.fetchTable(context.Background(), sender.Peer)
	}
	out, err := json.Marshal(answer)
	return out, errors.WithStack(err)
}
