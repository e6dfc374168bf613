package cowslipproxy

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Class is a customer's priority class.
type Class string

// Classes of customers, in order of decreasing priority.
const (
	ClassCritical Class = "critical"
	ClassHigh     Class = "high"
	ClassNormal   Class = "normal"
)

// Priority returns the priority of the class as a number. Larger values are served
// first.
func (c Class) Priority() int {
	switch c {
	case ClassCritical:
		return 2
	case ClassHigh:
		return 1
	default:
		return 0
	}
}

// Effect states whether a request may run more than once.
type Effect string

// Effects of requests.
const (
	EffectRepeat Effect = "repeat" // idempotent
	EffectOnce   Effect = "once"   // non-idempotent
)

// Customer is a caller's organisation or team.
type Customer struct {
	Name  string   `json:"name" validate:"required,max=64,label"`
	Keys  []string `json:"keys" validate:"required,max=8,dive,len=64,hexadecimal"` // SHA-256 of bearer keys, in hex
	Class Class    `json:"class" validate:"oneof=critical high normal"`
	Rate  float64  `json:"rate" validate:"gt=0,lte=1e9"`   // tokens per second
	Burst float64  `json:"burst" validate:"gt=0,lte=1e10"` // tokens
}

// Model is a declared model. Each engine holds a range of its layers.
type Model struct {
	Name     string   `json:"name" validate:"required,max=64,label"`
	Version  string   `json:"version" validate:"required,max=64"`
	Layers   int      `json:"layers" validate:"gte=1,lte=1000"`
	Window   int      `json:"window" validate:"gte=1,lte=10000000"` // maximum context length, in tokens
	Adapters []string `json:"adapters,omitempty" validate:"max=100,dive,required,max=64"`
	Effect   Effect   `json:"effect" validate:"oneof=repeat once"`
	Replicas int      `json:"replicas" validate:"gte=1,lte=1000"`
	Stage    int      `json:"stage,omitempty" validate:"gte=0,lte=1000"` // layers per stage if the router places the model; 0 if operators place it
	Fenced   bool     `json:"fenced"`                                    // engines reject orders with an outdated fencing token
}

// Service is a plain service: a declared service that is not a model.
type Service struct {
	Name    string   `json:"name" validate:"required,max=64,label"`
	Effect  Effect   `json:"effect" validate:"oneof=repeat once"` // of requests that no rule matches
	Rules   []Rule   `json:"rules,omitempty" validate:"max=100,dive"`
	Timeout Duration `json:"timeout" validate:"gt=0,lte=3600000000000"` // at most an hour
	Keyed   bool     `json:"keyed"`                                     // the servers deduplicate requests by idempotency key themselves
	Fenced  bool     `json:"fenced"`                                    // the servers check fencing tokens
	Urgent  bool     `json:"urgent"`                                    // has priority over model requests
}

// Rule declares the effect of the requests that match it.
type Rule struct {
	Method string `json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE *"`
	Path   string `json:"path" validate:"required,startswith=/,max=256"` // prefix
	Effect Effect `json:"effect" validate:"oneof=repeat once"`
}

// EffectOf returns the effect of a request by the first rule that matches it.
func (s Service) EffectOf(method, path string) Effect {
	for _, rule := range s.Rules {
		if rule.Method != "*" && rule.Method != method {
			continue
		}
		if strings.HasPrefix(path, rule.Path) {
			return rule.Effect
		}
	}
	return s.Effect
}

// Configuration is everything that operators declare.
type Configuration struct {
	Bases     map[string]uint64 `json:"bases,omitempty" validate:"-"` // versions, by scope, that this configuration is based on
	Customers []Customer        `json:"customers" validate:"max=100000,dive"`
	Models    []Model           `json:"models" validate:"max=10000,dive"`
	Services  []Service         `json:"services" validate:"max=10000,dive"`
}

// Check reports the first duplicate name.
func (c Configuration) Check() error {
	seen := map[string]bool{}
	for _, scope := range c.Scopes() {
		if seen[scope] {
			return errors.Errorf("%s: duplicate name; names must be unique", scope)
		}
		seen[scope] = true
	}
	return nil
}

// Scopes returns the scope of each declared item.
func (c Configuration) Scopes() []string {
	var scopes []string
	for _, customer := range c.Customers {
		scopes = append(scopes, ScopeCustomer+customer.Name)
	}
	for _, model := range c.Models {
		scopes = append(scopes, ScopeModel+model.Name)
	}
	for _, service := range c.Services {
		scopes = append(scopes, ScopeService+service.Name)
	}
	return scopes
}

// Prefixes of configuration scopes.
const (
	ScopeCustomer = "customer/"
	ScopeModel    = "model/"
	ScopeService  = "service/"
)

// StreamConfig is the log stream of the configuration.
const StreamConfig = "config"

// ActiveConfiguration is the configuration that is active on a daemon.
type ActiveConfiguration struct {
	Configuration
	Offset uint64    // log offset of the last record that was applied
	At     time.Time // when it became active on this daemon

	customers map[string]int // index by hashed key; see Indexed
	models    map[string]int
	services  map[string]int
}
