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
)

// pools holds what is known of each service's upstreams.
type pools struct {
	centre   string
	settings loader.Relay

	mu      sync.Mutex
	daemons int
	pickers map[string]*picker.Picker
	finders map[string]*pathfinder.Finder
	budgets map[string]*retrier.Retrier
}

func source() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// budgetMargin keeps the retries of all daemons below the bound although they
// don't know of each other's requests.
const budgetMargin = 0.8

// set takes in the services and their instances.
func (p *pools) set(table cowslipproxy.Table, instances []cowslipproxy.Instance) {
	byService := map[string][]cowslipproxy.Instance{}
	for _, instance := range instances {
		byService[instance.Service] = append(byService[instance.Service], instance)
	}
	for _, service := range table.Services {
		p.Picker(service.Name).Set(byService[service.Name])
		if service.Engine != nil && service.Engine.Layers > 0 {
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

// Budget implements relayer.Upstreams. Each daemon may spend its part of the
// retries that are allowed to all.
func (p *pools) Budget(service string) *retrier.Retrier {
	return entryOf(p, &p.budgets, service, func() *retrier.Retrier {
		window := time.Duration(p.settings.Window)
		return &retrier.Retrier{
			Share:   budgetMargin * p.settings.Retries,
			Minimum: budgetMargin * float64(p.settings.Floor) / window.Seconds() / float64(max(p.daemons, 1)),
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

// resize takes in changed settings.
func (p *pools) resize(settings loader.Relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings, p.budgets = settings, nil
}

// setDaemons takes in how many daemons share the retry budgets.
func (p *pools) setDaemons(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count == p.daemons {
		return
	}
	p.daemons = count
	p.budgets = nil
}
