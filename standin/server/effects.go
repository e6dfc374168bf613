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
	responses map[string]response
}

type response struct {
	status int
	body   string
}

// Effects returns a copy of the recorded effects.
func (a *EffectLog) Effects() []Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Effect(nil), a.effects...)
}

// apply records an effect and returns the response to it. If honourKeys is set, a
// repeated idempotency key has no second effect and gets the first response again.
func (a *EffectLog) apply(effect Effect, honourKeys bool, result response) response {
	a.mu.Lock()
	defer a.mu.Unlock()
	if honourKeys && effect.Key != "" {
		if earlier, ok := a.responses[effect.Key]; ok {
			return earlier
		}
		if a.responses == nil {
			a.responses = map[string]response{}
		}
		a.responses[effect.Key] = result
	}
	a.effects = append(a.effects, effect)
	return result
}
