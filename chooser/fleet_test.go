package chooser_test

import (
	"flag"
	"fmt"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
)

const layers = 80

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	allLayers = cowslipproxy.LayerRange{First: 0, End: layers}
	kinds     = []string{"k0", "k1", "k2", "k3"}
	paces     = []time.Duration{100 * time.Microsecond, 200 * time.Microsecond, 400 * time.Microsecond, 800 * time.Microsecond}
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// engine is an upstream of a simulated fleet with its load report.
type engine struct {
	chooser.Upstream
	cowslipproxy.Report
}

// fleet returns engines that hold the model. Each entry of parts belongs to one
// accelerator kind and is the number of equal layer ranges that it uses.
func fleet(size int, parts ...int) []engine {
	var engines []engine
	for next := 0; len(engines) < size; next++ {
		for kind, count := range parts {
			first, each := next%count, layers/count
			name := fmt.Sprintf("vm-%04d", len(engines))
			engines = append(engines, engine{
				chooser.Upstream{Name: name, VM: name, Centre: fmt.Sprintf("centre-%d", len(engines)%3)},
				cowslipproxy.Report{
					Model: "scribe", Version: "1", Kind: kinds[kind%len(kinds)], Role: cowslipproxy.RoleServe, Pace: paces[kind%len(paces)], FreeTokens: 1 << 20,
					Range: cowslipproxy.LayerRange{First: first * each, End: (first + 1) * each},
				},
			})
		}
	}
	return engines[:size]
}

func addEngines(c *chooser.Chooser, engines []engine) {
	for _, e := range engines {
		c.Add(start, e.Upstream)
		c.Report(start, e.Name, e.Report)
	}
}

func newRequirements() cowslipproxy.Requirements {
	return cowslipproxy.Requirements{Model: "scribe", Version: "1", Range: allLayers, Tokens: 400}
}
