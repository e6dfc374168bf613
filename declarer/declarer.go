// Package declarer is the library for programs that declare customers, models and
// services. It prints the configuration file that cowslipctl checks and publishes.
// Besides the configuration types, it imports nothing of the daemon.
package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Classes of customers, highest priority first.
const (
	Critical = cowslipproxy.ClassCritical
	High     = cowslipproxy.ClassHigh
	Normal   = cowslipproxy.ClassNormal
)

// Effects of requests. Requests with the effect Once are non-idempotent.
const (
	Repeat = cowslipproxy.EffectRepeat
	Once   = cowslipproxy.EffectOnce
)

// minKeyLength is the minimum length of a bearer key, in characters. The published
// digests are unsalted, so short keys could be found by brute force.
const minKeyLength = 20

// Customer declares a customer.
type Customer struct {
	Name  string
	Keys  []string // bearer keys in plain text; only their digests are printed
	Class cowslipproxy.Class
	Rate  float64 // tokens per second
	Burst float64 // tokens; 0 means ten seconds of Rate
}

// Model declares a model. Its requests are idempotent unless Effect is Once.
type Model struct {
	Name     string
	Version  string
	Layers   int
	Window   int // maximum context length, in tokens
	Adapters []string
	Effect   cowslipproxy.Effect // "" means Repeat
	Replicas int                 // 0 means 2
	Fenced   bool                // its engines reject orders with an outdated fencing token
}

// Service declares a plain service.
type Service struct {
	Name    string
	Effect  cowslipproxy.Effect // of requests that match no rule; "" means Once, the safe choice
	Rules   []cowslipproxy.Rule // the first matching rule applies
	Timeout time.Duration       // 0 means 10 s
	Keyed   bool                // the service itself honours idempotency keys
	Fenced  bool                // the service checks fencing tokens
	Urgent  bool                // takes priority over requests to models
}

// RunsOnce returns a rule that declares requests with the given method and path prefix
// as non-idempotent. The method "*" matches any method.
func RunsOnce(method, path string) cowslipproxy.Rule {
	return cowslipproxy.Rule{Method: method, Path: path, Effect: Once}
}

// MayRepeat returns a rule that declares requests with the given method and path prefix
// as idempotent. The method "*" matches any method.
func MayRepeat(method, path string) cowslipproxy.Rule {
	return cowslipproxy.Rule{Method: method, Path: path, Effect: Repeat}
}

// Declaration is the complete declaration of an operator.
type Declaration struct {
	Customers []Customer
	Models    []Model
	Services  []Service
}

// Configuration returns the configuration to publish. It returns an error for a short
// or shared bearer key and for a name that is declared twice. All other fields are
// validated by "cowslipctl check" and by each daemon.
func (d Declaration) Configuration() (cowslipproxy.Configuration, error) {
	configuration := cowslipproxy.Configuration{
		Customers: []cowslipproxy.Customer{}, Models: []cowslipproxy.Model{}, Services: []cowslipproxy.Service{},
	}
	owners := map[string]string{}
	for _, customer := range d.Customers {
		var declared cowslipproxy.Customer
		var err error
		if declared, err = customer.declare(owners); err != nil {
			return configuration, errors.Wrapf(err, "customer %s", customer.Name)
		}
		configuration.Customers = append(configuration.Customers, declared)
	}
	for _, model := range d.Models {
		configuration.Models = append(configuration.Models, model.declare())
	}
	for _, service := range d.Services {
		configuration.Services = append(configuration.Services, service.declare())
	}
	return configuration, configuration.Check()
}

// declare returns the customer with the digests of its keys, and adds these to owners,
// which maps the digests of all keys to their customers. It returns an error if a key
// is too short or is in owners already: a request with a key of two customers could
// belong to either of them.
func (c Customer) declare(owners map[string]string) (cowslipproxy.Customer, error) {
	declared := cowslipproxy.Customer{Name: c.Name, Class: c.Class, Rate: c.Rate, Burst: c.Burst}
	if c.Burst == 0 {
		declared.Burst = 10 * c.Rate
	}
	for i, key := range c.Keys {
		if len(key) < minKeyLength {
			return declared, errors.Errorf("key %d: length of %d characters is not at least %d", i, len(key), minKeyLength)
		}
		digest := sha256.Sum256([]byte(key))
		hexDigest := hex.EncodeToString(digest[:])
		if owner, ok := owners[hexDigest]; ok {
			return declared, errors.Errorf("key %d: same key as customer %s; keys must be unique", i, owner)
		}
		owners[hexDigest] = c.Name
		declared.Keys = append(declared.Keys, hexDigest)
	}
	return declared, nil
}

func (m Model) declare() cowslipproxy.Model {
	declared := cowslipproxy.Model{
		Name: m.Name, Version: m.Version, Layers: m.Layers, Window: m.Window, Adapters: m.Adapters,
		Effect: m.Effect, Replicas: m.Replicas, Fenced: m.Fenced,
	}
	if m.Effect == "" {
		declared.Effect = Repeat
	}
	if m.Replicas == 0 {
		declared.Replicas = 2
	}
	return declared
}

func (s Service) declare() cowslipproxy.Service {
	declared := cowslipproxy.Service{
		Name: s.Name, Effect: s.Effect, Rules: s.Rules, Timeout: cowslipproxy.Duration(s.Timeout),
		Keyed: s.Keyed, Fenced: s.Fenced, Urgent: s.Urgent,
	}
	if s.Effect == "" {
		declared.Effect = Once
	}
	if s.Timeout == 0 {
		declared.Timeout = cowslipproxy.Duration(10 * time.Second)
	}
	return declared
}

// Write writes the configuration as YAML.
func (d Declaration) Write(w io.Writer) error {
	var configuration cowslipproxy.Configuration
	var err error
	if configuration, err = d.Configuration(); err != nil {
		return err
	}
	return errors.WithStack(yaml.NewEncoder(w, yaml.IndentSequence(true)).Encode(configuration))
}

// Main prints the configuration on standard output. On failure it prints the error and
// exits with status 1. The main function of an operator's program only calls Main.
func (d Declaration) Main() {
	if err := d.Write(os.Stdout); err != nil {
		_, _ = io.WriteString(os.Stderr, "declaration: "+err.Error()+"\n")
		os.Exit(1)
	}
}

// Key returns the value of an environment variable, so that bearer keys are not stored
// in source code.
func Key(variable string) string { return os.Getenv(variable) }
