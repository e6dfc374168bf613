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
		Health:  r.health,
		Dump:    func() any { return r.dump() },
		Explain: func(q operator.Question) (any, error) { return r.explain(q) },
		Drain:   func(order operator.Drain) { r.pool.Drain(order.Upstream, order.On) },
		Stop:    r.beginStop,
		Lift:    r.lift,
		Version: func() any { return versions{Version: Version, Go: runtime.Version()} },
		Metrics: r.Metrics,
		Refresh: r.refreshGauges,
	}
	return server.Handler()
}

type versions struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (r *Router) health() operator.Health {
	settled, ready := r.follower.Current()
	ready = ready && len(settled.Customers) > 0 // as the callers' listener decides
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	return operator.Health{Name: r.owner.Key(), Ready: ready, Phase: string(r.stopper.Phase()), Offset: settled.Offset}
}

// Dump is the state of a daemon. It holds no keys and no content of requests.
type Dump struct {
	operator.Health
	Started    time.Time             `json:"started"`
	Centre     string                `json:"centre"`
	Inflight   int64                 `json:"inflight"`
	Violations int64                 `json:"violations"`
	Models     []cowslipproxy.Model  `json:"models"`
	Services   []string              `json:"services"`
	Customers  []Holding             `json:"customers"`
	Members    []cowslipproxy.Member `json:"members"`
	List       lister.List           `json:"list"`
	Claims     claimer.Counts        `json:"claims"`
	Appends    committer.Counts      `json:"appends"`
	Upstreams  pooler.Dump           `json:"upstreams"`
	Suspects   []Suspect             `json:"suspects"`
}

// Suspect is a request that may be poison.
type Suspect struct {
	quarantiner.Record
	Fingerprint string            `json:"fingerprint"` // in the form that lifts it
	State       quarantiner.State `json:"state"`
}

// Holding is what a daemon holds of a customer's limit.
type Holding struct {
	Name  string             `json:"name"`
	Class cowslipproxy.Class `json:"class"`
	Rate  float64            `json:"rate"`  // tokens per second
	Share float64            `json:"share"` // part of it that this daemon holds
}

func (r *Router) dump() Dump {
	settled, _ := r.follower.Current()
	dump := Dump{
		Health:     r.health(),
		Started:    r.started,
		Centre:     r.Settings.Centre,
		Inflight:   r.caller.InFlight(),
		Violations: r.checker.Violations(),
		Models:     settled.Models,
		Members:    r.gossiper.Members(),
		List:       r.lister.Last(),
		Claims:     r.claimer.Counts(),
		Appends:    r.committer.Counts(),
		Upstreams:  r.pool.Dump(),
		Suspects:   r.suspects(r.Clock()),
	}
	for _, service := range settled.Services {
		dump.Services = append(dump.Services, service.Name)
	}
	for _, customer := range settled.Customers {
		dump.Customers = append(dump.Customers, Holding{Name: customer.Name, Class: customer.Class, Rate: customer.Rate, Share: r.limits.Share(customer.Name)})
	}
	return dump
}

func (r *Router) suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for _, record := range r.quarantiner.Records(now) {
		suspects = append(suspects, Suspect{Record: record, Fingerprint: fingerprint(record.RequestFingerprint), State: r.quarantiner.State(now, record.RequestFingerprint)})
	}
	return suspects
}

// Explanation says what a daemon would decide for a request.
type Explanation struct {
	Offset   uint64               `json:"offset"` // log offset of the configuration
	Customer Holding              `json:"customer"`
	Priority int                  `json:"priority"`
	Effect   cowslipproxy.Effect  `json:"effect"`
	Tokens   int                  `json:"tokens,omitempty"` // that the limit is charged with at first
	Chain    *chooser.Explanation `json:"chain,omitempty"`
	Upstream string               `json:"upstream,omitempty"`
}

func (r *Router) explain(question operator.Question) (Explanation, error) {
	settled, ready := r.follower.Current()
	if !ready {
		return Explanation{}, errors.New("this daemon has no configuration yet")
	}
	explanation := Explanation{Offset: settled.Offset}
	found := false
	for _, customer := range settled.Customers {
		if customer.Name == question.Customer {
			found = true
			explanation.Customer = Holding{Name: customer.Name, Class: customer.Class, Rate: customer.Rate, Share: r.limits.Share(customer.Name)}
			explanation.Priority = customer.Class.Priority()
		}
	}
	if !found {
		return explanation, errors.Errorf("customer: found %q, accepted are the declared customers", question.Customer)
	}
	if question.Service != "" {
		return r.explainService(explanation, settled, question)
	}
	return r.explainModel(explanation, settled, question)
}

func (r *Router) explainModel(explanation Explanation, settled cowslipproxy.Settled, question operator.Question) (Explanation, error) {
	name, adapter, _ := strings.Cut(question.Model, ":")
	model, ok := settled.Model(name)
	if !ok || adapter != "" && !model.HasAdapter(adapter) {
		return explanation, errors.Errorf("model: found %q, accepted are the declared models and adapters", question.Model)
	}
	const bytesPerToken = 4
	explanation.Effect = model.Effect
	explanation.Tokens = len(question.Prompt)/bytesPerToken + question.Max
	chain := r.pool.Explain(r.Clock(), cowslipproxy.Need{
		Model: model.Name, Version: model.Version, Adapter: adapter,
		Range:    cowslipproxy.LayerRange{First: 0, End: model.Layers},
		Prefixes: cowslipproxy.PrefixHashes(model.Name, question.Prompt),
		Tokens:   len(question.Prompt)/bytesPerToken + 1,
		Output:   question.Max,
	})
	explanation.Chain = &chain
	return explanation, nil
}

func (r *Router) explainService(explanation Explanation, settled cowslipproxy.Settled, question operator.Question) (Explanation, error) {
	service, ok := settled.Service(question.Service)
	if !ok {
		return explanation, errors.Errorf("service: found %q, accepted are the declared services", question.Service)
	}
	explanation.Effect = service.EffectOf(question.Method, question.Path)
	var err error
	if explanation.Upstream, err = r.pool.ExplainService(r.Clock(), service.Name); err != nil {
		return explanation, err
	}
	return explanation, nil
}
