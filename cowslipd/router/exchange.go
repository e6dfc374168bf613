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
	exchangeInterval = time.Second
	maxSnapshotPeers = 4 // daemons asked for a snapshot in one attempt
)

// exchange periodically updates the members, publishes this daemon's demand to the
// other daemons, and expires idempotency keys.
func (r *Router) exchange(ctx context.Context) error {
	if len(r.Settings.Seeds) > 0 {
		r.gossiper.SetListed(seedVMs(r.Settings.Seeds)) // until the VM list has been read
	}
	r.updateMembers(r.Clock())
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.membersChanged:
			r.updateMembers(r.Clock())
			continue
		case <-ticker.C:
		}
		now := r.Clock()
		r.updateMembers(now)
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

// updateMembers passes the live daemons to the limits, the quarantine and the pool,
// and removes daemons that are down and no longer in the VM list.
func (r *Router) updateMembers(now time.Time) {
	listed := map[string]bool{}
	for _, vm := range r.lister.Last().VMs {
		listed[vm.Name] = true
	}
	var liveKeys, liveNames []string
	for _, member := range r.gossiper.Members() {
		if !member.Down {
			liveKeys = append(liveKeys, member.Key())
			liveNames = append(liveNames, member.Name)
			continue
		}
		if !listed[member.Name] && r.lister.IsFresh(now) {
			r.gossiper.Forget(member.Owner)
		}
	}
	r.limits.SetDaemons(now, liveKeys)
	r.quarantiner.SetPeers(liveKeys)
	r.pool.SetDaemons(liveNames)
}

// publishDemand publishes one item per changed customer, so that a daemon that missed
// versions still receives the newest one for each customer.
func (r *Router) publishDemand(ctx context.Context, now time.Time) {
	digest := r.limits.Digest(now)
	for _, demand := range digest.Demands {
		single := limiter.Digest{Source: digest.Source, Seq: digest.Seq, Demands: []limiter.Demand{demand}}
		data, err := gossiper.Encode(single)
		if err == nil {
			err = r.gossiper.PublishDemand(demand.Customer, gossiper.ReachAll, data)
		}
		if err != nil {
			reporter.EventExchangeFailed.Log(ctx, r.Logger, slog.Any("error", err))
		}
	}
}

// handleItem handles a gossip item from another daemon.
func (r *Router) handleItem(item gossiper.Item) {
	if item.Kind == gossiper.KindHello || item.Kind == gossiper.KindDown {
		select {
		case r.membersChanged <- struct{}{}:
		default: // an update of the members is already pending
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

// encodeSnapshot returns an encoded snapshot of the configuration for another daemon,
// and its log offset. It returns no data if there is no configuration yet.
func (r *Router) encodeSnapshot(context.Context) (uint64, []byte, error) {
	parts, err := r.follower.Snapshot()
	if err != nil || len(parts) == 0 {
		return 0, nil, err
	}
	data, err := resolver.Encode(parts)
	return parts[0].At, data, err
}

// fetchPeerSnapshots fetches the configuration snapshots of other daemons.
func (r *Router) fetchPeerSnapshots(ctx context.Context) [][]resolver.Part {
	var snapshots [][]resolver.Part
	for _, address := range r.peerAddresses() {
		snapshot, err := r.gossiper.FetchSnapshot(ctx, address)
		if err != nil || len(snapshot.Data) == 0 {
			continue // the follower retries with backoff
		}
		var parts []resolver.Part
		if err := decoder.StrictJSON(snapshot.Data, &parts); err != nil {
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
		if address != r.Settings.Peers && len(addresses) < maxSnapshotPeers {
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
