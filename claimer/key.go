package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Limits of keys, in bytes.
const (
	MaxKey      = 255
	maxPart     = 64
	minRandom   = 16 // shorter random parts of two requests may collide
	keyPrefix   = "cow1."
	uuidVersion = 7 // the only version of UUIDs that starts with the time
)

// Key is an idempotency key.
type Key struct {
	Text        string
	Incarnation string // the daemon incarnation that alone dispatches it; empty for plain keys
}

// ParseKey parses the value of an Idempotency-Key header.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > MaxKey {
		return Key{}, errors.Errorf("key: found %d bytes, accepted are 1 to %d", len(text), MaxKey)
	}
	if i := strings.IndexFunc(text, func(r rune) bool { return r < '!' || r > '~' }); i >= 0 {
		return Key{}, errors.Errorf("key: found %q at byte %d, accepted are visible ASCII characters", text[i], i)
	}
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{Text: text}, nil
	}
	incarnation, random, _ := strings.Cut(rest, ".")
	if !isPart(incarnation, 1) || !isPart(random, minRandom) {
		return Key{}, errors.Errorf("key: found %q, accepted is cow1.<incarnation>.<random> with letters, digits, - and _ and a random part of %d to %d", text, minRandom, maxPart)
	}
	return Key{Text: text, Incarnation: incarnation}, nil
}

func isPart(text string, least int) bool {
	if len(text) < least || len(text) > maxPart {
		return false
	}
	return strings.IndexFunc(text, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && r != '-' && r != '_'
	}) < 0
}

// MadeAt returns the time that the key itself proves: version 7 UUIDs carry it.
func (k Key) MadeAt() (time.Time, bool) {
	if len(k.Text) != 36 {
		return time.Time{}, false
	}
	var id uuid.UUID
	var err error
	if id, err = uuid.Parse(k.Text); err != nil || id.Version() != uuidVersion {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// Digest returns the digest of a request. A body that streams is represented by
// its buffered start and its length, -1 when unknown.
func Digest(method, path string, body []byte, length int64) string {
	hash := sha256.New()
	var frame [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		binary.BigEndian.PutUint64(frame[:], uint64(len(part)))
		_, _ = hash.Write(frame[:]) // never fails, by the documentation of hash.Hash
		_, _ = hash.Write(part)
	}
	binary.BigEndian.PutUint64(frame[:], uint64(length))
	_, _ = hash.Write(frame[:])
	return hex.EncodeToString(hash.Sum(nil))
}

// Partition returns the partition of a customer's key among a number of partitions.
func Partition(customer, key string, partitions int) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % uint64(partitions))
}

// scoped identifies a key of a customer: the start of a SHA-256, which no
// customer can make collide with another's.
type scoped [16]byte

func scope(customer, key string) scoped {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return scoped(sum[:16])
}
