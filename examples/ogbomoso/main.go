// Command ogbomoso prints the configuration of the Plots Renewals Unit in
// Ogbomoso. Its keys are examples; real declarations read them with
// declarer.Key.
package main

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/declarer"
)

func main() {
	declarer.Declaration{
		Customers: customers(),
		Models: []declarer.Model{{
			Name: "scribe", Version: "2026-11", Layers: 48, Window: 16384, Replicas: 4,
			Adapters: []string{"renewal-letters", "inspection-notes", "tenant-answers"},
		}},
		Services: []declarer.Service{{
			Name: "ledger", Timeout: 5 * time.Second,
			Rules: []cowslipproxy.Rule{
				declarer.RunsOnce("POST", "/fees"),
				declarer.MayRepeat("GET", "/tenancies"),
			},
		}},
	}.Main()
}

// customers returns ten customers: the critical renewals desk, whose requests are worth
// more than all others together, two large customers, and seven small ones.
func customers() []declarer.Customer {
	all := []declarer.Customer{
		{Name: "renewals-desk", Class: declarer.Critical, Rate: 4000},
		{Name: "inspections", Class: declarer.High, Rate: 3000},
		{Name: "tenant-line", Class: declarer.High, Rate: 2500},
	}
	for _, name := range []string{
		"arrears", "archive", "legal", "maintenance", "new-lettings", "surveyors", "training",
	} {
		all = append(all, declarer.Customer{Name: name, Class: declarer.Normal, Rate: 200})
	}
	for i := range all {
		all[i].Keys = []string{"example-key-ogbomoso-" + all[i].Name}
	}
	return all
}
