package resolver

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// ErrVersionDecrease is returned if a state would decrease the version of a scope.
var ErrVersionDecrease = errors.New("version of a scope would decrease")

type scopeState struct {
	Entry
	value    any // customer, model or service; nil if deleted
	rejected []Rejection
}

// state is the part of a Resolver that a snapshot contains.
type state struct {
	scopes map[string]*scopeState
	ids    map[string]Verdict // verdicts by change id, for the changes recorded in scopes
}

func newState() state {
	return state{scopes: map[string]*scopeState{}, ids: map[string]Verdict{}}
}

// apply applies a change. If its record could not be decoded, decodeErr is the reason.
// The returned error is the reason why the change is invalid, or ErrVersionDecrease.
func (s *state) apply(change Change, decodeErr error) (Verdict, error) {
	if verdict, ok := s.ids[change.ID]; ok {
		return verdict, nil
	}
	var value any
	if decodeErr == nil {
		value, decodeErr = decodeBody(change.Scope, change.Body)
	}
	if decodeErr != nil {
		s.reject(change, VerdictInvalid)
		return VerdictInvalid, decodeErr
	}
	if change.Base != s.version(change.Scope) {
		s.reject(change, VerdictConflict)
		return VerdictConflict, nil
	}
	return VerdictAccepted, s.accept(change, value)
}

func (s *state) version(scope string) uint64 {
	if found, ok := s.scopes[scope]; ok {
		return found.Version
	}
	return 0
}

func (s *state) accept(change Change, value any) error {
	next := &scopeState{Entry: Entry{Scope: change.Scope, Version: change.Base + 1, ID: change.ID}, value: value}
	if value != nil {
		next.Body = compact(change.Body)
	}
	old := s.scopes[change.Scope]
	if old != nil {
		if next.Version <= old.Version {
			return errors.Wrapf(ErrVersionDecrease, "%s: from %d to %d", change.Scope, old.Version, next.Version)
		}
		s.pruneIDs(old, next)
	}
	s.scopes[change.Scope] = next
	s.ids[change.ID] = VerdictAccepted
	return nil
}

// pruneIDs removes the ids of changes that can't be accepted once next replaces old,
// since their bases are below its version.
func (s *state) pruneIDs(old, next *scopeState) {
	delete(s.ids, old.ID)
	for _, rejection := range old.rejected {
		if rejection.Base < next.Version {
			delete(s.ids, rejection.ID)
			continue
		}
		next.rejected = append(next.rejected, rejection)
	}
}

// reject stores a rejected change if it could be accepted later when its record is
// appended again.
func (s *state) reject(change Change, verdict Verdict) {
	if change.Base < s.version(change.Scope) {
		return
	}
	if _, err := decodeBody(change.Scope, nil); err != nil {
		return
	}
	s.addRejection(Rejection{Scope: change.Scope, ID: change.ID, Base: change.Base, Verdict: verdict})
}

func (s *state) addRejection(rejection Rejection) {
	found, ok := s.scopes[rejection.Scope]
	if !ok {
		found = &scopeState{Entry: Entry{Scope: rejection.Scope}}
		s.scopes[rejection.Scope] = found
	}
	found.rejected = append(found.rejected, rejection)
	s.ids[rejection.ID] = rejection.Verdict
}

// buildState builds the state from the contents of a snapshot.
func buildState(entries []Entry, rejected []Rejection) (state, error) {
	loaded := newState()
	for _, entry := range entries {
		if _, ok := loaded.scopes[entry.Scope]; ok {
			return state{}, errors.Errorf("%s: duplicate entry", entry.Scope)
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
		loaded.scopes[entry.Scope] = &scopeState{Entry: entry, value: value}
		loaded.ids[entry.ID] = VerdictAccepted
	}
	for _, rejection := range rejected {
		loaded.addRejection(rejection)
	}
	return loaded, nil
}

// checkNoDecrease returns an error if a version is lower than in the previous state.
func (s *state) checkNoDecrease(previous state) error {
	for scope, old := range previous.scopes {
		if version := s.version(scope); version < old.Version {
			return errors.Wrapf(ErrVersionDecrease, "%s: from %d to %d", scope, old.Version, version)
		}
	}
	return nil
}

func (s *state) entries() []Entry {
	entries := make([]Entry, 0, len(s.scopes))
	for _, found := range s.scopes {
		if found.Version > 0 {
			entries = append(entries, found.Entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Scope < entries[j].Scope })
	return entries
}

func (s *state) rejections() []Rejection {
	var rejected []Rejection
	for _, found := range s.scopes {
		rejected = append(rejected, found.rejected...)
	}
	sort.Slice(rejected, func(i, j int) bool { return rejected[i].ID < rejected[j].ID })
	return rejected
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
		switch value := s.scopes[entry.Scope].value.(type) {
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

// compact returns a copy of the body without white space.
func compact(body json.RawMessage) json.RawMessage {
	if isEmpty(body) {
		return nil
	}
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, body); err != nil {
		return append(json.RawMessage(nil), body...) // can't happen, since decodeBody has parsed it
	}
	return buffer.Bytes()
}
