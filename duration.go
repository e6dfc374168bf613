package cowslipproxy

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded as text, such as "1m30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	var parsed time.Duration
	var err error
	if parsed, err = time.ParseDuration(string(text)); err != nil {
		return errors.Errorf("%q is not a duration such as 250ms or 1m30s", text)
	}
	*d = Duration(parsed)
	return nil
}
