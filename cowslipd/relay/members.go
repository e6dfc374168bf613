package relay

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	memberInterval = time.Second
	// forgetAfter is how long a daemon that is down is kept as a member and retried. Data
	// centres may be cut off from each other for hours, and a daemon that was forgotten is not
	// admitted again before its next start. A fleet of 1,900 loses 92 VMs a day.
	forgetAfter = 24 * time.Hour
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
// by another process at the same address or were down for longer than
// forgetAfter.
func (d *Daemon) updateMembers(now time.Time, downSince map[cowslipproxy.Owner]time.Time) {
	members := d.gossiper.Members()
	current := currentMembers(members)
	for _, member := range members {
		if !member.Down {
			delete(downSince, member.Owner)
		}
		if downSince[member.Owner].IsZero() && member.Down {
			downSince[member.Owner] = now
		}
		other, ok := current[member.Peer]
		isReplaced := ok && other.Owner != member.Owner && (member.Down || !member.LastHeard.IsZero() && other.LastHeard.After(member.LastHeard))
		if isReplaced || member.Down && now.Sub(downSince[member.Owner]) > forgetAfter {
			d.gossiper.Forget(member.Owner)
			delete(downSince, member.Owner)
		}
	}
	live := slices.SortedFunc(maps.Values(current), func(a, b cowslipproxy.Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := range live {
		live[i].LastHeard, live[i].LastSeen = time.Time{}, time.Time{} // they change with each update, and are not compared
	}
	d.sharing.setMembers(d.owner, d.Settings.Centre, live)
	d.pools.setDaemons(now, len(live))
	d.speeds.SetDaemons(len(live))
	var keys []string
	for _, member := range live {
		if !member.Stopping { // a stopping daemon refuses requests for trials soon
			keys = append(keys, member.Key())
		}
	}
	d.quarantine.SetPeers(keys)
	d.limits.setMembers(now, live)
}

// currentMembers returns the member that is up at each address.
func currentMembers(members []cowslipproxy.Member) map[netip.AddrPort]cowslipproxy.Member {
	current := map[netip.AddrPort]cowslipproxy.Member{}
	for _, member := range members {
		if other, ok := current[member.Peer]; !member.Down && (!ok || wasHeardLater(member, other)) {
			current[member.Peer] = member
		}
	}
	return current
}

// wasHeardLater reports whether a was heard from later than b, which has the same address. Start
// times decide only if neither was, because clocks may be set back between two starts.
func wasHeardLater(a, b cowslipproxy.Member) bool {
	if a.LastHeard.Equal(b.LastHeard) {
		return a.Incarnation > b.Incarnation
	}
	return a.LastHeard.After(b.LastHeard)
}
