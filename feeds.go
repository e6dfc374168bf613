package cowslipproxy

import (
	"context"
	"time"
)

// Feed is a set of keyed records that the platform keeps.
type Feed[T any] interface {
	// Read returns what changed from a position on and waits up to the given
	// time for the first change. From position 0 it returns all records.
	Read(ctx context.Context, from uint64, wait time.Duration) (Changes[T], error)
}

// Changes is what Feed.Read returns.
type Changes[T any] struct {
	Whole bool // the records are the whole set: one that is missing is gone
	Items []Record[T]
	Next  uint64 // position to read from next
}

// Record is the newest value of a key.
type Record[T any] struct {
	Key   string
	Value T
	Gone  bool  // the key was dropped
	Err   error // the value can't be used
}
