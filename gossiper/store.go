package gossiper

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	slots     = 64   // parts of the version vector that are compared one by one
	maxItems  = 4096 // per owner and reach, so that one daemon can't fill the memory of all
	keepGone  = time.Hour
	keepGrave = 24 * time.Hour
)

type streamID struct {
	owner cowslipproxy.Owner
	reach Reach
}

type itemID struct {
	kind Kind
	key  string
}

type record struct {
	seq  uint64
	item Item
	from string // daemon that sent it
	at   time.Time
}

type stream struct {
	version uint64
	records map[itemID]*record
}

// Store holds the items of all owners. The items of an owner are always passed
// on in the order of their versions, so a version says which items are held:
// all up to it that no later item replaced.
type Store struct {
	streams map[streamID]*stream
	newest  map[string]uint64 // latest incarnation by name
	graves  map[cowslipproxy.Owner]time.Time
	journal []*record // in the order of arrival; a replaced record's seq is 0
	stale   int       // replaced records in the journal
	seq     uint64
	hashes  map[Reach]*[slots]uint64
	kinds   map[Kind]map[*record]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		streams: map[streamID]*stream{},
		newest:  map[string]uint64{},
		graves:  map[cowslipproxy.Owner]time.Time{},
		hashes:  map[Reach]*[slots]uint64{ReachAll: {}, ReachCentre: {}},
		kinds:   map[Kind]map[*record]bool{},
	}
}

// Put adds an owner's own item, gives it the next version and returns it.
func (s *Store) Put(item Item, now time.Time) (Item, error) {
	stream := s.stream(streamID{item.Owner, item.Reach})
	if len(stream.records) >= maxItems && stream.records[itemID{item.Kind, item.Key}] == nil {
		return Item{}, errors.Errorf("item %s/%s: found %d items, accepted are at most %d", item.Kind, item.Key, len(stream.records), maxItems)
	}
	item.Version = stream.version + 1
	if err := item.Check(); err != nil {
		return Item{}, err
	}
	s.Apply([]Item{item}, item.Owner.Name, now)
	return item, nil
}

// Apply adds the items that are newer than those held and returns them.
func (s *Store) Apply(items []Item, from string, now time.Time) []Item {
	var fresh []Item
	for _, item := range items {
		if !s.admit(item.Owner) {
			continue
		}
		stream := s.stream(streamID{item.Owner, item.Reach})
		if item.Version <= stream.version || len(stream.records) > maxItems {
			continue
		}
		s.advance(item, stream)
		id := itemID{item.Kind, item.Key}
		s.retire(stream.records[id])
		s.seq++
		added := &record{seq: s.seq, item: item, from: from, at: now}
		stream.records[id] = added
		s.journal = append(s.journal, added)
		if s.kinds[item.Kind] == nil {
			s.kinds[item.Kind] = map[*record]bool{}
		}
		s.kinds[item.Kind][added] = true
		fresh = append(fresh, item)
	}
	s.compact()
	return fresh
}

// admit reports whether items of the owner count, and drops those of earlier incarnations.
func (s *Store) admit(owner cowslipproxy.Owner) bool {
	newest := s.newest[owner.Name]
	if _, buried := s.graves[owner]; buried || owner.Incarnation < newest {
		return false
	}
	if owner.Incarnation > newest {
		s.drop(cowslipproxy.Owner{Name: owner.Name, Incarnation: newest})
		s.newest[owner.Name] = owner.Incarnation
	}
	return true
}

func (s *Store) stream(id streamID) *stream {
	if s.streams[id] == nil {
		s.streams[id] = &stream{records: map[itemID]*record{}}
	}
	return s.streams[id]
}

func (s *Store) advance(item Item, stream *stream) {
	id := streamID{item.Owner, item.Reach}
	s.toggle(id, stream.version)
	stream.version = item.Version
	s.toggle(id, stream.version)
}

// toggle adds a version to the hash of its slot, or takes it out again.
func (s *Store) toggle(id streamID, version uint64) {
	if version == 0 {
		return
	}
	text := binary.BigEndian.AppendUint64([]byte(id.owner.Name), id.owner.Incarnation)
	s.hashes[id.reach][slotOf(id.owner.Name)] ^= xxhash.Sum64(binary.BigEndian.AppendUint64(text, version))
}

func slotOf(name string) int { return int(xxhash.Sum64String(name) % slots) }

func (s *Store) retire(old *record) {
	if old == nil {
		return
	}
	old.seq = 0
	s.stale++
	delete(s.kinds[old.item.Kind], old)
}

func (s *Store) compact() {
	if s.stale <= len(s.journal)/2 {
		return
	}
	s.journal = slices.DeleteFunc(s.journal, func(r *record) bool { return r.seq == 0 })
	s.stale = 0
}

func (s *Store) drop(owner cowslipproxy.Owner) {
	for _, reach := range reaches {
		id := streamID{owner, reach}
		old := s.streams[id]
		if old == nil {
			continue
		}
		s.toggle(id, old.version)
		for _, r := range old.records {
			s.retire(r)
		}
		delete(s.streams, id)
	}
}

// Forget drops the items of a daemon that is gone, and refuses them for a day,
// so that daemons that still hold them don't bring them back.
func (s *Store) Forget(owner cowslipproxy.Owner, now time.Time) {
	s.drop(owner)
	s.graves[owner] = now
	s.compact()
}

// Prune drops old marks of withdrawn items and forgotten daemons.
func (s *Store) Prune(now time.Time) {
	for _, stream := range s.streams {
		for id, r := range stream.records {
			// The newest item stays, since the version is passed on with it.
			if r.item.Gone && r.item.Version < stream.version && now.Sub(r.at) > keepGone {
				s.retire(r)
				delete(stream.records, id)
			}
		}
	}
	for owner, at := range s.graves {
		if now.Sub(at) > keepGrave {
			delete(s.graves, owner)
		}
	}
	s.compact()
}

// Newest returns the latest known incarnation of a daemon, or 0.
func (s *Store) Newest(name string) uint64 { return s.newest[name] }

// Get returns an item that its owner didn't withdraw.
func (s *Store) Get(owner cowslipproxy.Owner, reach Reach, kind Kind, key string) (Item, bool) {
	stream := s.streams[streamID{owner, reach}]
	if stream == nil {
		return Item{}, false
	}
	r := stream.records[itemID{kind, key}]
	if r == nil || r.item.Gone {
		return Item{}, false
	}
	return r.item, true
}

// Items returns the items of a kind that their owners didn't withdraw.
func (s *Store) Items(kind Kind) []Item {
	var items []Item
	for r := range s.kinds[kind] {
		if !r.item.Gone {
			items = append(items, r.item)
		}
	}
	return items
}

// Since returns the items that came after a position of the journal, except
// those that the receiver sent, and the position that they reach.
func (s *Store) Since(position uint64, receiver string, near bool) ([]Item, uint64) {
	var items []Item
	size := 0
	for _, r := range s.journal[s.find(position):] {
		if r.seq == 0 || r.from == receiver || r.item.Owner.Name == receiver || (r.item.Reach == ReachCentre && !near) {
			continue
		}
		if size += r.item.size(); size > maxBytes {
			return items, r.seq - 1
		}
		items = append(items, r.item)
	}
	return items, s.seq
}

// find returns the index of the first record after a position. Replaced records
// have no position, so it walks back from the end.
func (s *Store) find(position uint64) int {
	i := len(s.journal)
	for i > 0 && (s.journal[i-1].seq == 0 || s.journal[i-1].seq > position) {
		i--
	}
	return i
}

// Hash returns the hash of the version vector.
func (s *Store) Hash(reach Reach) uint64 {
	var hash uint64
	for _, slot := range s.hashes[reach] {
		hash ^= slot
	}
	return hash
}

// Slots returns the hashes of the slots of the version vector.
func (s *Store) Slots(near bool) [slots]uint64 {
	hashes := *s.hashes[ReachAll]
	if !near {
		return hashes
	}
	for i, hash := range s.hashes[ReachCentre] {
		// The multiplication keeps equal hashes of the two reaches from cancelling each other.
		hashes[i] ^= hash * 0x9E3779B97F4A7C15
	}
	return hashes
}

// Vector returns the versions held in the given slots.
func (s *Store) Vector(wanted []int, near bool) []Known {
	var vector []Known
	for id, stream := range s.streams {
		if stream.version > 0 && (near || id.reach == ReachAll) && slices.Contains(wanted, slotOf(id.owner.Name)) {
			vector = append(vector, Known{Owner: id.owner, Reach: id.reach, Version: stream.version})
		}
	}
	return vector
}

// Newer returns the items in the given slots that are newer than a vector. What
// exceeds the size of a message is left for the next comparison.
func (s *Store) Newer(wanted []int, vector []Known, near bool) []Item {
	held := map[streamID]uint64{}
	for _, known := range vector {
		held[streamID{known.Owner, known.Reach}] = known.Version
	}
	var items []Item
	for id, stream := range s.streams {
		if (id.reach == ReachCentre && !near) || !slices.Contains(wanted, slotOf(id.owner.Name)) {
			continue
		}
		for _, r := range stream.records {
			if r.item.Version > held[id] {
				items = append(items, r.item)
			}
		}
	}
	sort.Slice(items, func(i, j int) bool {
		if items[i].Owner != items[j].Owner {
			return items[i].Owner.Key() < items[j].Owner.Key()
		}
		return items[i].Version < items[j].Version
	})
	return cut(items)
}

func cut(items []Item) []Item {
	size := 0
	for i, item := range items {
		if size += item.size(); size > maxBytes {
			return items[:i]
		}
	}
	return items
}
