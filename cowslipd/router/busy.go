package router

import "sync"

// busy knows for which names a call is under way.
type busy struct {
	mu    sync.Mutex
	names map[string]bool
}

// begin reports whether no call was under way.
func (b *busy) begin(name string) bool {
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

func (b *busy) end(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.names, name)
}
