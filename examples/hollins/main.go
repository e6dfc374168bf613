// Command hollins prints the configuration of Hollins & Daughters Seaweed Crisps.
// Its keys are examples; real declarations read them with declarer.Key.
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
			Name: "crisp-assistant", Version: "7", Layers: 40, Window: 8192, Replicas: 5,
			Adapters: []string{"flavour-notes", "allergen-letters", "quotes"},
		}},
		Services: []declarer.Service{{
			Name: "dispatch-desk", Timeout: 3 * time.Second, Urgent: true,
			Rules: []cowslipproxy.Rule{
				declarer.RunsOnce("POST", "/confirmations"),
				declarer.MayRepeat("GET", "/stock"),
			},
		}},
	}.Main()
}

// customers returns ten customers: the critical haulage desk, whose requests are worth
// more than all others together, two large customers, and seven small ones.
func customers() []declarer.Customer {
	all := []declarer.Customer{
		{Name: "haulage-desk", Class: declarer.Critical, Rate: 3000},
		{Name: "wholesale-quotes", Class: declarer.High, Rate: 6000},
		{Name: "shop-chat", Class: declarer.Normal, Rate: 5000},
	}
	for _, name := range []string{
		"allergens", "complaints", "export", "flavour-lab", "press", "recruiting", "tasting-panel",
	} {
		all = append(all, declarer.Customer{Name: name, Class: declarer.Normal, Rate: 300})
	}
	for i := range all {
		all[i].Keys = []string{"example-key-hollins-" + all[i].Name}
	}
	return all
}
