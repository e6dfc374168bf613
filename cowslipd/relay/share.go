package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

const (
	// shareTime bounds one exchange with another daemon.
	shareTime = 500 * time.Millisecond
	// askGap is the time between two questions to other daemons.
	askGap = 250 * time.Millisecond
	// bootTime is how long a daemon leaves it to the seeds to read the store when
	// the whole deployment starts for the first time, long before any caller
	// comes. A daemon that starts later reads at once.
	bootTime = 2 * time.Second
)

// sharing is what a daemon knows of the reading of the store.
type sharing struct {
	started time.Time
	eager   bool // this daemon reads the store at once after its start

	mu      sync.Mutex
	members []cowslipproxy.Member // live ones, this one included
	reader  bool                  // this daemon reads for its data centre
	read    time.Time             // last successful read of the list by this daemon
	shared  time.Time             // last share that counts
	from    string                // whose list this daemon holds
	listed  uint64                // that list's version
	known   map[string]uint64     // versions of this daemon's list that others hold
	busy    map[string]bool       // daemons that a share is on the way to
	loads   sharer.Loads
}

// setMembers takes in the live daemons.
func (s *sharing) setMembers(self cowslipproxy.Owner, centre string, members []cowslipproxy.Member) {
	reader, ok := sharer.Reader(members, centre)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.reader = members, ok && reader.Owner == self
}

// skips reports whether another daemon's shares stand for reads of the store.
func (s *sharing) skips(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader {
		return false
	}
	return now.Sub(s.shared) < sharer.Patience || !s.eager && now.Sub(s.started) < bootTime
}

// isReader reports whether this daemon reads for its data centre.
func (s *sharing) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// age returns the age of the list.
func (s *sharing) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared.After(s.read) {
		return now.Sub(s.shared)
	}
	return now.Sub(s.read)
}

// targets returns the daemons that a reader tells: those of its data centre and
// the readers of others.
func (s *sharing) targets(self cowslipproxy.Member) (near, far []cowslipproxy.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	centres := map[string]bool{self.Centre: true}
	for _, member := range s.members {
		if member.Centre == self.Centre {
			if member.Owner != self.Owner {
				near = append(near, member)
			}
			continue
		}
		if reader, ok := sharer.Reader(s.members, member.Centre); ok && !centres[member.Centre] {
			centres[member.Centre] = true
			far = append(far, reader)
		}
	}
	return near, far
}

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
	centres := map[string]bool{}
	for _, member := range s.members {
		if centres[member.Centre] {
			continue
		}
		centres[member.Centre] = true
		if reader, ok := sharer.Reader(s.members, member.Centre); ok {
			known = append(known, reader.Peer)
		}
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

// encoded is a configuration as it is handed to other daemons.
type encoded struct {
	version uint64
	data    []byte
}

// snapshot hands the configuration to another daemon. It is encoded once, since
// all daemons of a data centre ask for it at the same time.
func (d *Daemon) snapshot(context.Context) (uint64, []byte, error) {
	m := d.matcher.Load()
	if m == nil {
		return 0, nil, nil
	}
	d.encoding.Lock()
	defer d.encoding.Unlock()
	if d.encoded.version == m.Table.Version {
		return d.encoded.version, d.encoded.data, nil
	}
	var data []byte
	var err error
	if data, err = json.Marshal(m.Table); err != nil {
		return 0, nil, errors.WithStack(err)
	}
	d.encoded = encoded{m.Table.Version, data}
	return m.Table.Version, data, nil
}

// version returns the version of the configuration in force.
func (d *Daemon) version() uint64 {
	if m := d.matcher.Load(); m != nil {
		return m.Table.Version
	}
	return 0
}
