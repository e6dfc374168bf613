// Package advertiser decides which addresses callers are given, and the steps
// of a planned stop.
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
)

// Advertiser answers callers that ask which entry VM to use.
type Advertiser struct {
	Centre   string        // own data centre
	Lifetime time.Duration // of an answer
	Random   *rand.Rand
	Enough   int // near daemons from which on far ones are left out; 0 means that none are
}

// Answer returns the addresses of healthy daemons that neither start nor stop, at most 8:
// those of the own data centre first, then the others, each group from a random
// place on, so that callers spread evenly.
func (a *Advertiser) Answer(members []cowslipproxy.Member) cowslipproxy.Addresses {
	var near, far []cowslipproxy.Member
	for _, member := range members {
		switch {
		case member.Down || member.Starting || member.Stopping:
		case member.Centre == a.Centre:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	if a.Enough > 0 && len(near) >= a.Enough {
		far = nil
	}
	answer := cowslipproxy.Addresses{Addresses: []cowslipproxy.Address{}, Lifetime: cowslipproxy.Duration(a.lifetime())}
	for _, member := range append(a.rotate(near), a.rotate(far)...) {
		if len(answer.Addresses) == maxAddresses {
			break
		}
		answer.Addresses = append(answer.Addresses, cowslipproxy.Address{
			Address: member.Caller, Centre: member.Centre, Incarnation: member.Key(),
		})
	}
	return answer
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
	from := a.Random.IntN(len(members))
	return append(append([]cowslipproxy.Member(nil), members[from:]...), members[:from]...)
}
