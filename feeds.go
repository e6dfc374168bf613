package cowslipproxy

import (
	"context"
	"time"
)

// Feed is a set of keyed records in the platform's store.
type Feed[T any] interface {
	// Read returns the changes from a position on. It waits up to the given time
	// for the first change. From position 0 it returns all records.
	//
	// Positions only grow: the first one after the store was restored from an older copy
	// follows all positions from before, although the store gives out its offsets again.
	Read(ctx context.Context, from uint64, wait time.Duration) (Changes[T], error)
}

// Table is a set of keyed records in the platform's store that daemons write.
type Table interface {
	// Put writes the record of a key. An empty value deletes it. After an error, it may have
	// been written.
	Put(ctx context.Context, key string, value []byte) error
	// All returns the records of all keys.
	All(ctx context.Context) (map[string][]byte, error)
}

// Changes is the result of Feed.Read.
type Changes[T any] struct {
	Complete bool // the items are the complete set; a key that is missing was deleted
	Restored bool // the store was restored from an older copy since the position that was read from
	Items    []Record[T]
	Next     uint64 // position to read from next
}

// Record is the latest value of a key.
type Record[T any] struct {
	Key     string
	Value   T
	Deleted bool  // the key was deleted
	Err     error // why the value is invalid; nil if it is valid
}
