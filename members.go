package cowslipproxy

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Owner identifies one run of an entry daemon. A later run of the same daemon has
// a larger incarnation number.
type Owner struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Key returns the identifier of the run in idempotency keys and address responses.
func (o Owner) Key() string { return o.Name + "-" + strconv.FormatUint(o.Incarnation, 36) }

// Check reports the first invalid field.
func (o Owner) Check() error {
	if o.Name == "" || len(o.Name) > 64 {
		return errors.Errorf("name: length of %d bytes is not between 1 and 64", len(o.Name))
	}
	if o.Incarnation == 0 {
		return errors.New("incarnation: 0 is not at least 1")
	}
	return nil
}

// Hello is the announcement that an entry daemon sends to the others.
type Hello struct {
	Caller   netip.AddrPort `json:"caller"` // address for callers
	Peer     netip.AddrPort `json:"peer"`   // address for other entry daemons
	Centre   string         `json:"centre"`
	LinkMbps float64        `json:"link,omitempty"`     // megabits per second of the VM's link; 0 if unknown
	Starting bool           `json:"starting,omitempty"` // not ready to serve requests
	Stopping bool           `json:"stopping,omitempty"`
}

// Check reports the first invalid field.
func (h Hello) Check() error {
	if !h.Caller.IsValid() || !h.Peer.IsValid() {
		return errors.Errorf("address: caller %v or peer %v is not an IP address and port", h.Caller, h.Peer)
	}
	if h.Centre == "" || len(h.Centre) > 64 {
		return errors.Errorf("centre: length of %d bytes is not between 1 and 64", len(h.Centre))
	}
	if h.LinkMbps < 0 {
		return errors.Errorf("link: %v is not at least 0", h.LinkMbps)
	}
	return nil
}

// Member is an entry daemon in the membership view of another one.
type Member struct {
	Owner
	Hello
	Down      bool      `json:"down"`      // sends no heartbeats
	LastHeard time.Time `json:"lastHeard"` // when this daemon heard from it, not through others; zero if it never did
	LastSeen  time.Time `json:"lastSeen"`  // when this daemon heard from it, or one that it calls did; zero if neither did
}

// Address is the address at which an entry daemon serves callers.
type Address struct {
	Address     netip.AddrPort `json:"address"`
	Centre      string         `json:"centre"`
	Incarnation string         `json:"incarnation"`
}

// Addresses is the response to a caller that asks which entry VM to use.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	Lifetime  Duration  `json:"lifetime"` // how long the caller may use the response
}
