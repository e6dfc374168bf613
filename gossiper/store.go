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
	slots              = 64   // parts of the version vector that are hashed separately
	maxItems           = 4096 // per owner and reach, so that one daemon can't exhaust the memory of the others
	tombstoneRetention = time.Hour
	forgottenRetention = 24 * time.Hour
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
	seq     uint64 // position in the journal; 0 if the record was replaced or deleted
	item    Item
	from    string // name of the daemon that sent the item
	addedAt time.Time
}

type stream struct {
	version uint64
	records map[itemID]*record
}

// Store holds the items of all owners. The items of an owner are always sent in
// the order of their versions. A version therefore identifies which items are held:
// all items up to that version that no later item has replaced.
type Store struct {
	streams            map[streamID]*stream
	latestIncarnations map[string]uint64 // by name
	forgotten          map[cowslipproxy.Owner]time.Time
	journal            []*record // in order of arrival; replaced and deleted records have seq 0
	replaced           int       // replaced and deleted records in the journal
	seq                uint64
	hashes             map[Reach]*[slots]uint64
	kinds              map[Kind]map[*record]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		streams:            map[streamID]*stream{},
		latestIncarnations: map[string]uint64{},
		forgotten:          map[cowslipproxy.Owner]time.Time{},
		hashes:             map[Reach]*[slots]uint64{ReachAll: {}, ReachCentre: {}},
		kinds:              map[Kind]map[*record]bool{},
	}
}

// Put adds an item of this daemon, assigns the next version to it and returns it.
func (s *Store) Put(item Item, now time.Time) (Item, error) {
	stream := s.stream(streamID{item.Owner, item.Reach})
	if len(stream.records) >= maxItems && stream.records[itemID{item.Kind, item.Key}] == nil {
		return Item{}, errors.Errorf("item %s/%s: the owner already holds %d items with this reach, the limit is %d", item.Kind, item.Key, len(stream.records), maxItems)
	}
	item.Version = stream.version + 1
	if err := item.Check(); err != nil {
		return Item{}, err
	}
	s.Apply([]Item{item}, item.Owner.Name, now)
	return item, nil
}

// Apply adds the items whose version is newer than the one held, and returns
// them.
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
		s.setVersion(item, stream)
		id := itemID{item.Kind, item.Key}
		s.unlink(stream.records[id])
		s.seq++
		added := &record{seq: s.seq, item: item, from: from, addedAt: now}
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

// admit reports whether items of the owner are accepted, and deletes those of
// earlier incarnations.
func (s *Store) admit(owner cowslipproxy.Owner) bool {
	newest := s.latestIncarnations[owner.Name]
	if _, isForgotten := s.forgotten[owner]; isForgotten || owner.Incarnation < newest {
		return false
	}
	if owner.Incarnation > newest {
		s.deleteOwner(cowslipproxy.Owner{Name: owner.Name, Incarnation: newest})
		s.latestIncarnations[owner.Name] = owner.Incarnation
	}
	return true
}

func (s *Store) stream(id streamID) *stream {
	if s.streams[id] == nil {
		s.streams[id] = &stream{records: map[itemID]*record{}}
	}
	return s.streams[id]
}

func (s *Store) setVersion(item Item, stream *stream) {
	id := streamID{item.Owner, item.Reach}
	s.toggleHash(id, stream.version)
	stream.version = item.Version
	s.toggleHash(id, stream.version)
}

// toggleHash adds a version to the hash of its slot, or removes it if it was
// added before.
func (s *Store) toggleHash(id streamID, version uint64) {
	if version == 0 {
		return
	}
	text := binary.BigEndian.AppendUint64([]byte(id.owner.Name), id.owner.Incarnation)
	s.hashes[id.reach][slotOf(id.owner.Name)] ^= xxhash.Sum64(binary.BigEndian.AppendUint64(text, version))
}

func slotOf(name string) int { return int(xxhash.Sum64String(name) % slots) }

// unlink marks a replaced or deleted record, which compact removes from the journal.
func (s *Store) unlink(old *record) {
	if old == nil {
		return
	}
	old.seq = 0
	s.replaced++
	delete(s.kinds[old.item.Kind], old)
}

func (s *Store) compact() {
	if s.replaced <= len(s.journal)/2 {
		return
	}
	s.journal = slices.DeleteFunc(s.journal, func(r *record) bool { return r.seq == 0 })
	s.replaced = 0
}

func (s *Store) deleteOwner(owner cowslipproxy.Owner) {
	for _, reach := range reaches {
		id := streamID{owner, reach}
		old := s.streams[id]
		if old == nil {
			continue
		}
		s.toggleHash(id, old.version)
		for _, r := range old.records {
			s.unlink(r)
		}
		delete(s.streams, id)
	}
}

// Forget deletes the items of a daemon and rejects them for a day, so that
// daemons that still hold them don't restore them.
func (s *Store) Forget(owner cowslipproxy.Owner, now time.Time) {
	s.deleteOwner(owner)
	s.forgotten[owner] = now
	s.compact()
}

// Prune deletes expired tombstones, and ends the rejection of daemons that were
// forgotten more than a day ago.
func (s *Store) Prune(now time.Time) {
	for _, stream := range s.streams {
		for id, r := range stream.records {
			// The newest item is kept, since it carries the owner's version to peers.
			if r.item.Withdrawn && r.item.Version < stream.version && now.Sub(r.addedAt) > tombstoneRetention {
				s.unlink(r)
				delete(stream.records, id)
			}
		}
	}
	for owner, forgottenAt := range s.forgotten {
		if now.Sub(forgottenAt) > forgottenRetention {
			delete(s.forgotten, owner)
		}
	}
	s.compact()
}

// LatestIncarnation returns the latest known incarnation of a daemon, or 0 if none is known.
func (s *Store) LatestIncarnation(name string) uint64 { return s.latestIncarnations[name] }

// Get returns an item unless its owner withdrew it.
func (s *Store) Get(owner cowslipproxy.Owner, reach Reach, kind Kind, key string) (Item, bool) {
	stream := s.streams[streamID{owner, reach}]
	if stream == nil {
		return Item{}, false
	}
	r := stream.records[itemID{kind, key}]
	if r == nil || r.item.Withdrawn {
		return Item{}, false
	}
	return r.item, true
}

// Age returns how long an item has been held.
func (s *Store) Age(item Item, now time.Time) time.Duration {
	stream := s.streams[streamID{item.Owner, item.Reach}]
	if stream == nil || stream.records[itemID{item.Kind, item.Key}] == nil {
		return 0
	}
	return now.Sub(stream.records[itemID{item.Kind, item.Key}].addedAt)
}

// Items returns all items of a kind, without withdrawn ones.
func (s *Store) Items(kind Kind) []Item {
	var items []Item
	for r := range s.kinds[kind] {
		if !r.item.Withdrawn {
			items = append(items, r.item)
		}
	}
	return items
}

// Since returns the journal's items after a position, except those that the
// receiver sent or owns, and the position up to which they extend.
func (s *Store) Since(position uint64, receiver string, sameCentre bool) ([]Item, uint64) {
	var items []Item
	size := 0
	for _, r := range s.journal[s.indexAfter(position):] {
		if r.seq == 0 || r.from == receiver || r.item.Owner.Name == receiver || (r.item.Reach == ReachCentre && !sameCentre) {
			continue
		}
		if size += r.item.size(); size > maxBatchBytes {
			return items, r.seq - 1
		}
		items = append(items, r.item)
	}
	return items, s.seq
}

// indexAfter returns the index of the first record after a position. It searches
// backwards from the end, since replaced and deleted records have no position.
func (s *Store) indexAfter(position uint64) int {
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

// Slots returns the hash of each slot of the version vector.
func (s *Store) Slots(sameCentre bool) [slots]uint64 {
	hashes := *s.hashes[ReachAll]
	if !sameCentre {
		return hashes
	}
	for i, hash := range s.hashes[ReachCentre] {
		// Without the multiplication, equal hashes of the two reaches would cancel each other out.
		hashes[i] ^= hash * 0x9E3779B97F4A7C15
	}
	return hashes
}

// Vector returns the version vector in the given slots.
func (s *Store) Vector(slotNumbers []int, sameCentre bool) []VectorEntry {
	var vector []VectorEntry
	for id, stream := range s.streams {
		if stream.version > 0 && (sameCentre || id.reach == ReachAll) && slices.Contains(slotNumbers, slotOf(id.owner.Name)) {
			vector = append(vector, VectorEntry{Owner: id.owner, Reach: id.reach, Version: stream.version})
		}
	}
	return vector
}

// Newer returns the items in the given slots that are newer than a version
// vector. Items that don't fit into a message are left for the next comparison.
func (s *Store) Newer(slotNumbers []int, vector []VectorEntry, sameCentre bool) []Item {
	held := map[streamID]uint64{}
	for _, entry := range vector {
		held[streamID{entry.Owner, entry.Reach}] = entry.Version
	}
	var items []Item
	for id, stream := range s.streams {
		if (id.reach == ReachCentre && !sameCentre) || !slices.Contains(slotNumbers, slotOf(id.owner.Name)) {
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
	return truncate(items)
}

func truncate(items []Item) []Item {
	size := 0
	for i, item := range items {
		if size += item.size(); size > maxBatchBytes {
			return items[:i]
		}
	}
	return items
}
