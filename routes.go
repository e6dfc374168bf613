package cowslipproxy

import (
	"time"

	"github.com/pkg/errors"
)

// RelayConfiguration is a complete configuration of the relay. Operators publish it as a
// unit.
type RelayConfiguration struct {
	Version   uint64
	Routes    []Route
	Services  []RelayService
	Customers []RelayCustomer // nil if requests carry no key; an empty list admits nobody to routes that are not public
	Limits    CallerLimits
}

// Check reports the first error in the configuration.
func (c RelayConfiguration) Check() error {
	if c.Version == 0 {
		return errors.New("version: 0 is not at least 1")
	}
	services := map[string]bool{}
	for _, service := range c.Services {
		services[service.Name] = true
	}
	for _, route := range c.Routes {
		if err := route.Check(); err != nil {
			return errors.Wrapf(err, "route %s", route.Name)
		}
		for _, share := range route.Shares {
			if !services[share.Service] {
				return errors.Errorf("route %s: service %q is not declared", route.Name, share.Service)
			}
		}
	}
	return nil
}

// Route maps requests to services and sets how they are handled.
type Route struct {
	Name      string
	Host      string
	Prefix    string // path prefix; the longest match applies
	Effect    Effect // EffectOnce unless any server may run the request again
	Stream    bool   // the answer is a stream of events
	Resumable bool   // a stream may be resumed at another server after its last event
	Public    bool   // needs no key
	Shares    []Share
	Attempts  int           // maximum number of servers to which one request is sent
	Priority  int           // 0 is the highest
	Timeout   time.Duration // maximum time until the answer is complete
	Target    time.Duration // target for the time to an answer, or to the first event of a stream
	Pause     time.Duration // target for the time between two events of a stream
}

// Check reports the first invalid field.
func (r Route) Check() error {
	if r.Host == "" || r.Prefix == "" || r.Prefix[0] != '/' {
		return errors.Errorf("host %q is empty or prefix %q is not a path that starts with /", r.Host, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return errors.New("services: at least one is required")
	}
	return nil
}

// Share is the weight by which a service gets requests of a route.
type Share struct {
	Service string
	Weight  float64
}

// RelayService is a service that operators declare for the relay.
type RelayService struct {
	Name   string
	Engine *EngineProfile // nil for a plain service
}

// IsSplit reports whether each of the service's engines holds a range of a model's
// layers.
func (s RelayService) IsSplit() bool { return s.Engine != nil && s.Engine.Layers > 0 }

// RelayCustomer is a customer with its bearer keys.
type RelayCustomer struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's priority; nil if none is declared
}

// CallerLimits limits the size of callers' requests.
type CallerLimits struct {
	Body int64 // bytes
	Head int64 // bytes of the request line and the header; 0 if none is declared
}

// EngineProfile describes the performance of a service's engines.
type EngineProfile struct {
	Load       time.Duration // time to load all layers of the slowest model
	Kinds      map[string]AcceleratorKind
	Layers     int           // layers of the model; 0 if each engine holds all of them
	LayerSize  float64       // size of a layer's weights, in megabytes
	TokenSize  float64       // bytes of KV cache per token in all layers
	Step       time.Duration // time of a decode step through all layers, on the reference kind
	Reading    float64       // prefill rate of an engine with all layers, in tokens per second
	Chunk      int           // maximum number of prompt tokens per prefill step
	Stride     int           // steps between two prefill steps
	Prompt     int           // mean prompt length, in tokens
	Answer     int           // mean answer length, in tokens
	Activation float64       // bytes of activations per token that are sent to the next engine
	Pipe       float64       // bandwidth between two data centres, in megabits per second
	Loads      int           // number of concurrent weight loads above which they slow each other down
}

// AcceleratorKind describes a kind of accelerator relative to the reference kind.
type AcceleratorKind struct {
	Memory float64 // megabytes
	Pace   float64 // factor on the time of a decode step
	Read   float64 // factor on the time to prefill tokens
}
