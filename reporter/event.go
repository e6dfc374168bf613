// Package reporter defines the numbered log events and the metrics.
package reporter

import (
	"context"
	"log/slog"
	"sort"
)

// Event is a numbered log event. The meaning of a number never changes.
type Event struct {
	Number  int
	Level   slog.Level
	Text    string
	Meaning string // what an operator should know or do
}

// Log logs the event with further attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	if !logger.Enabled(ctx, e.Level) {
		return
	}
	logger.LogAttrs(ctx, e.Level, e.Text, append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)...)
}

var catalogue []Event

func newEvent(number int, level slog.Level, text, meaning string) Event {
	event := Event{Number: number, Level: level, Text: text, Meaning: meaning}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns all events, ordered by number.
func Catalogue() []Event {
	events := append([]Event(nil), catalogue...)
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}
