package relay

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	memberInterval = time.Second
	// forgetAfter is how long a daemon that is down is kept as a member and retried.
	forgetAfter = 30 * time.Second
)

// trackMembers periodically updates the set of live daemons.
func (d *Daemon) trackMembers(ctx context.Context) {
	var seeds []cowslipproxy.VM
	for _, seed := range d.Settings.Seeds {
		if seed != d.Settings.Peers {
			seeds = append(seeds, cowslipproxy.VM{Name: "seed-" + seed.String(), Role: cowslipproxy.VMEntry, Address: seed, State: cowslipproxy.VMLive})
		}
	}
	d.gossiper.SetListed(seeds)
	ticker := time.NewTicker(memberInterval)
	defer ticker.Stop()
	downSince := map[cowslipproxy.Owner]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.updateMembers(d.Clock(), downSince)
	}
}

// updateMembers updates the live daemons. It removes members that were replaced
// by a newer process at the same address or were down for longer than
// forgetAfter.
func (d *Daemon) updateMembers(now time.Time, downSince map[cowslipproxy.Owner]time.Time) {
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
			delete(downSince, member.Owner)
		}
		if downSince[member.Owner].IsZero() && member.Down {
			downSince[member.Owner] = now
		}
		current, ok := newest[member.Peer]
		if ok && current.Owner != member.Owner || member.Down && now.Sub(downSince[member.Owner]) > forgetAfter {
			d.gossiper.Forget(member.Owner)
			delete(downSince, member.Owner)
		}
	}
	for _, member := range newest {
		live = append(live, member)
	}
	slices.SortFunc(live, func(a, b cowslipproxy.Member) int { return cmp.Compare(a.Name, b.Name) })
	d.sharing.setMembers(d.owner, d.Settings.Centre, live)
	d.pools.setDaemons(now, len(live))
	var keys []string
	for _, member := range live {
		keys = append(keys, member.Key())
	}
	d.quarantine.SetPeers(keys)
	d.limits.setMembers(now, live)
}
