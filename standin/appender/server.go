// Package appender is a stand-in for the platform's append-only log service. It
// keeps its streams in memory and injects faults on request.
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
	maxRecordBytes = 1 << 20
	maxBatchBytes  = 1 << 20 // record bytes in one read response
)

// ErrDown is returned for all reads and appends while Settings.Down is set.
var ErrDown = errors.New("log is down")

// ErrResponseLost is returned for an append that succeeded but whose response is lost.
var ErrResponseLost = errors.New("response to the append lost")

// Settings holds the settings of the stand-in: injected faults and retention.
type Settings struct {
	Down           bool                  `json:"down"`                             // reject all reads and appends
	Delay          cowslipproxy.Duration `json:"delay" validate:"gte=0"`           // delay of each read and append
	Lose           int                   `json:"lose" validate:"gte=0"`            // number of subsequent appends whose responses are lost
	LoseEvery      int                   `json:"lose_each" validate:"gte=0"`       // lose the response of every nth append; 0 disables it
	RetentionCount int                   `json:"retention_count" validate:"gte=0"` // maximum records per stream; 0 means no limit
	RetentionAge   cowslipproxy.Duration `json:"retention_age" validate:"gte=0"`   // maximum age of a record; 0 means no limit
}

// logStream is the retained part of a stream.
type logStream struct {
	firstOffset uint64
	entries     []cowslipproxy.Entry
}

func (s *logStream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.entries)) }

func (s *logStream) dropOldest(count int) {
	s.entries = append([]cowslipproxy.Entry(nil), s.entries[count:]...)
	s.firstOffset += uint64(count)
}

// Server is an in-memory log. The zero value is an empty log without faults. It
// implements cowslipproxy.Log and http.Handler.
type Server struct {
	mu          sync.Mutex
	settings    Settings
	streams     map[string]*logStream
	appendCount int
	changed     chan struct{} // closed on each append and change of the settings
}

var _ cowslipproxy.Log = (*Server)(nil)

// Settings returns the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// SetSettings replaces the settings.
func (s *Server) SetSettings(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	s.notifyReaders()
}

// Truncate deletes the records of a stream before an offset.
func (s *Server) Truncate(name string, firstOffset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.logStream(name)
	if firstOffset = min(firstOffset, stream.nextOffset()); firstOffset > stream.firstOffset {
		stream.dropOldest(int(firstOffset - stream.firstOffset))
	}
}

// Append implements cowslipproxy.Log.
func (s *Server) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > maxRecordBytes {
		return 0, errors.Errorf("record of %d bytes exceeds the limit of %d", len(data), maxRecordBytes)
	}
	if err := s.delay(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Down {
		return 0, ErrDown
	}
	stream := s.logStream(name)
	offset := stream.nextOffset()
	stream.entries = append(stream.entries, cowslipproxy.Entry{Offset: offset, Time: time.Now(), Data: append([]byte(nil), data...)})
	s.applyRetention(stream)
	s.appendCount++
	s.notifyReaders()
	if s.settings.Lose > 0 {
		s.settings.Lose--
		return 0, ErrResponseLost
	}
	if s.settings.LoseEvery > 0 && s.appendCount%s.settings.LoseEvery == 0 {
		return 0, ErrResponseLost
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

// read returns the retained records from an offset on, and a channel that is closed
// on the next change.
func (s *Server) read(name string, from uint64) (cowslipproxy.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Down {
		return cowslipproxy.Batch{}, nil, ErrDown
	}
	stream := s.logStream(name)
	s.applyRetention(stream)
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	batch := cowslipproxy.Batch{First: stream.firstOffset, Next: stream.nextOffset(), Entries: []cowslipproxy.Entry{}}
	size := 0
	for offset := max(from, stream.firstOffset); offset < stream.nextOffset(); offset++ {
		entry := stream.entries[offset-stream.firstOffset]
		if size += len(entry.Data); size > maxBatchBytes && len(batch.Entries) > 0 {
			batch.Next = offset
			break
		}
		batch.Entries = append(batch.Entries, entry)
	}
	return batch, s.changed, nil
}

func (s *Server) logStream(name string) *logStream {
	if s.streams == nil {
		s.streams = map[string]*logStream{}
	}
	stream, ok := s.streams[name]
	if !ok {
		stream = &logStream{}
		s.streams[name] = stream
	}
	return stream
}

// applyRetention deletes the records that exceed the retention settings. The caller
// must hold the mutex.
func (s *Server) applyRetention(stream *logStream) {
	expired := 0
	if s.settings.RetentionCount > 0 {
		expired = max(0, len(stream.entries)-s.settings.RetentionCount)
	}
	if s.settings.RetentionAge > 0 {
		cutoff := time.Now().Add(-time.Duration(s.settings.RetentionAge))
		for expired < len(stream.entries) && stream.entries[expired].Time.Before(cutoff) {
			expired++
		}
	}
	if expired > 0 {
		stream.dropOldest(expired)
	}
}

// notifyReaders wakes the reads that wait for a change. The caller must hold the mutex.
func (s *Server) notifyReaders() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// delay waits for the configured delay.
func (s *Server) delay(ctx context.Context) error {
	delay := time.Duration(s.Settings().Delay)
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
