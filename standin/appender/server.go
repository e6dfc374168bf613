// Package appender is a stand-in for the platform's append-only log service. It
// keeps its streams in memory and fails on demand.
package appender

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Limits of the stand-in.
const (
	maxRecord = 1 << 20
	maxBatch  = 1 << 20 // bytes of records in one answer
)

// ErrDown is returned during an outage.
var ErrDown = errors.New("log is down")

// ErrLost is returned for an append that took effect although its answer is lost.
var ErrLost = errors.New("answer lost")

// Faults are the settings of the stand-in, faults and retention.
type Faults struct {
	Down     bool                  `json:"down"`                             // refuse everything
	Delay    cowslipproxy.Duration `json:"delay" validate:"gte=0"`           // before each answer
	Lose     int                   `json:"lose" validate:"gte=0"`            // lose the answers of the next appends
	LoseEach int                   `json:"lose_each" validate:"gte=0"`       // lose the answer of each nth append; 0: none
	Count    int                   `json:"retention_count" validate:"gte=0"` // records per stream; 0: no limit
	Age      cowslipproxy.Duration `json:"retention_age" validate:"gte=0"`   // of records; 0: no limit
}

type stream struct {
	first   uint64
	entries []cowslipproxy.Entry
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.entries)) }

func (s *stream) drop(count int) {
	s.entries = append([]cowslipproxy.Entry(nil), s.entries[count:]...)
	s.first += uint64(count)
}

// Server is an in-memory log. Its zero value is empty and up. It implements
// cowslipproxy.Log and http.Handler.
type Server struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends int
	changed chan struct{} // closed at each append or change of the faults
}

var _ cowslipproxy.Log = (*Server)(nil)

// Faults returns the settings.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the settings.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notify()
}

// Truncate drops the records of a stream before an offset.
func (s *Server) Truncate(name string, first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.stream(name)
	if first = min(first, found.next()); first > found.first {
		found.drop(int(first - found.first))
	}
}

// Append implements cowslipproxy.Log.
func (s *Server) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > maxRecord {
		return 0, errors.Errorf("found a record of %d bytes, accepted is at most %d", len(data), maxRecord)
	}
	if err := s.delay(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, ErrDown
	}
	found := s.stream(name)
	offset := found.next()
	found.entries = append(found.entries, cowslipproxy.Entry{Offset: offset, Time: time.Now(), Data: append([]byte(nil), data...)})
	s.retain(found)
	s.appends++
	s.notify()
	if s.faults.Lose > 0 {
		s.faults.Lose--
		return 0, ErrLost
	}
	if s.faults.LoseEach > 0 && s.appends%s.faults.LoseEach == 0 {
		return 0, ErrLost
	}
	return offset, nil
}

// Read implements cowslipproxy.Log.
func (s *Server) Read(ctx context.Context, name string, from uint64, wait time.Duration) (cowslipproxy.Batch, error) {
	if err := s.delay(ctx); err != nil {
		return cowslipproxy.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		batch, changed, err := s.read(name, from)
		if err != nil || len(batch.Entries) > 0 || expired {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return cowslipproxy.Batch{}, errors.WithStack(ctx.Err())
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func (s *Server) read(name string, from uint64) (cowslipproxy.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return cowslipproxy.Batch{}, nil, ErrDown
	}
	found := s.stream(name)
	s.retain(found)
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	batch := cowslipproxy.Batch{First: found.first, Next: found.next(), Entries: []cowslipproxy.Entry{}}
	size := 0
	for offset := max(from, found.first); offset < found.next(); offset++ {
		entry := found.entries[offset-found.first]
		if size += len(entry.Data); size > maxBatch && len(batch.Entries) > 0 {
			batch.Next = offset
			break
		}
		batch.Entries = append(batch.Entries, entry)
	}
	return batch, s.changed, nil
}

func (s *Server) stream(name string) *stream {
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	found, ok := s.streams[name]
	if !ok {
		found = &stream{}
		s.streams[name] = found
	}
	return found
}

func (s *Server) retain(found *stream) {
	expired := 0
	if s.faults.Count > 0 {
		expired = max(0, len(found.entries)-s.faults.Count)
	}
	if s.faults.Age > 0 {
		oldest := time.Now().Add(-time.Duration(s.faults.Age))
		for expired < len(found.entries) && found.entries[expired].Time.Before(oldest) {
			expired++
		}
	}
	if expired > 0 {
		found.drop(expired)
	}
}

func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Server) delay(ctx context.Context) error {
	delay := time.Duration(s.Faults().Delay)
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-timer.C:
		return nil
	}
}
