package reporter

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is the maximum number of log lines that wait to be written: a few
	// seconds' worth at a daemon's highest load.
	queuedLines = 2048
	// writePeriod is the time between two writes, which limits the system calls.
	writePeriod = 20 * time.Millisecond
)

// Writer is an asynchronous writer of log lines that never blocks its callers. Lines
// that arrive while the queue is full are dropped and counted. Out is set before Run.
type Writer struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
}

func (w *Writer) setup() { w.once.Do(func() { w.lines = make(chan []byte, queuedLines) }) }

// Write implements io.Writer. Each call must pass one complete line.
func (w *Writer) Write(line []byte) (int, error) {
	w.setup()
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes the lines until the context ends, and then those left in the queue.
func (w *Writer) Run(ctx context.Context) {
	w.setup()
	for {
		select {
		case <-ctx.Done():
			w.flush(nil)
			return
		case line := <-w.lines:
			w.flush(line)
		}
		select {
		case <-ctx.Done():
		case <-time.After(writePeriod):
		}
	}
}

// flush writes the batch and all queued lines in a single call. It appends an event with
// the number of lines dropped since the previous call.
func (w *Writer) flush(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = append(batch, droppedLine(dropped)...)
	}
	if len(batch) > 0 {
		_, _ = w.Out.Write(batch) // there is nowhere else to report an error
	}
}

// droppedLine returns the log line of the event that reports dropped lines.
func droppedLine(count int64) []byte {
	var line bytes.Buffer
	EventLinesDropped.Log(context.Background(), slog.New(slog.NewJSONHandler(&line, nil)), slog.Int64("lines", count))
	return line.Bytes()
}
