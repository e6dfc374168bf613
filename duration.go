package cowslipproxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded as text, such as "1m30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Seconds may be in scientific
// notation, such as "1e-05s". A time that a time.Duration can't hold becomes the longest
// one.
func (d *Duration) UnmarshalText(text []byte) error {
	if parsed, err := time.ParseDuration(string(text)); err == nil {
		*d = Duration(parsed)
		return nil
	}
	number, hasUnit := strings.CutSuffix(string(text), "s")
	seconds, err := strconv.ParseFloat(number, 64)
	if err != nil || !hasUnit || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
		return errors.Errorf("%q is not a duration such as 250ms or 1m30s", text)
	}
	*d = Duration(math.MaxInt64)
	if limit := time.Duration(math.MaxInt64).Seconds(); math.Abs(seconds) < limit {
		*d = Duration(seconds * float64(time.Second))
	} else if seconds < 0 {
		*d = Duration(math.MinInt64)
	}
	return nil
}
