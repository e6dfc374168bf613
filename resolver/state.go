package resolver

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// maxRefused bounds the refusals that a scope remembers; the oldest goes first.
const maxRefused = 16

// ErrDecrease marks a state that would take a version in force back.
var ErrDecrease = errors.New("version in force would decrease")

type item struct {
	Entry
	value any // customer, model or service; nil when deleted
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
	for _, refusal := range old.Refused {
		if refusal.Base < next.Version {
			delete(s.ids, refusal.ID)
			continue
		}
		next.Refused = append(next.Refused, refusal)
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
	found, ok := s.items[change.Scope]
	if !ok {
		found = &item{Entry: Entry{Scope: change.Scope}}
		s.items[change.Scope] = found
	}
	if len(found.Refused) == maxRefused {
		delete(s.ids, found.Refused[0].ID)
		found.Refused = found.Refused[1:]
	}
	found.Refused = append(found.Refused, Refusal{ID: change.ID, Base: change.Base, Verdict: verdict})
	s.ids[change.ID] = verdict
}

// load builds the state from the entries of a snapshot.
func load(entries []Entry) (state, error) {
	loaded := newState()
	for _, entry := range entries {
		if _, ok := loaded.items[entry.Scope]; ok {
			return state{}, errors.Errorf("%s: found twice, accepted is once", entry.Scope)
		}
		if err := entry.Check(); err != nil {
			return state{}, err
		}
		value, err := decodeBody(entry.Scope, entry.Body)
		if err != nil {
			return state{}, err
		}
		entry.Body = compact(entry.Body)
		loaded.items[entry.Scope] = &item{Entry: entry, value: value}
		if entry.ID != "" {
			loaded.ids[entry.ID] = VerdictAccepted
		}
		for _, refusal := range entry.Refused {
			loaded.ids[refusal.ID] = refusal.Verdict
		}
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
		entry := found.Entry
		entry.Refused = append([]Refusal(nil), entry.Refused...)
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Scope < entries[j].Scope })
	return entries
}

func (s *state) configuration() cowslipproxy.Configuration {
	configuration := cowslipproxy.Configuration{
		Bases:     map[string]uint64{},
		Customers: []cowslipproxy.Customer{},
		Models:    []cowslipproxy.Model{},
		Services:  []cowslipproxy.Service{},
	}
	for _, entry := range s.entries() {
		if entry.Version > 0 {
			configuration.Bases[entry.Scope] = entry.Version
		}
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
