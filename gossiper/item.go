// Package gossiper exchanges small items between entry daemons, detects which
// of them fail, and passes requests and snapshots from one to another.
package gossiper

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Kind says what an item holds.
type Kind string

// Kinds of items.
const (
	KindHello  Kind = "hello"  // cowslipproxy.Hello
	KindDown   Kind = "down"   // the key is the owner that gives no heartbeats
	KindAlive  Kind = "alive"  // answers the report of the owner that is the key
	KindOffset Kind = "offset" // offset through which the configuration is folded
	KindPoison Kind = "poison" // suspect or quarantined request
	KindDemand Kind = "demand" // a customer's demand at the owner
)

// Reach says which daemons an item is for.
type Reach string

// Reaches of items.
const (
	ReachAll    Reach = "all"
	ReachCentre Reach = "centre" // daemons of the owner's data centre
)

var reaches = []Reach{ReachAll, ReachCentre}

const (
	maxData  = 8 << 10
	maxBytes = 64 << 10 // of the items or vectors in one message
)

// Item is one value that a daemon makes known to others. The version counts
// all changes of its owner with the same reach.
type Item struct {
	Owner   cowslipproxy.Owner `json:"owner"`
	Reach   Reach              `json:"reach"`
	Kind    Kind               `json:"kind"`
	Key     string             `json:"key,omitempty"`
	Version uint64             `json:"version"`
	Urgent  bool               `json:"urgent,omitempty"` // passed on at once instead of in the next round
	Gone    bool               `json:"gone,omitempty"`   // the owner withdrew it
	Data    []byte             `json:"data,omitempty"`
}

// Check reports the first field that is out of range.
func (i Item) Check() error {
	if err := i.Owner.Check(); err != nil {
		return errors.Wrap(err, "owner")
	}
	if i.Reach != ReachAll && i.Reach != ReachCentre {
		return errors.Errorf("reach: found %q, accepted are all and centre", i.Reach)
	}
	if i.Kind == "" || len(i.Kind) > 32 || len(i.Key) > 256 || len(i.Data) > maxData {
		return errors.Errorf("item: found a kind of %d, a key of %d and data of %d bytes, accepted are 1 to 32, 256 and %d", len(i.Kind), len(i.Key), len(i.Data), maxData)
	}
	if i.Version == 0 {
		return errors.New("version: found 0, accepted are numbers from 1")
	}
	return nil
}

// size estimates the encoded size; 80 bytes are field names and numbers.
func (i Item) size() int { return 80 + len(i.Owner.Name) + len(i.Kind) + len(i.Key) + len(i.Data) }

// Known says through which version a daemon holds the items of an owner.
type Known struct {
	Owner   cowslipproxy.Owner `json:"owner"`
	Reach   Reach              `json:"reach"`
	Version uint64             `json:"version"`
}

// Exchange is a daemon's heartbeat with the items that the receiver lacks. The
// answer has the same form.
type Exchange struct {
	From   cowslipproxy.Owner `json:"from"`
	Centre string             `json:"centre"`
	To     uint64             `json:"to,omitempty"`   // incarnation of the receiver whose journal Ack speaks of
	Base   uint64             `json:"base,omitempty"` // position in the sender's journal from which the items run; 0 for no run
	Seq    uint64             `json:"seq"`            // position in the sender's journal that the items reach
	Ack    uint64             `json:"ack,omitempty"`  // position in the receiver's journal that the sender has
	All    uint64             `json:"all"`            // hash of the version vector of items for all
	Near   uint64             `json:"near,omitempty"` // the same for items within the data centre
	Items  []Item             `json:"items,omitempty"`
	Slots  []int              `json:"slots,omitempty"` // slots of the version vector that Wants covers
	Wants  []Known            `json:"wants,omitempty"` // the sender's versions; the answer holds what is newer
}

// Check reports the first field that is out of range.
func (e Exchange) Check() error {
	if err := e.From.Check(); err != nil {
		return errors.Wrap(err, "from")
	}
	for i, item := range e.Items {
		if err := item.Check(); err != nil {
			return errors.Wrapf(err, "items[%d]", i)
		}
	}
	return nil
}

// Compare carries the hashes of the slots of a version vector.
type Compare struct {
	From   cowslipproxy.Owner `json:"from"`
	Centre string             `json:"centre"`
	Hashes []byte             `json:"hashes"`
}

// Check reports the first field that is out of range.
func (c Compare) Check() error {
	if len(c.Hashes) != slots*8 {
		return errors.Errorf("hashes: found %d bytes, accepted are %d", len(c.Hashes), slots*8)
	}
	return c.From.Check()
}

// Difference answers a Compare with the versions in the slots that differ.
type Difference struct {
	Seq    uint64  `json:"seq,omitempty"` // position in the answering daemon's journal; 0 when slots were left out
	Slots  []int   `json:"slots,omitempty"`
	Vector []Known `json:"vector,omitempty"`
}

// Check reports the first field that is out of range.
func (d Difference) Check() error {
	if len(d.Slots) > slots {
		return errors.Errorf("slots: found %d, accepted are at most %d", len(d.Slots), slots)
	}
	return nil
}

func packHashes(hashes [slots]uint64) []byte {
	packed := make([]byte, 0, slots*8)
	for _, hash := range hashes {
		packed = binary.BigEndian.AppendUint64(packed, hash)
	}
	return packed
}
