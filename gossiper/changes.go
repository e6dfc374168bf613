package gossiper

import (
	"context"
	"log/slog"
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// basis names what the state of a member rests on, for the log.
type basis string

const (
	basisWatch    basis = "watch"    // this daemon's own observation
	basisReports  basis = "reports"  // reports of other daemons that the member is down
	basisEnded    basis = "ended"    // reports that have ended with the daemons that published them
	basisRefuted  basis = "refuted"  // the member refuted all such reports
	basisNoReport basis = "noreport" // there is neither an observation nor a report
)

// logStateChanges logs each member that is taken as down or as up again since the last
// call, with the reports that this rests on.
func (g *Gossiper) logStateChanges(ctx context.Context) {
	states := map[cowslipproxy.Owner]bool{}
	for _, member := range g.members() {
		states[member.Owner] = member.Down
		if before := g.loggedStates[member.Owner]; before == member.Down {
			continue
		}
		basis, reporters := g.stateBasis(member.Owner)
		reporter.EventPeerStateChanged.Log(ctx, g.Logger, slog.String("peer", member.Key()), slog.Bool("down", member.Down),
			slog.String("basis", string(basis)), slog.Any("reporters", reporters))
	}
	g.loggedStates = states
}

// stateBasis returns what the state of a member rests on, and the daemons that report it
// as down.
func (g *Gossiper) stateBasis(owner cowslipproxy.Owner) (basis, []string) {
	var reporters []string
	refuted := false
	for _, report := range g.store.Items(KindDown) {
		switch {
		case report.Key != owner.Key():
		case g.isRefuted(report):
			refuted = true
		default:
			reporters = append(reporters, report.Owner.Key())
		}
	}
	slices.Sort(reporters)
	_, watched := g.detector.IsDown(owner)
	switch {
	case watched:
		return basisWatch, reporters
	case len(reporters) > 0:
		return basisReports, reporters
	case g.detector.IsReported(owner.Key()):
		return basisEnded, nil
	case refuted:
		return basisRefuted, nil
	}
	return basisNoReport, nil
}
