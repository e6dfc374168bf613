package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	memberPeriod = time.Second
	// forgetAfter is how long a daemon that is down is called now and then.
	forgetAfter = 30 * time.Second
)

// trackMembers follows which daemons there are.
func (d *Daemon) trackMembers(ctx context.Context) {
	var seeds []cowslipproxy.VM
	for _, seed := range d.Settings.Seeds {
		if seed != d.Settings.Peers {
			seeds = append(seeds, cowslipproxy.VM{Name: "seed-" + seed.String(), Role: cowslipproxy.VMEntry, Address: seed, State: cowslipproxy.VMLive})
		}
	}
	d.gossiper.SetListed(seeds)
	ticker := time.NewTicker(memberPeriod)
	defer ticker.Stop()
	down := map[cowslipproxy.Owner]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.countMembers(d.Clock(), down)
	}
}

// countMembers forgets daemons that are gone: those that another run at the
// same address replaced, and those that were down for long.
func (d *Daemon) countMembers(now time.Time, down map[cowslipproxy.Owner]time.Time) {
	newest := map[netip.AddrPort]cowslipproxy.Member{}
	members := d.gossiper.Members()
	var live []cowslipproxy.Member
	for _, member := range members {
		if member.Down {
			continue
		}
		if other, ok := newest[member.Peer]; !ok || other.Incarnation < member.Incarnation {
			newest[member.Peer] = member
		}
	}
	for _, member := range members {
		if !member.Down {
			delete(down, member.Owner)
		}
		if down[member.Owner].IsZero() && member.Down {
			down[member.Owner] = now
		}
		current, ok := newest[member.Peer]
		if ok && current.Owner != member.Owner || member.Down && now.Sub(down[member.Owner]) > forgetAfter {
			d.gossiper.Forget(member.Owner)
			delete(down, member.Owner)
		}
	}
	for _, member := range newest {
		live = append(live, member)
	}
	d.sharing.setMembers(d.owner, d.Settings.Centre, live)
	d.pools.setDaemons(now, len(live))
}
