package relay

import (
	"context"
	"log/slog"

	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// handleItem handles a gossip item from another daemon.
func (d *Daemon) handleItem(item gossiper.Item) {
	if item.Withdrawn {
		return
	}
	var err error
	switch item.Kind {
	case gossiper.KindPoison:
		var group quarantiner.Group
		if err = decoder.CBOR(item.Data, &group); err == nil {
			d.quarantine.Merge(d.Clock(), group.Records())
		}
	case gossiper.KindLimit:
		var limit limiter.Limit
		if err = decoder.CBOR(item.Data, &limit); err == nil {
			d.limits.Merge(d.Clock(), limit)
		}
	}
	if err != nil {
		reporter.EventItemInvalid.Log(context.Background(), d.Logger, slog.String("from", item.Owner.Name), slog.Any("error", err))
	}
}
