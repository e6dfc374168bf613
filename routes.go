package cowslipproxy

import (
	"time"

	"github.com/pkg/errors"
)

// Table is a whole configuration of the relay, as operators publish it at once.
type Table struct {
	Version   uint64
	Routes    []Route
	Services  []RelayService
	Customers []RelayCustomer // empty when requests carry no key
	Limits    CallerLimits
}

// Check reports what makes the table unusable.
func (t Table) Check() error {
	if t.Version == 0 {
		return errors.New("version: found 0, accepted are numbers from 1")
	}
	services := map[string]bool{}
	for _, service := range t.Services {
		services[service.Name] = true
	}
	for _, route := range t.Routes {
		if err := route.Check(); err != nil {
			return errors.Wrapf(err, "route %s", route.Name)
		}
		for _, share := range route.Shares {
			if !services[share.Service] {
				return errors.Errorf("route %s: found service %q, accepted are declared services", route.Name, share.Service)
			}
		}
	}
	return nil
}

// Route says which requests go to which services, and how they are treated.
type Route struct {
	Name      string
	Host      string
	Prefix    string // of the path; the longest one that matches wins
	Effect    Effect // EffectOnce unless any server may run the request again
	Stream    bool   // the answer is a stream of events
	Resumable bool   // a stream may go on at another server after its last event
	Public    bool   // needs no key
	Shares    []Share
	Attempts  int           // most servers to which one request is sent
	Priority  int           // 0 goes first
	Timeout   time.Duration // longest wait for the whole answer
	Target    time.Duration // time in which an answer, or the first event of a stream, is worth most
	Pause     time.Duration // longest pause between two events of a stream that is in time
}

// Check reports the first field that is out of range.
func (r Route) Check() error {
	if r.Host == "" || r.Prefix == "" || r.Prefix[0] != '/' {
		return errors.Errorf("found host %q and prefix %q, accepted are a name and a path", r.Host, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return errors.New("services: found none, accepted are one or more")
	}
	return nil
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  float64
}

// RelayService is a service as operators declare it for the relay.
type RelayService struct {
	Name   string
	Engine *EngineProfile // nil for a plain service
}

// IsSplit reports whether the service's engines hold ranges of a model's layers.
func (s RelayService) IsSplit() bool { return s.Engine != nil && s.Engine.Layers > 0 }

// RelayCustomer is a customer with its bearer keys.
type RelayCustomer struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's; nil when none is declared
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	Body int64 // bytes
}

// EngineProfile tells how the engines of a service work.
type EngineProfile struct {
	Load       time.Duration // to load all layers of the slowest model
	Kinds      map[string]AcceleratorKind
	Layers     int     // of the model; 0 when each engine holds all of it
	LayerSize  float64 // megabytes
	TokenSize  float64 // bytes of KV cache of one token in all layers
	Step       time.Duration
	Reading    float64 // tokens per second that an engine with all layers reads
	Chunk      int     // most tokens that are read in one step
	Stride     int     // steps between two reads
	Prompt     int     // mean prompt, in tokens
	Answer     int     // mean answer, in tokens
	Activation float64 // bytes that a token sends to the next engine
	Pipe       float64 // megabits per second between two data centres
	Loads      int     // loads of weights at once before they slow each other
}

// AcceleratorKind tells how a kind of accelerator differs from the reference.
type AcceleratorKind struct {
	Memory float64 // megabytes
	Pace   float64 // factor of the time of a decode step
	Read   float64 // factor of the time to read tokens
}
