package router

import (
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/committer"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/operator"
	"github.com/cowslipproxy/cowslipproxy/pooler"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

// Version is the version of the daemon.
const Version = "0.1.0"

func (r *Router) operatorHandler() http.Handler {
	server := &operator.Server{
		Health:         r.health,
		Dump:           func() any { return r.dump() },
		Explain:        func(request operator.ExplainRequest) (any, error) { return r.explain(request) },
		Drain:          func(drain operator.DrainRequest) { r.pool.Drain(drain.Upstream, drain.On) },
		Stop:           r.beginStop,
		Lift:           r.liftQuarantine,
		Version:        func() any { return versions{Version: Version, Go: runtime.Version()} },
		Metrics:        r.Metrics,
		RefreshMetrics: r.refreshGauges,
	}
	return server.Handler()
}

type versions struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (r *Router) health() operator.Health {
	configuration, ready := r.follower.Current()
	ready = ready && len(configuration.Customers) > 0 // the same condition as in caller.Server
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	return operator.Health{Name: r.owner.Key(), Ready: ready, Phase: string(r.stopper.Phase()), Offset: configuration.Offset}
}

// Dump is the state of a daemon. It contains neither keys nor request content.
type Dump struct {
	operator.Health
	Started    time.Time             `json:"started"`
	Centre     string                `json:"centre"`
	Inflight   int64                 `json:"inflight"`
	Violations int64                 `json:"violations"`
	Models     []cowslipproxy.Model  `json:"models"`
	Services   []string              `json:"services"`
	Customers  []CustomerShare       `json:"customers"`
	Members    []cowslipproxy.Member `json:"members"`
	List       lister.List           `json:"list"`
	Claims     claimer.Counts        `json:"claims"`
	Appends    committer.Counts      `json:"appends"`
	Upstreams  pooler.Dump           `json:"upstreams"`
	Suspects   []Suspect             `json:"suspects"`
}

// Suspect is a request that may crash the upstreams that run it.
type Suspect struct {
	quarantiner.Record
	Fingerprint string            `json:"fingerprint"` // hexadecimal, as in the path /v1/quarantine/{fingerprint}
	State       quarantiner.State `json:"state"`
}

// CustomerShare is a daemon's share of a customer's rate limit.
type CustomerShare struct {
	Name  string             `json:"name"`
	Class cowslipproxy.Class `json:"class"`
	Rate  float64            `json:"rate"`  // tokens per second
	Share float64            `json:"share"` // fraction of the rate that is assigned to this daemon
}

func (r *Router) dump() Dump {
	configuration, _ := r.follower.Current()
	dump := Dump{
		Health:     r.health(),
		Started:    r.started,
		Centre:     r.Settings.Centre,
		Inflight:   r.caller.InFlight(),
		Violations: r.checker.Violations(),
		Models:     configuration.Models,
		Members:    r.gossiper.Members(),
		List:       r.lister.Last(),
		Claims:     r.claimer.Counts(),
		Appends:    r.committer.Counts(),
		Upstreams:  r.pool.Dump(),
		Suspects:   r.suspects(r.Clock()),
	}
	for _, service := range configuration.Services {
		dump.Services = append(dump.Services, service.Name)
	}
	for _, customer := range configuration.Customers {
		dump.Customers = append(dump.Customers, CustomerShare{Name: customer.Name, Class: customer.Class, Rate: customer.Rate, Share: r.limits.Share(customer.Name)})
	}
	return dump
}

func (r *Router) suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for _, record := range r.quarantiner.Records(now) {
		suspects = append(suspects, Suspect{Record: record, Fingerprint: formatFP(record.RequestFingerprint), State: r.quarantiner.State(now, record.RequestFingerprint)})
	}
	return suspects
}

// Explanation describes what a daemon would decide for a request.
type Explanation struct {
	Offset   uint64               `json:"offset"` // log offset of the configuration
	Customer CustomerShare        `json:"customer"`
	Priority int                  `json:"priority"`
	Effect   cowslipproxy.Effect  `json:"effect"`
	Tokens   int                  `json:"tokens,omitempty"` // initially charged to the rate limit
	Chain    *chooser.Explanation `json:"chain,omitempty"`
	Upstream string               `json:"upstream,omitempty"`
}

func (r *Router) explain(request operator.ExplainRequest) (Explanation, error) {
	configuration, ready := r.follower.Current()
	if !ready {
		return Explanation{}, errors.New("this daemon has not loaded a configuration yet")
	}
	explanation := Explanation{Offset: configuration.Offset}
	found := false
	for _, customer := range configuration.Customers {
		if customer.Name == request.Customer {
			found = true
			explanation.Customer = CustomerShare{Name: customer.Name, Class: customer.Class, Rate: customer.Rate, Share: r.limits.Share(customer.Name)}
			explanation.Priority = customer.Class.Priority()
		}
	}
	if !found {
		return explanation, errors.Errorf("customer: %q is not one of the declared customers", request.Customer)
	}
	if request.Service != "" {
		return r.explainService(explanation, configuration, request)
	}
	return r.explainModel(explanation, configuration, request)
}

func (r *Router) explainModel(explanation Explanation, configuration cowslipproxy.ActiveConfiguration, request operator.ExplainRequest) (Explanation, error) {
	name, adapter, _ := strings.Cut(request.Model, ":")
	model, ok := configuration.Model(name)
	if !ok || adapter != "" && !model.HasAdapter(adapter) {
		return explanation, errors.Errorf("model: %q is not one of the declared models and adapters", request.Model)
	}
	const bytesPerToken = 4
	explanation.Effect = model.Effect
	explanation.Tokens = len(request.Prompt)/bytesPerToken + request.Max
	chain := r.pool.Explain(r.Clock(), cowslipproxy.Requirements{
		Model: model.Name, Version: model.Version, Adapter: adapter,
		Range:    cowslipproxy.LayerRange{First: 0, End: model.Layers},
		Prefixes: cowslipproxy.PrefixHashes(model.Name, request.Prompt),
		Tokens:   len(request.Prompt)/bytesPerToken + 1,
		Output:   request.Max,
	})
	explanation.Chain = &chain
	return explanation, nil
}

func (r *Router) explainService(explanation Explanation, configuration cowslipproxy.ActiveConfiguration, request operator.ExplainRequest) (Explanation, error) {
	service, ok := configuration.Service(request.Service)
	if !ok {
		return explanation, errors.Errorf("service: %q is not one of the declared services", request.Service)
	}
	explanation.Effect = service.EffectOf(request.Method, request.Path)
	var err error
	if explanation.Upstream, err = r.pool.ExplainService(r.Clock(), service.Name); err != nil {
		return explanation, err
	}
	return explanation, nil
}
