package resolver

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// ErrDecrease marks a state that would take a version in force back.
var ErrDecrease = errors.New("version in force would decrease")

type item struct {
	Entry
	value   any // customer, model or service; nil when deleted
	refused []Refusal
}

// state is exactly what a snapshot carries.
type state struct {
	items map[string]*item
	ids   map[string]Verdict // ids that items remember
}

func newState() state {
	return state{items: map[string]*item{}, ids: map[string]Verdict{}}
}

// apply folds one change. The error tells why the change is invalid.
func (s *state) apply(change Change, invalid error) (Verdict, error) {
	if verdict, ok := s.ids[change.ID]; ok {
		return verdict, nil
	}
	var value any
	if invalid == nil {
		value, invalid = decodeBody(change.Scope, change.Body)
	}
	if invalid != nil {
		s.refuse(change, VerdictInvalid)
		return VerdictInvalid, invalid
	}
	if change.Base != s.version(change.Scope) {
		s.refuse(change, VerdictConflict)
		return VerdictConflict, nil
	}
	return VerdictAccepted, s.accept(change, value)
}

func (s *state) version(scope string) uint64 {
	if found, ok := s.items[scope]; ok {
		return found.Version
	}
	return 0
}

func (s *state) accept(change Change, value any) error {
	next := &item{Entry: Entry{Scope: change.Scope, Version: change.Base + 1, ID: change.ID}, value: value}
	if value != nil {
		next.Body = compact(change.Body)
	}
	old := s.items[change.Scope]
	if old != nil {
		if next.Version <= old.Version {
			return errors.Wrapf(ErrDecrease, "%s: from %d to %d", change.Scope, old.Version, next.Version)
		}
		s.forget(old, next)
	}
	s.items[change.Scope] = next
	s.ids[change.ID] = VerdictAccepted
	return nil
}

// forget drops the ids that no longer matter once next replaces old.
func (s *state) forget(old, next *item) {
	delete(s.ids, old.ID)
	for _, refusal := range old.refused {
		if refusal.Base < next.Version {
			delete(s.ids, refusal.ID)
			continue
		}
		next.refused = append(next.refused, refusal)
	}
}

// refuse remembers the change if it could be accepted when it is sent again.
func (s *state) refuse(change Change, verdict Verdict) {
	if change.Base < s.version(change.Scope) {
		return
	}
	if _, err := decodeBody(change.Scope, nil); err != nil {
		return
	}
	s.keep(Refusal{Scope: change.Scope, ID: change.ID, Base: change.Base, Verdict: verdict})
}

func (s *state) keep(refusal Refusal) {
	found, ok := s.items[refusal.Scope]
	if !ok {
		found = &item{Entry: Entry{Scope: refusal.Scope}}
		s.items[refusal.Scope] = found
	}
	found.refused = append(found.refused, refusal)
	s.ids[refusal.ID] = refusal.Verdict
}

// load builds the state from the contents of a snapshot.
func load(entries []Entry, refused []Refusal) (state, error) {
	loaded := newState()
	for _, entry := range entries {
		if _, ok := loaded.items[entry.Scope]; ok {
			return state{}, errors.Errorf("%s: found twice, accepted is once", entry.Scope)
		}
		if err := entry.Check(); err != nil {
			return state{}, err
		}
		var value any
		var err error
		if value, err = decodeBody(entry.Scope, entry.Body); err != nil {
			return state{}, err
		}
		entry.Body = compact(entry.Body)
		loaded.items[entry.Scope] = &item{Entry: entry, value: value}
		loaded.ids[entry.ID] = VerdictAccepted
	}
	for _, refusal := range refused {
		loaded.keep(refusal)
	}
	return loaded, nil
}

// checkAfter reports a scope whose version is lower than in the state before.
func (s *state) checkAfter(before state) error {
	for scope, old := range before.items {
		if version := s.version(scope); version < old.Version {
			return errors.Wrapf(ErrDecrease, "%s: from %d to %d", scope, old.Version, version)
		}
	}
	return nil
}

func (s *state) entries() []Entry {
	entries := make([]Entry, 0, len(s.items))
	for _, found := range s.items {
		if found.Version > 0 {
			entries = append(entries, found.Entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Scope < entries[j].Scope })
	return entries
}

func (s *state) refusals() []Refusal {
	var refused []Refusal
	for _, found := range s.items {
		refused = append(refused, found.refused...)
	}
	sort.Slice(refused, func(i, j int) bool { return refused[i].ID < refused[j].ID })
	return refused
}

func (s *state) configuration() cowslipproxy.Configuration {
	configuration := cowslipproxy.Configuration{
		Bases:     map[string]uint64{},
		Customers: []cowslipproxy.Customer{},
		Models:    []cowslipproxy.Model{},
		Services:  []cowslipproxy.Service{},
	}
	for _, entry := range s.entries() {
		configuration.Bases[entry.Scope] = entry.Version
		switch value := s.items[entry.Scope].value.(type) {
		case cowslipproxy.Customer:
			configuration.Customers = append(configuration.Customers, value)
		case cowslipproxy.Model:
			configuration.Models = append(configuration.Models, value)
		case cowslipproxy.Service:
			configuration.Services = append(configuration.Services, value)
		}
	}
	return configuration
}

// compact returns the body without white space, in its own memory.
func compact(body json.RawMessage) json.RawMessage {
	if isEmpty(body) {
		return nil
	}
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, body); err != nil {
		return append(json.RawMessage(nil), body...) // decodeBody has parsed it, so this can't happen
	}
	return buffer.Bytes()
}
