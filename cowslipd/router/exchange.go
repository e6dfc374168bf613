package router

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

const (
	exchangePeriod = time.Second
	maxAsked       = 4 // daemons that are asked for their snapshots at a time
)

// exchange tells the other daemons of the demand here, and keeps track of them.
func (r *Router) exchange(ctx context.Context) error {
	if len(r.Settings.Seeds) > 0 {
		r.gossiper.SetListed(seedVMs(r.Settings.Seeds)) // until the list is read
	}
	r.trackMembers(r.Clock())
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.joined:
			r.trackMembers(r.Clock())
			continue
		case <-ticker.C:
		}
		now := r.Clock()
		r.trackMembers(now)
		r.publishDemand(ctx, now)
		r.claimer.Expire(now)
	}
}

func seedVMs(seeds []netip.AddrPort) []cowslipproxy.VM {
	vms := make([]cowslipproxy.VM, len(seeds))
	for i, seed := range seeds {
		vms[i] = cowslipproxy.VM{Name: "seed-" + seed.String(), Role: cowslipproxy.VMEntry, Address: seed, State: cowslipproxy.VMLive}
	}
	return vms
}

// trackMembers tells the limits which daemons share them, and forgets daemons
// that are down and gone from the list.
func (r *Router) trackMembers(now time.Time) {
	listed := map[string]bool{}
	for _, vm := range r.lister.Last().VMs {
		listed[vm.Name] = true
	}
	var live, names []string
	for _, member := range r.gossiper.Members() {
		if !member.Down {
			live = append(live, member.Key())
			names = append(names, member.Name)
			continue
		}
		if !listed[member.Name] && r.lister.IsFresh(now) {
			r.gossiper.Forget(member.Owner)
		}
	}
	r.limits.SetDaemons(now, live)
	r.quarantiner.SetPeers(live)
	r.pool.SetDaemons(names)
}

// publishDemand publishes each changed customer as an item of its own, so that
// a daemon that missed some versions still gets the newest one of each.
func (r *Router) publishDemand(ctx context.Context, now time.Time) {
	digest := r.limits.Digest(now)
	for _, demand := range digest.Demands {
		one := limiter.Digest{Source: digest.Source, Seq: digest.Seq, Demands: []limiter.Demand{demand}}
		data, err := gossiper.Encode(one)
		if err == nil {
			err = r.gossiper.PublishDemand(demand.Customer, gossiper.ReachAll, data)
		}
		if err != nil {
			reporter.EventExchangeFailed.Log(ctx, r.Logger, slog.Any("error", err))
		}
	}
}

// received takes in an item of another daemon.
func (r *Router) received(item gossiper.Item) {
	if item.Kind == gossiper.KindHello || item.Kind == gossiper.KindDown {
		select {
		case r.joined <- struct{}{}:
		default: // a look at the members is due already
		}
		return
	}
	if item.Withdrawn || item.Kind != gossiper.KindDemand {
		return
	}
	var digest limiter.Digest
	if err := decoder.CBOR(item.Data, &digest); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), r.Logger, slog.String("from", item.Owner.Name), slog.Any("error", err))
		return
	}
	r.limits.Merge(r.Clock(), digest)
}

// snapshot hands the configuration to another daemon.
func (r *Router) snapshot(context.Context) (uint64, []byte, error) {
	parts, err := r.follower.Snapshot()
	if err != nil || len(parts) == 0 {
		return 0, nil, err
	}
	data, err := resolver.Encode(parts)
	return parts[0].At, data, err
}

// peerSnapshots asks other daemons for their configuration.
func (r *Router) peerSnapshots(ctx context.Context) [][]resolver.Part {
	var snapshots [][]resolver.Part
	for _, address := range r.peerAddresses() {
		answer, err := r.gossiper.FetchSnapshot(ctx, address)
		if err != nil || len(answer.Data) == 0 {
			continue // the follower asks again with backoff
		}
		var parts []resolver.Part
		if err := decoder.StrictJSON(answer.Data, &parts); err != nil {
			reporter.EventExchangeFailed.Log(ctx, r.Logger, slog.String("from", address), slog.Any("error", err))
			continue
		}
		snapshots = append(snapshots, parts)
	}
	return snapshots
}

func (r *Router) peerAddresses() []string {
	var addresses []string
	add := func(address netip.AddrPort) {
		if address != r.Settings.Peers && len(addresses) < maxAsked {
			addresses = append(addresses, address.String())
		}
	}
	for _, member := range r.gossiper.Members() {
		if !member.Down {
			add(member.Peer)
		}
	}
	for _, vm := range r.lister.Last().VMs {
		if vm.Role == cowslipproxy.VMEntry {
			add(vm.Address)
		}
	}
	for _, seed := range r.Settings.Seeds {
		add(seed)
	}
	return addresses
}
