package relay

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// snapshot returns the encoded configuration for a daemon that runs an earlier build.
func (d *Daemon) snapshot(context.Context) (uint64, []byte, error) {
	m := d.matcher.Load()
	if m == nil {
		return 0, nil, nil
	}
	data, err := json.Marshal(m.RelayConfiguration)
	return m.RelayConfiguration.Version, data, errors.WithStack(err)
}

// configurationVersion returns the version of the active configuration, or 0
// without one.
func (d *Daemon) configurationVersion() uint64 {
	if m := d.matcher.Load(); m != nil {
		return m.RelayConfiguration.Version
	}
	return 0
}
