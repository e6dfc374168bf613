package server

import "sync"

// Effect is one posted fee or one sent confirmation.
type Effect struct {
	Path    string `json:"path"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// EffectLog records effects in the order in which they happened. The servers of one
// service may share one log.
type EffectLog struct {
	mu        sync.Mutex
	effects   []Effect
	responses map[string]response // by idempotency key
}

type response struct {
	status int
	body   string
}

// Effects returns a copy of the recorded effects.
func (l *EffectLog) Effects() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Effect(nil), l.effects...)
}

// apply records an effect and returns the response to it. If honourKeys is set, a
// repeated idempotency key has no second effect and gets the first response again.
func (l *EffectLog) apply(effect Effect, honourKeys bool, result response) response {
	l.mu.Lock()
	defer l.mu.Unlock()
	if honourKeys && effect.Key != "" {
		if earlier, ok := l.responses[effect.Key]; ok {
			return earlier
		}
		if l.responses == nil {
			l.responses = map[string]response{}
		}
		l.responses[effect.Key] = result
	}
	l.effects = append(l.effects, effect)
	return result
}
