package cowslipproxy

import (
	"fmt"

	"github.com/pkg/errors"
)

// LayerRange is a range of a model's layers, from First up to but not including End.
type LayerRange struct {
	First int `json:"first"`
	End   int `json:"end"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int { return r.End - r.First }

// String implements fmt.Stringer.
func (r LayerRange) String() string { return fmt.Sprintf("[%d,%d)", r.First, r.End) }

// Check returns an error if a bound is negative or the range is empty.
func (r LayerRange) Check() error {
	if r.First < 0 || r.End <= r.First {
		return errors.Errorf("range: %v is not a range with 0 <= first < end", r)
	}
	return nil
}

// CheckTiling returns an error unless the ranges cover the layers [0,layers) in order,
// with no gap and no overlap.
func CheckTiling(ranges []LayerRange, layers int) error {
	next := 0
	for i, r := range ranges {
		if err := r.Check(); err != nil {
			return errors.Wrapf(err, "stage %d", i)
		}
		if r.First != next {
			return errors.Errorf("stage %d: first layer %d is not %d", i, r.First, next)
		}
		next = r.End
	}
	if next != layers {
		return errors.Errorf("chain ends at layer %d of %d", next, layers)
	}
	return nil
}
