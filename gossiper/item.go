// Package gossiper implements the gossip protocol between entry daemons: it
// replicates small items, detects failed daemons, and transfers requests and
// configuration snapshots from one daemon to another.
package gossiper

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Kind is the type of an item's data.
type Kind string

// Kinds of items.
const (
	KindHello  Kind = "hello"  // cowslipproxy.Hello
	KindDown   Kind = "down"   // report that the daemon in the key is down
	KindAlive  Kind = "alive"  // refutes the down report that the daemon in the key published
	KindOffset Kind = "offset" // last configuration offset that the owner has applied
	KindPoison Kind = "poison" // suspect or quarantined request
	KindDemand Kind = "demand" // demand of a customer at the owner
	KindLimit  Kind = "limit"  // limit that an upstream named
)

// Reach defines which daemons receive an item.
type Reach string

// Reaches of items.
const (
	ReachAll    Reach = "all"
	ReachCentre Reach = "centre" // daemons in the owner's data centre
)

var reaches = []Reach{ReachAll, ReachCentre}

const (
	maxData       = 8 << 10
	maxBatchBytes = 64 << 10 // size limit of the items or of the version vector in one message
)

// Item is a value that a daemon publishes to others. Its version counts all
// changes by the same owner with the same reach.
type Item struct {
	Owner     cowslipproxy.Owner `json:"owner"`
	Reach     Reach              `json:"reach"`
	Kind      Kind               `json:"kind"`
	Key       string             `json:"key,omitempty"`
	Version   uint64             `json:"version"`
	Urgent    bool               `json:"urgent,omitempty"` // sent at once instead of in the next round
	Withdrawn bool               `json:"gone,omitempty"`   // tombstone: the owner withdrew the item
	Data      []byte             `json:"data,omitempty"`
}

// Check reports the first invalid field.
func (i Item) Check() error {
	if err := i.Owner.Check(); err != nil {
		return errors.Wrap(err, "owner")
	}
	if i.Reach != ReachAll && i.Reach != ReachCentre {
		return errors.Errorf("reach: %q is not all or centre", i.Reach)
	}
	if i.Kind == "" || len(i.Kind) > 32 || len(i.Key) > 256 || len(i.Data) > maxData {
		return errors.Errorf("item: kind of %d bytes, key of %d bytes or data of %d bytes is out of range; the ranges are 1 to 32, 0 to 256 and 0 to %d", len(i.Kind), len(i.Key), len(i.Data), maxData)
	}
	if i.Version == 0 {
		return errors.New("version: 0 is not at least 1")
	}
	return nil
}

// size estimates the encoded size. Field names and numbers take about 80 bytes.
func (i Item) size() int { return 80 + len(i.Owner.Name) + len(i.Kind) + len(i.Key) + len(i.Data) }

// VectorEntry is an entry of a version vector: the version up to which a daemon
// holds the items of an owner with one reach.
type VectorEntry struct {
	Owner   cowslipproxy.Owner `json:"owner"`
	Reach   Reach              `json:"reach"`
	Version uint64             `json:"version"`
}

// Exchange is a heartbeat with the items that the receiver lacks. Request and
// response have the same form.
type Exchange struct {
	From          cowslipproxy.Owner `json:"from"`
	Centre        string             `json:"centre"`
	ToIncarnation uint64             `json:"to,omitempty"`   // incarnation of the receiver that Ack refers to
	Base          uint64             `json:"base,omitempty"` // position in the sender's journal after which Items start; 0 if Items are not a contiguous part of it
	Seq           uint64             `json:"seq"`            // position in the sender's journal up to which Items extend
	Ack           uint64             `json:"ack,omitempty"`  // position in the receiver's journal up to which the sender holds all items
	AllHash       uint64             `json:"all"`            // hash of the version vector for ReachAll
	CentreHash    uint64             `json:"near,omitempty"` // hash of the version vector for ReachCentre; 0 to other data centres
	Items         []Item             `json:"items,omitempty"`
	Ages          map[uint64]uint64  `json:"ages,omitempty"`  // in a response: milliseconds since the sender heard from other daemons, by the hashes of their owners
	Slots         []int              `json:"slots,omitempty"` // slots of the version vector that a comparison covers
	Versions      []VectorEntry      `json:"wants,omitempty"` // the sender's version vector in Slots; the response has the items that are newer
}

// Check reports the first invalid field.
func (e Exchange) Check() error {
	if err := e.From.Check(); err != nil {
		return errors.Wrap(err, "from")
	}
	for i, item := range e.Items {
		if err := item.Check(); err != nil {
			return errors.Wrapf(err, "items[%d]", i)
		}
	}
	return e.checkAges()
}

func (e Exchange) checkAges() error {
	if len(e.Ages) > maxAges {
		return errors.Errorf("ages: %d exceed the limit of %d", len(e.Ages), maxAges)
	}
	for _, age := range e.Ages {
		if age > uint64(maxAge.Milliseconds()) {
			return errors.Errorf("ages: %d ms exceed the limit of %d", age, maxAge.Milliseconds())
		}
	}
	return nil
}

// Compare is a request to compare version vectors by the hashes of their slots.
type Compare struct {
	From   cowslipproxy.Owner `json:"from"`
	Centre string             `json:"centre"`
	Hashes []byte             `json:"hashes"`
}

// Check reports the first invalid field.
func (c Compare) Check() error {
	if len(c.Hashes) != slots*8 {
		return errors.Errorf("hashes: length of %d bytes is not %d", len(c.Hashes), slots*8)
	}
	return c.From.Check()
}

// Difference is the response to Compare, with the version vector in the slots
// that differ.
type Difference struct {
	Seq    uint64        `json:"seq,omitempty"` // position in the journal of the responding daemon; 0 if slots were left out
	Slots  []int         `json:"slots,omitempty"`
	Vector []VectorEntry `json:"vector,omitempty"`
}

// Check reports the first field that is out of range.
func (d Difference) Check() error {
	if len(d.Slots) > slots {
		return errors.Errorf("slots: %d exceed the limit of %d", len(d.Slots), slots)
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
