package follower

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

// appendsAtOnce bounds the appends in flight: a round trip of 5 ms then takes a
// publication to the several hundred appends a second that the log allows.
const appendsAtOnce = 4

// publishTime is the default time for appends and for reading verdicts back.
const publishTime = 10 * time.Second

// Publisher publishes a configuration to the log.
type Publisher struct {
	Log     cowslipproxy.Log
	Timeout time.Duration // for appends and for verdicts; 0 means 10 s
	Prune   bool          // without bases: delete scopes that the configuration doesn't have
}

// Result tells what became of a scope.
type Result struct {
	Scope   string           `json:"scope"`
	Verdict resolver.Verdict `json:"verdict"`
	Base    uint64           `json:"base"`
	ID      string           `json:"id,omitempty"` // empty when the scope was in force already
	Reason  string           `json:"reason,omitempty"`
}

// ReadAll folds the configuration stream to its end.
func ReadAll(ctx context.Context, log cowslipproxy.Log) (*resolver.Resolver, error) {
	r := &resolver.Resolver{MaxVerdicts: math.MaxInt32}
	for {
		var atEnd bool
		var err error
		if atEnd, _, err = readOnce(ctx, log, r, 0); err != nil {
			return nil, err
		}
		if r.Ready() {
			return r, nil
		}
		if atEnd && r.HasGap() {
			return nil, errors.Errorf("the log starts at offset %d and holds no snapshot of what was before; a daemon appends one", r.OldestOffset())
		}
	}
}

// readOnce folds one batch and reports whether it was empty.
func readOnce(ctx context.Context, log cowslipproxy.Log, r *resolver.Resolver, wait time.Duration) (bool, []resolver.Outcome, error) {
	var batch cowslipproxy.Batch
	var err error
	if batch, err = log.Read(ctx, cowslipproxy.StreamConfig, r.Next(), wait); err != nil {
		return false, nil, err
	}
	var outcomes []resolver.Outcome
	if outcomes, err = r.Apply(batch, time.Now()); err != nil {
		return false, outcomes, err
	}
	return len(batch.Entries) == 0, outcomes, nil
}

// Publish appends the scopes that differ from the configuration in force, and
// reads their verdicts back. It appends nothing when it returns an error. Its ids
// follow from scope, base and body, so publishing again is safe at any time.
// Bases of the configuration, when given, are the versions that the operator
// started from; else the versions in the log are.
func (p *Publisher) Publish(ctx context.Context, configuration cowslipproxy.Configuration) ([]Result, error) {
	timeout := p.Timeout
	if timeout == 0 {
		timeout = publishTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r *resolver.Resolver
	var err error
	if r, err = ReadAll(ctx, p.Log); err != nil {
		return nil, errors.Wrap(err, "nothing was appended")
	}
	var changes []resolver.Change
	if changes, err = p.changes(configuration, r); err != nil {
		return nil, errors.Wrap(err, "nothing was appended")
	}
	results := make([]Result, len(changes))
	pending := map[string]*waiting{}
	for i, change := range changes {
		results[i] = judge(change, r)
		if results[i].Verdict != resolver.VerdictUnknown {
			continue
		}
		var data []byte
		if data, err = resolver.Encode(change); err != nil {
			return nil, errors.Wrap(err, "nothing was appended")
		}
		wait := &waiting{result: &results[i], data: data}
		wait.ctx, wait.stop = context.WithCancel(ctx)
		defer wait.stop()
		pending[change.ID] = wait
	}
	p.appendAndRead(ctx, r, pending)
	return results, nil
}

// waiting is a change without a verdict. Its context ends with the verdict, which
// also ends further attempts to append it.
type waiting struct {
	result *Result
	data   []byte
	ctx    context.Context
	stop   context.CancelFunc
}

// appendAndRead appends the changes and meanwhile reads their verdicts. An append
// without an answer may have taken effect; only the verdict tells.
func (p *Publisher) appendAndRead(ctx context.Context, r *resolver.Resolver, pending map[string]*waiting) {
	var appends errgroup.Group
	appends.SetLimit(appendsAtOnce)
	waits := make([]*waiting, 0, len(pending))
	for _, wait := range pending {
		waits = append(waits, wait)
	}
	var appending sync.WaitGroup
	appending.Go(func() {
		for _, wait := range waits {
			appends.Go(func() error { return appendAgain(wait.ctx, p.Log, wait.data, math.MaxInt, nil) })
		}
		_ = appends.Wait() // changes without a verdict are reported as unknown
	})
	p.readBack(ctx, r, pending)
	for _, wait := range waits {
		wait.stop()
	}
	appending.Wait()
}

// judge returns what is known of a change before it is appended.
func judge(change resolver.Change, r *resolver.Resolver) Result {
	result := Result{Scope: change.Scope, Base: change.Base, Verdict: resolver.VerdictUnknown}
	if string(r.Body(change.Scope)) == string(change.Body) {
		result.Verdict = resolver.VerdictAccepted
		return result
	}
	result.ID = change.ID
	if verdict, ok := r.Verdict(change.ID); ok {
		result.Verdict = verdict
		return result
	}
	if err := change.Check(); err != nil {
		result.Verdict, result.Reason = resolver.VerdictInvalid, err.Error()
	}
	return result
}

// readBack fills in the verdicts that come before the time is up.
func (p *Publisher) readBack(ctx context.Context, r *resolver.Resolver, pending map[string]*waiting) {
	var pause backoff
	for len(pending) > 0 && ctx.Err() == nil {
		_, outcomes, err := readOnce(ctx, p.Log, r, readWait)
		for _, outcome := range outcomes {
			wait, ok := pending[outcome.ID]
			if !ok || outcome.Verdict == "" {
				continue
			}
			wait.result.Verdict = outcome.Verdict
			if outcome.Err != nil {
				wait.result.Reason = outcome.Err.Error()
			}
			wait.stop()
			delete(pending, outcome.ID)
		}
		if err != nil && !pause.wait(ctx) {
			return
		}
	}
}

// changes returns a change for each declared scope and each scope to delete.
func (p *Publisher) changes(configuration cowslipproxy.Configuration, r *resolver.Resolver) ([]resolver.Change, error) {
	var changes []resolver.Change
	declared := map[string]bool{}
	add := func(scope string, value any) error {
		change := resolver.Change{Kind: resolver.KindChange, Scope: scope, Base: r.Version(scope)}
		if configuration.Bases != nil {
			change.Base = configuration.Bases[scope]
		}
		if value != nil {
			var err error
			if change.Body, err = resolver.Encode(value); err != nil {
				return err
			}
		}
		change.ID = changeID(scope, change.Base, change.Body)
		declared[scope] = true
		changes = append(changes, change)
		return nil
	}
	for _, customer := range configuration.Customers {
		if err := add(cowslipproxy.ScopeCustomer+customer.Name, customer); err != nil {
			return nil, err
		}
	}
	for _, model := range configuration.Models {
		if err := add(cowslipproxy.ScopeModel+model.Name, model); err != nil {
			return nil, err
		}
	}
	for _, service := range configuration.Services {
		if err := add(cowslipproxy.ScopeService+service.Name, service); err != nil {
			return nil, err
		}
	}
	for _, scope := range p.deletions(configuration, declared, r) {
		if err := add(scope, nil); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// deletions returns the scopes in force that the operator has left out. A scope
// that the bases don't name may have been added by another operator and stays.
func (p *Publisher) deletions(configuration cowslipproxy.Configuration, declared map[string]bool, r *resolver.Resolver) []string {
	known := configuration.Bases
	if known == nil && p.Prune {
		known = r.Settled().Bases
	}
	var scopes []string
	for scope := range known {
		if !declared[scope] && r.Body(scope) != nil {
			scopes = append(scopes, scope)
		}
	}
	sort.Strings(scopes)
	return scopes
}

func changeID(scope string, base uint64, body json.RawMessage) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%d\n%s", scope, base, body))
	return hex.EncodeToString(sum[:16])
}
