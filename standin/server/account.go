package server

import "sync"

// Effect is one fee that was posted or one confirmation that was sent.
type Effect struct {
	Path    string `json:"path"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// Account lists the effects in the order in which they happened. Several servers
// of one service may share one.
type Account struct {
	mu      sync.Mutex
	effects []Effect
	answers map[string]answer
}

type answer struct {
	status int
	body   string
}

// Effects returns a copy of the list.
func (a *Account) Effects() []Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Effect(nil), a.effects...)
}

// apply records an effect. With honour, a key that was seen before has no second
// effect and gets the first answer.
func (a *Account) apply(effect Effect, honour bool, result answer) answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if honour && effect.Key != "" {
		if old, ok := a.answers[effect.Key]; ok {
			return old
		}
		if a.answers == nil {
			a.answers = map[string]answer{}
		}
		a.answers[effect.Key] = result
	}
	a.effects = append(a.effects, effect)
	return result
}
