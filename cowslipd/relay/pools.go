package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/picker"
	"github.com/cowslipproxy/cowslipproxy/retrier"
	"github.com/cowslipproxy/cowslipproxy/throttler"
)

// pools holds what is known of each service's upstreams.
type pools struct {
	centre   string
	settings loader.Relay

	mu         sync.Mutex
	daemons    int       // that share the budgets; 0 while not known
	counted    time.Time // when that many were last seen
	pickers    map[string]*picker.Picker
	finders    map[string]*pathfinder.Finder
	budgets    map[string]*retrier.Retrier
	throttlers map[string]*throttler.Throttler
}

func source() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

const (
	// budgetMargin keeps the retries of all daemons below the bound although they
	// don't know of each other's requests.
	budgetMargin = 0.75
	// assumedDaemons share the retry budgets until a daemon knows of others.
	assumedDaemons = 16
	// countedFor is how long a daemon counts after it was last seen. It may go on
	// spending its part unseen, and its window of the budget is as long.
	countedFor = 15 * time.Second
)

// set takes in the services and their instances.
func (p *pools) set(table cowslipproxy.Table, instances []cowslipproxy.Instance) {
	byService := map[string][]cowslipproxy.Instance{}
	for _, instance := range instances {
		byService[instance.Service] = append(byService[instance.Service], instance)
	}
	for _, service := range table.Services {
		p.Picker(service.Name).Set(byService[service.Name])
		if service.IsSplit() {
			p.Finder(service.Name).Set(*service.Engine, byService[service.Name])
		}
	}
}

// held returns what this daemon's requests take of engines.
func (p *pools) held() map[string]float64 {
	all := map[string]float64{}
	for _, finder := range p.all() {
		maps.Copy(all, finder.Held())
	}
	return all
}

// setOthers takes in what other daemons' requests take of engines.
func (p *pools) setOthers(loads map[string]float64) {
	for _, finder := range p.all() {
		finder.SetOthers(loads)
	}
}

func (p *pools) all() []*pathfinder.Finder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.finders))
}

// Picker implements relayer.Upstreams.
func (p *pools) Picker(service string) *picker.Picker {
	return entryOf(p, &p.pickers, service, func() *picker.Picker {
		return &picker.Picker{Centre: p.centre, Random: source()}
	})
}

// Finder implements relayer.Upstreams.
func (p *pools) Finder(service string) *pathfinder.Finder {
	return entryOf(p, &p.finders, service, func() *pathfinder.Finder {
		return &pathfinder.Finder{Centre: p.centre, Random: source()}
	})
}

// Throttler implements relayer.Upstreams.
func (p *pools) Throttler(service string) *throttler.Throttler {
	return entryOf(p, &p.throttlers, service, func() *throttler.Throttler { return &throttler.Throttler{} })
}

// Budget implements relayer.Upstreams. Each daemon may spend its part of the
// retries that are allowed to all.
func (p *pools) Budget(service string) *retrier.Retrier {
	return entryOf(p, &p.budgets, service, func() *retrier.Retrier {
		window := time.Duration(p.settings.Window)
		return &retrier.Retrier{
			Share:   budgetMargin * p.settings.Retries,
			Minimum: p.minimum(),
			Window:  window,
			Tries:   8, // the relay bounds the tries of a request itself
			Seed:    rand.Uint64(),
		}
	})
}

func entryOf[T any](p *pools, entries *map[string]T, name string, create func() T) T {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *entries == nil {
		*entries = map[string]T{}
	}
	found, ok := (*entries)[name]
	if !ok {
		found = create()
		(*entries)[name] = found
	}
	return found
}

// minimum returns the retries per second that are this daemon's at any load.
func (p *pools) minimum() float64 {
	daemons := p.daemons
	if daemons == 0 {
		daemons = assumedDaemons
	}
	return budgetMargin * float64(p.settings.Floor) / time.Duration(p.settings.Window).Seconds() / float64(daemons)
}

// resize takes in changed settings.
func (p *pools) resize(settings loader.Relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings, p.budgets = settings, nil
}

// setDaemons takes in how many daemons share the retry budgets. A smaller number
// counts only after some time.
func (p *pools) setDaemons(now time.Time, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counted.IsZero() {
		p.counted = now
	}
	if count >= p.daemons && p.daemons > 0 {
		p.counted = now
	}
	if count < max(p.daemons, assumedDaemons) && now.Sub(p.counted) < countedFor || count == p.daemons {
		return
	}
	p.daemons, p.counted = count, now
	for _, budget := range p.budgets {
		budget.SetMinimum(now, p.minimum())
	}
}
