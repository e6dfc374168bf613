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

// maxConcurrentAppends is the maximum number of appends in flight. With a round trip
// of 5 ms, a publication reaches the several hundred appends per second that the log
// supports.
const maxConcurrentAppends = 4

// publishTimeout is the default timeout for appending changes and reading their
// verdicts.
const publishTimeout = 10 * time.Second

// Publisher publishes a configuration to the log.
type Publisher struct {
	Log     cowslipproxy.Log
	Timeout time.Duration // of Publish as a whole; 0 means 10 s
	Prune   bool          // if the configuration has no bases: delete scopes that are missing from it
}

// Result is the result of publishing one scope.
type Result struct {
	Scope   string           `json:"scope"`
	Verdict resolver.Verdict `json:"verdict"`
	Base    uint64           `json:"base"`
	ID      string           `json:"id,omitempty"` // empty if the published body was already active
	Reason  string           `json:"reason,omitempty"`
}

// ReadAll reads the configuration stream to its end and returns a resolver that has
// applied all records.
func ReadAll(ctx context.Context, log cowslipproxy.Log) (*resolver.Resolver, error) {
	r := &resolver.Resolver{MaxVerdicts: math.MaxInt32}
	for {
		var atEnd bool
		var err error
		if atEnd, _, err = readAndApply(ctx, log, r, 0); err != nil {
			return nil, err
		}
		if r.Ready() {
			return r, nil
		}
		if atEnd && r.HasGap() {
			return nil, errors.Errorf("the log starts at offset %d and contains no snapshot of the earlier records; retry after a daemon has appended one", r.OldestOffset())
		}
	}
}

// readAndApply reads and applies one batch and reports whether the batch was empty.
func readAndApply(ctx context.Context, log cowslipproxy.Log, r *resolver.Resolver, wait time.Duration) (bool, []resolver.Outcome, error) {
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

// Publish appends the scopes that differ from the active configuration, and reads
// their verdicts. It appends nothing if it returns an error. Change ids are
// derived from scope, base and body, so publishing again is always safe. If the
// configuration has bases, they are the versions that the operator edited;
// otherwise the versions in the log are the bases.
func (p *Publisher) Publish(ctx context.Context, configuration cowslipproxy.Configuration) ([]Result, error) {
	timeout := p.Timeout
	if timeout == 0 {
		timeout = publishTimeout
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
	pending := map[string]*pendingChange{}
	for i, change := range changes {
		results[i] = initialResult(change, r)
		if results[i].Verdict != resolver.VerdictUnknown {
			continue
		}
		var data []byte
		if data, err = resolver.Encode(change); err != nil {
			return nil, errors.Wrap(err, "nothing was appended")
		}
		item := &pendingChange{result: &results[i], data: data}
		item.ctx, item.stop = context.WithCancel(ctx)
		defer item.stop()
		pending[change.ID] = item
	}
	p.appendAndReadVerdicts(ctx, r, pending)
	return results, nil
}

// pendingChange is a change without a verdict. Its context is cancelled when the
// verdict is read, which also stops attempts to append the change.
type pendingChange struct {
	result *Result
	data   []byte
	ctx    context.Context
	stop   context.CancelFunc
}

// appendAndReadVerdicts appends the changes and concurrently reads their verdicts. An
// append without a response may have succeeded; only the verdict shows whether it did.
func (p *Publisher) appendAndReadVerdicts(ctx context.Context, r *resolver.Resolver, pending map[string]*pendingChange) {
	var appends errgroup.Group
	appends.SetLimit(maxConcurrentAppends)
	items := make([]*pendingChange, 0, len(pending))
	for _, item := range pending {
		items = append(items, item)
	}
	var appending sync.WaitGroup
	appending.Go(func() {
		for _, item := range items {
			appends.Go(func() error { return appendWithRetry(item.ctx, p.Log, item.data, math.MaxInt, nil) })
		}
		_ = appends.Wait() // changes without a verdict are reported as unknown
	})
	p.readVerdicts(ctx, r, pending)
	for _, item := range items {
		item.stop()
	}
	appending.Wait()
}

// initialResult returns the result of a change as known before it is appended.
func initialResult(change resolver.Change, r *resolver.Resolver) Result {
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

// readVerdicts fills in the verdicts that arrive before ctx ends.
func (p *Publisher) readVerdicts(ctx context.Context, r *resolver.Resolver, pending map[string]*pendingChange) {
	var delay backoff
	for len(pending) > 0 && ctx.Err() == nil {
		_, outcomes, err := readAndApply(ctx, p.Log, r, maxReadWait)
		for _, outcome := range outcomes {
			change, ok := pending[outcome.ID]
			if !ok || outcome.Verdict == "" {
				continue
			}
			change.result.Verdict = outcome.Verdict
			if outcome.Err != nil {
				change.result.Reason = outcome.Err.Error()
			}
			change.stop()
			delete(pending, outcome.ID)
		}
		if err != nil && !delay.wait(ctx) {
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

// deletions returns the active scopes that the operator has removed. A scope
// without a base may have been added by another operator and is kept.
func (p *Publisher) deletions(configuration cowslipproxy.Configuration, declared map[string]bool, r *resolver.Resolver) []string {
	known := configuration.Bases
	if known == nil && p.Prune {
		known = r.ActiveConfiguration().Bases
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
