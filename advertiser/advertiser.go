// Package advertiser selects the entry daemon addresses that callers receive, and
// controls the phases of a planned stop.
package advertiser

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	defaultLifetime = 30 * time.Second
	maxAddresses    = 8
	// defaultMaxSilence is three heartbeats of neighbours.
	defaultMaxSilence = 3 * time.Second
)

// Advertiser selects addresses for callers that ask which entry VM to use.
type Advertiser struct {
	Centre   string        // data centre of this daemon
	Lifetime time.Duration // of a response; 0 means 30 s
	Random   *rand.Rand
	MinLocal int // remote daemons are omitted if at least this many local ones are usable; 0 means never
	// MaxSilence is the time without a sign of life after which a daemon is omitted; 0 means 3 s.
	MaxSilence time.Duration
}

// SelectAddresses returns the addresses of up to 8 daemons that are up and neither
// starting nor stopping. It omits those of which neither this daemon nor one that it calls
// has had a sign of life recently: reports that they are down may take many seconds when several
// fail together. Daemons in the same data centre come before the others. Each group is rotated
// by a random offset, so that callers are distributed evenly.
func (a *Advertiser) SelectAddresses(now time.Time, members []cowslipproxy.Member) cowslipproxy.Addresses {
	var local, remote []cowslipproxy.Member
	for _, member := range members {
		switch {
		case member.Down || member.Starting || member.Stopping || now.Sub(member.LastSeen) > orDefault(a.MaxSilence, defaultMaxSilence):
		case member.Centre == a.Centre:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	if a.MinLocal > 0 && len(local) >= a.MinLocal {
		remote = nil
	}
	response := cowslipproxy.Addresses{Addresses: []cowslipproxy.Address{}, Lifetime: cowslipproxy.Duration(a.lifetime())}
	for _, member := range append(a.rotate(local), a.rotate(remote)...) {
		if len(response.Addresses) == maxAddresses {
			break
		}
		response.Addresses = append(response.Addresses, cowslipproxy.Address{
			Address: member.Caller, Centre: member.Centre, Incarnation: member.Key(),
		})
	}
	return response
}

func (a *Advertiser) lifetime() time.Duration {
	if a.Lifetime == 0 {
		return defaultLifetime
	}
	return a.Lifetime
}

func (a *Advertiser) rotate(members []cowslipproxy.Member) []cowslipproxy.Member {
	if len(members) < 2 {
		return members
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	offset := a.Random.IntN(len(members))
	return append(append([]cowslipproxy.Member(nil), members[offset:]...), members[:offset]...)
}
