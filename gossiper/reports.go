package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// reportRetention is how long a report about a daemon that this one has forgotten is kept. Other
// daemons forget it at about the same time, and pass on its items until then.
const reportRetention = time.Hour

// recordReports applies reports and refutations that other daemons published. The end of a
// report is no sign of life of the daemon that it is about: reports end with the processes
// that published them.
func (g *Gossiper) recordReports(fresh []Item, now time.Time) {
	for _, item := range fresh {
		switch {
		case item.Withdrawn:
		case item.Kind == KindDown && !g.isRefuted(item):
			g.detector.RecordReport(item.Key, now)
		case item.Kind == KindAlive && !g.isReportHeld(item.Owner.Key()):
			g.detector.ClearReport(item.Owner.Key())
		}
	}
}

// isReportHeld reports whether the store has a report about a daemon, given by its key, that
// the daemon has not refuted.
func (g *Gossiper) isReportHeld(key string) bool {
	return slices.ContainsFunc(g.store.Items(KindDown), func(report Item) bool { return report.Key == key && !g.isRefuted(report) })
}

// isRefuted reports whether the daemon that a report is about has refuted it. A daemon that
// lost only its link to the reporting daemon therefore stays in use.
func (g *Gossiper) isRefuted(report Item) bool {
	name, _ := splitKey(report.Key)
	refutation, ok := g.store.Get(cowslipproxy.Owner{Name: name, Incarnation: g.store.LatestIncarnation(name)}, ReachAll, KindAlive, report.Owner.Key())
	if !ok {
		return false
	}
	var version uint64
	if err := decoder.CBOR(refutation.Data, &version); err != nil {
		return false
	}
	return version >= report.Version
}

// splitKey splits the key of an owner into name and incarnation.
func splitKey(key string) (name, incarnation string) {
	i := strings.LastIndexByte(key, '-')
	if i < 0 {
		return key, ""
	}
	return key[:i], key[i+1:]
}

// refute publishes a refutation of each report that this daemon is down, also of one that
// was withdrawn: others may have got it, and only a refutation ends its effect there.
func (g *Gossiper) refute(fresh []Item, now time.Time) {
	for _, report := range fresh {
		if report.Kind != KindDown || report.Key != g.Self.Key() {
			continue
		}
		refutation := Item{Kind: KindAlive, Key: report.Owner.Key(), Reach: ReachAll, Urgent: true}
		var err error
		if refutation.Data, err = Encode(report.Version); err != nil {
			continue // unreachable: encoding an integer doesn't fail
		}
		g.putLocal(refutation, now)
	}
}

// adoptReports publishes reports that others made about daemons that this one would watch if
// they were up, so that a report outlives its reporter. If all reporters of a daemon have
// ended, any daemon may do so, on average one in each round. Reports that may still be refuted
// are left alone: in an overload, which causes wrong reports, more of them would add to it.
func (g *Gossiper) adoptReports(live, unreachable []Contact, now time.Time) {
	for _, contact := range unreachable {
		if _, watched := g.detector.IsDown(contact.Owner); watched || !g.detector.IsReportLasting(contact.Owner.Key(), now) {
			continue
		}
		if g.isNeighbour(contact, live) || rand.IntN(len(live)+1) == 0 && !g.isReportHeld(contact.Owner.Key()) {
			g.detector.WatchReported(contact.Owner)
			g.reportDown(context.Background(), contact.Owner, now)
		}
	}
}

// isNeighbour reports whether this daemon would call another one in each round if it were up.
func (g *Gossiper) isNeighbour(contact Contact, live []Contact) bool {
	neighbours := Neighbours(g.selfContact(), append(slices.Clip(live), contact))
	return slices.ContainsFunc(neighbours, func(c Contact) bool { return c.Owner == contact.Owner })
}

// reportDown publishes a report that a daemon is down.
func (g *Gossiper) reportDown(ctx context.Context, failed cowslipproxy.Owner, now time.Time) {
	if failed.Incarnation < g.store.LatestIncarnation(failed.Name) {
		g.detector.Forget(failed)
		return
	}
	reporter.EventPeerDown.Log(ctx, g.Logger, slog.String("peer", failed.Name), slog.Bool("adopted", g.detector.IsReported(failed.Key())))
	g.putLocal(Item{Kind: KindDown, Key: failed.Key(), Reach: ReachAll, Urgent: true}, now)
}

// pruneReports withdraws reports about daemons that were forgotten long ago, and refutations
// of reports whose daemons are gone. current has the keys of the known daemons.
func (g *Gossiper) pruneReports(current map[string]bool, now time.Time) {
	g.detector.RetainReports(current)
	for _, item := range g.store.Items(KindDown) {
		if item.Owner == g.Self && !current[item.Key] && g.store.Age(item, now) > reportRetention {
			g.putLocal(Item{Kind: KindDown, Key: item.Key, Reach: ReachAll, Withdrawn: true}, now)
		}
	}
	for _, item := range g.store.Items(KindAlive) {
		if item.Owner == g.Self && !current[item.Key] {
			g.putLocal(Item{Kind: KindAlive, Key: item.Key, Reach: ReachAll, Withdrawn: true}, now)
		}
	}
}
