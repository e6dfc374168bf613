package relay

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// encoded is a configuration as it is handed to other daemons.
type encoded struct {
	version uint64
	data    []byte
}

// snapshot hands the configuration to another daemon. It is encoded once, since
// all daemons of a data centre ask for it at the same time.
func (d *Daemon) snapshot(context.Context) (uint64, []byte, error) {
	m := d.matcher.Load()
	if m == nil {
		return 0, nil, nil
	}
	d.encoding.Lock()
	defer d.encoding.Unlock()
	if d.encoded.version == m.Table.Version {
		return d.encoded.version, d.encoded.data, nil
	}
	var data []byte
	var err error
	if data, err = json.Marshal(m.Table); err != nil {
		return 0, nil, errors.WithStack(err)
	}
	d.encoded = encoded{m.Table.Version, data}
	return m.Table.Version, data, nil
}

// version returns the version of the configuration in force.
func (d *Daemon) version() uint64 {
	if m := d.matcher.Load(); m != nil {
		return m.Table.Version
	}
	return 0
}
