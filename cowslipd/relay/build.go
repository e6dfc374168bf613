package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/allocator"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/holder"
	"github.com/cowslipproxy/cowslipproxy/leaser"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/relayer"
)

// build creates the components of the daemon. The owner name gets a random suffix
// at each start, because incarnations derive from the wall clock, which may be
// set back.
func (d *Daemon) build() {
	start := d.Clock()
	name := d.Settings.Name + "." + strconv.FormatUint(rand.Uint64()>>32, 36)
	d.owner = cowslipproxy.Owner{Name: name[max(0, len(name)-maxNameLength):], Incarnation: uint64(start.UnixNano())}
	d.limits.build(d)
	d.speeds.build(d)
	d.pools = pools{centre: d.Settings.Centre, settings: d.Settings}
	d.upstreams.Take, d.upstreams.Set = d.takeUpstreams, d.setUpstreams
	d.gossiper = &gossiper.Gossiper{
		Self:     d.owner,
		Hello:    cowslipproxy.Hello{Caller: d.Settings.Callers, Peer: d.Settings.Peers, Centre: d.Settings.Centre, LinkMbps: d.Settings.LinkMbps, Starting: true},
		Snapshot: d.snapshot,
		Document: d.document,
		OnGrant:  d.limits.handleGrant,
		OnTrial:  d.handleTrial,
		OnShare:  d.handleShare,
		OnChange: d.handleItem,
		Logger:   d.Logger,
	}
	d.sharing.started = start
	d.sharing.readsAtStart = !d.Settings.First || len(d.Settings.Seeds) == 0 || slices.Contains(d.Settings.Seeds, d.Settings.Peers)
	d.sharing.heldListVersion, d.sharing.inFlight = map[string]uint64{}, map[string]bool{}
	d.lease = &holder.Holder{
		Log: d.Platform.Log, Stream: leaser.Stream, Skip: func() bool { return !d.sharing.isReader() },
		Leaser: &leaser.Leaser{Name: "placement", Self: d.owner.Key(), TTL: leaseDuration},
		Clock:  d.Clock, Logger: d.Logger,
	}
	d.quarantine.build(d.owner)
	d.rejecting, d.reject = context.WithCancel(context.Background())
	d.ending, d.endRequests = context.WithCancel(context.Background())
	d.server = &relayer.Server{
		Matcher:    func() *matcher.Matcher { return d.matcher.Load() },
		Upstreams:  &d.pools,
		Dialect:    d.Platform.Dialect,
		Engines:    d.Platform.Engines,
		Transport:  Transport(false),
		Memory:     &allocator.Allocator{Limit: d.Settings.MemoryBytes() * messagePercent / 100},
		Quarantine: d.quarantine.Quarantiner,
		AskTrial:   d.askTrial,
		Limits:     &d.limits,
		Speeds:     &d.speeds,
		Stopping:   d.stopping.Load,
		Rejecting:  d.rejecting,
		Ending:     d.ending,
		Clock:      d.Clock,
		Logger:     d.Logger,
		Metrics:    d.Metrics,
	}
	d.buildClients()
}

// messagePercent is the memory for bodies of requests and replies, in percent of the
// memory setting. Garbage of the same size may exist beside it.
const messagePercent = 15

// maxNameLength bounds the name of an entry daemon, in bytes.
const maxNameLength = 64
