// Package sharer elects the daemons that read the platform's store on behalf of
// their data centre, determines through which daemons the contents reach the others,
// and aggregates what daemons report about the load of engines. It starts no goroutine
// and does not read the clock.
package sharer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// ShareInterval is the time between two shares of a reader.
	ShareInterval = 700 * time.Millisecond
	// RequestAge is the minimum age of a daemon's instance list at which the daemon
	// requests the list from another daemon.
	RequestAge = 800 * time.Millisecond
	// ShareTimeout is how long a daemon goes without a share before it reads the
	// store itself. Together with ShareInterval it is less than the 2 s in which a
	// daemon must learn that an upstream is leaving.
	ShareTimeout = 1100 * time.Millisecond
	// MaxAge is the age of a reader's last read above which its share is ignored.
	MaxAge = 1500 * time.Millisecond
)

// Share is the message in which a reader sends the instance list and the loads of
// engines to other daemons.
type Share struct {
	From                      string                      `json:"from"`
	Age                       time.Duration               `json:"age"`             // time since the last successful read of the list
	ConfigurationVersion      uint64                      `json:"table"`           // version of the active configuration
	ConfigurationAge          time.Duration               `json:"read"`            // time since the last successful read of the configuration
	ConfigurationPosition     uint64                      `json:"offset"`          // position up to which the configuration's feed is known; 0 if unknown
	ListPosition              uint64                      `json:"position"`        // position up to which the list's feed is known; 0 if unknown
	ListVersion               uint64                      `json:"listed"`          // version of the sender's list
	Complete                  bool                        `json:"whole,omitempty"` // InstanceList is set
	cowslipproxy.InstanceList                             // the complete list, if the receiver does not have it
	Loads                     map[string]float64          `json:"loads,omitempty"`  // load by engine or plain server, without the receiver's own
	Speeds                    []cowslipproxy.EngineReport `json:"speeds,omitempty"` // of slow, recovered and unusable engines
	RequestList               bool                        `json:"ask,omitempty"`    // the sender cannot read the store and requests the list
}

// Check reports the first invalid field.
func (s Share) Check() error {
	if s.From == "" || s.Age < 0 || s.ConfigurationAge < 0 {
		return errors.Errorf("sender %q, ages %v and %v: want a non-empty sender and ages of at least 0", s.From, s.Age, s.ConfigurationAge)
	}
	for _, speed := range s.Speeds {
		if err := speed.Check(); err != nil {
			return err
		}
	}
	return s.InstanceList.Check()
}

// Reply is the response to a share.
type Reply struct {
	Reader                    string                      `json:"reader"`           // daemon whose list the replying daemon holds
	ListVersion               uint64                      `json:"listed"`           // version of that list
	ListPosition              uint64                      `json:"position"`         // position up to which the list's feed is known; 0 if unknown
	ConfigurationVersion      uint64                      `json:"table"`            // version of the active configuration
	ConfigurationAge          time.Duration               `json:"read"`             // time since the last successful read of the configuration, in a reply to a request
	Age                       time.Duration               `json:"age"`              // age of its list
	Loads                     map[string]float64          `json:"loads,omitempty"`  // load of its own requests by engine or plain server
	Speeds                    []cowslipproxy.EngineReport `json:"speeds,omitempty"` // of slow, recovered and unusable engines
	cowslipproxy.InstanceList                             // the complete list, if it was requested
}

// Check reports the first invalid field.
func (r Reply) Check() error {
	return Share{From: "answer", Age: r.Age, ConfigurationAge: r.ConfigurationAge, InstanceList: r.InstanceList, Speeds: r.Speeds}.Check()
}
