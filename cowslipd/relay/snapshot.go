package relay

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// encodedConfiguration is an encoded configuration that is sent to other daemons.
type encodedConfiguration struct {
	version uint64
	data    []byte
}

// snapshot returns the encoded configuration for another daemon. It is encoded
// once per version, because all daemons of a data centre fetch it at the same
// time.
func (d *Daemon) snapshot(context.Context) (uint64, []byte, error) {
	m := d.matcher.Load()
	if m == nil {
		return 0, nil, nil
	}
	d.encodedMu.Lock()
	defer d.encodedMu.Unlock()
	if d.encodedConfiguration.version == m.RelayConfiguration.Version {
		return d.encodedConfiguration.version, d.encodedConfiguration.data, nil
	}
	var data []byte
	var err error
	if data, err = json.Marshal(m.RelayConfiguration); err != nil {
		return 0, nil, errors.WithStack(err)
	}
	d.encodedConfiguration = encodedConfiguration{m.RelayConfiguration.Version, data}
	return m.RelayConfiguration.Version, data, nil
}

// configurationVersion returns the version of the active configuration, or 0
// without one.
func (d *Daemon) configurationVersion() uint64 {
	if m := d.matcher.Load(); m != nil {
		return m.RelayConfiguration.Version
	}
	return 0
}
