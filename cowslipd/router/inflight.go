package router

import "sync"

// inFlightSet holds the names for which a call is in flight.
type inFlightSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// tryBegin marks a call for name as in flight. It returns false if one already is.
func (s *inFlightSet) tryBegin(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return false
	}
	if s.names == nil {
		s.names = map[string]bool{}
	}
	s.names[name] = true
	return true
}

func (s *inFlightSet) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
