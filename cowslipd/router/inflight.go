package router

import "sync"

// inFlightSet holds the names for which a call is in flight.
type inFlightSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// tryBegin marks a call for name as in flight. It returns false if one already is.
func (b *inFlightSet) tryBegin(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.names[name] {
		return false
	}
	if b.names == nil {
		b.names = map[string]bool{}
	}
	b.names[name] = true
	return true
}

func (b *inFlightSet) end(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.names, name)
}
