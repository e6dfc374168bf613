// Package sharer decides which daemons read the platform's store for the others
// of their data centre, and joins what daemons know of the engines' loads. It
// starts no goroutine and reads no clock.
package sharer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// Period is the time between two shares.
	Period = 700 * time.Millisecond
	// AskAge is the age of the list from which on a daemon asks another one.
	AskAge = 800 * time.Millisecond
	// Patience is how long a daemon goes without a share before it reads the
	// store itself. Together with the reader's own period it stays within the
	// 2 s in which a leaving upstream must be known.
	Patience = 1100 * time.Millisecond
	// MaxAge is the age of a reader's last read from which on its share doesn't count.
	MaxAge = 1500 * time.Millisecond
	// loadAge is how long a daemon's word on loads counts.
	loadAge = 2500 * time.Millisecond
)

// Share is what a reader tells other daemons.
type Share struct {
	From      string                  `json:"from"`
	Age       time.Duration           `json:"age"`    // of the last successful read of the list
	Table     uint64                  `json:"table"`  // version of the configuration in force
	Listed    uint64                  `json:"listed"` // version of the list at the sender
	Whole     bool                    `json:"whole,omitempty"`
	Instances []cowslipproxy.Instance `json:"instances,omitempty"` // the whole list, when the receiver lacks it
	Loads     map[string]float64      `json:"loads,omitempty"`     // of others than the receiver, by engine
	Ask       bool                    `json:"ask,omitempty"`       // the sender can't read the store and wants the list
}

// Check reports the first field that is out of range.
func (s Share) Check() error {
	if s.From == "" || s.Age < 0 {
		return errors.Errorf("found sender %q and age %v, accepted are a name and times from 0", s.From, s.Age)
	}
	for _, instance := range s.Instances {
		if err := instance.Check(); err != nil {
			return errors.Wrapf(err, "instance %s", instance.ID)
		}
	}
	return nil
}

// Answer is the receiver's answer to a share.
type Answer struct {
	Reader    string                  `json:"reader"` // whose list it holds
	Listed    uint64                  `json:"listed"`
	Table     uint64                  `json:"table"`
	Age       time.Duration           `json:"age"`                 // of its list
	Loads     map[string]float64      `json:"loads,omitempty"`     // of its own requests, by engine
	Instances []cowslipproxy.Instance `json:"instances,omitempty"` // when it was asked
}

// Check reports the first field that is out of range.
func (a Answer) Check() error {
	return Share{From: "answer", Age: a.Age, Instances: a.Instances}.Check()
}

// Reader returns the daemon that reads the store for a data centre: the live
// one with the lowest hash.
func Reader(members []cowslipproxy.Member, centre string) (cowslipproxy.Member, bool) {
	var best cowslipproxy.Member
	var least uint64
	found := false
	for _, member := range members {
		if member.Centre != centre || member.Down || member.Stopping || member.Starting {
			continue
		}
		if hash := xxhash.Sum64String("reader" + member.Name); !found || hash < least {
			best, least, found = member, hash, true
		}
	}
	return best, found
}

// Readers returns the readers of all data centres.
func Readers(members []cowslipproxy.Member) (readers []cowslipproxy.Member) {
	centres := map[string]bool{}
	for _, member := range members {
		if centres[member.Centre] {
			continue
		}
		centres[member.Centre] = true
		if reader, ok := Reader(members, member.Centre); ok {
			readers = append(readers, reader)
		}
	}
	return readers
}

// Loads joins the loads that daemons tell. It is safe for concurrent use.
type Loads struct {
	mu    sync.Mutex
	known map[string]told
}

type told struct {
	at    time.Time
	loads map[string]float64
}

// Put takes in what a daemon tells: of its own requests, or, for the reader of
// another data centre, of all requests there.
func (l *Loads) Put(now time.Time, from string, loads map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]told{}
	}
	l.known[from] = told{now, loads}
}

// Sum returns the loads by engine without those that the named daemons told.
func (l *Loads) Sum(now time.Time, without ...string) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := map[string]float64{}
	for from, told := range l.known {
		if now.Sub(told.at) > loadAge {
			delete(l.known, from)
			continue
		}
		if slices.Contains(without, from) {
			continue
		}
		for engine, load := range told.loads {
			sum[engine] += load
		}
	}
	return sum
}
