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

// Format and limits of keys.
const (
	MaxKeyBytes    = 255
	maxPartBytes   = 64
	minRandomBytes = 16 // shorter random parts of two requests may collide
	keyPrefix      = "cow1."
	uuidVersion    = 7 // UUIDs of this version start with a timestamp
)

// Key is a parsed idempotency key.
type Key struct {
	Text        string
	Incarnation string // the only daemon incarnation that dispatches it; empty for plain keys
}

// ParseKey parses the value of an Idempotency-Key header.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}, errors.Errorf("key: length of %d bytes is not between 1 and %d", len(text), MaxKeyBytes)
	}
	if i := strings.IndexFunc(text, func(r rune) bool { return r < '!' || r > '~' }); i >= 0 {
		return Key{}, errors.Errorf("key: byte %[2]d is %[1]q, not a visible ASCII character", text[i], i)
	}
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{Text: text}, nil
	}
	incarnation, random, _ := strings.Cut(rest, ".")
	if !validPart(incarnation, 1) || !validPart(random, minRandomBytes) {
		return Key{}, errors.Errorf("key: %q does not match cow1.<incarnation>.<random> with letters, digits, - and _ and a random part of %d to %d bytes", text, minRandomBytes, maxPartBytes)
	}
	return Key{Text: text, Incarnation: incarnation}, nil
}

func validPart(text string, minLength int) bool {
	if len(text) < minLength || len(text) > maxPartBytes {
		return false
	}
	return strings.IndexFunc(text, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && r != '-' && r != '_'
	}) < 0
}

// CreatedAt returns the creation time of a key that is a version 7 UUID, which
// contains it.
func (k Key) CreatedAt() (time.Time, bool) {
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

// Digest returns the digest of a request. A streamed body is represented by its
// buffered beginning and its length, which is -1 if unknown.
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

// Partition maps a customer's key to one of the partitions.
func Partition(customer, key string, partitions int) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % uint64(partitions))
}

// scopedKey identifies a customer's key by the first 16 bytes of a SHA-256 hash, so
// that no customer can cause a collision with another customer's key.
type scopedKey [16]byte

func newScopedKey(customer, key string) scopedKey {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return scopedKey(sum[:16])
}
