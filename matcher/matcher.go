// Package matcher resolves the route, service and customer of a request from a
// configuration.
package matcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cowslipproxy/cowslipproxy"
)

// Matcher is an indexed configuration. It is immutable after New.
type Matcher struct {
	RelayConfiguration cowslipproxy.RelayConfiguration

	hosts     map[string][]cowslipproxy.Route       // routes of each host, by descending prefix length
	customers map[string]cowslipproxy.RelayCustomer // by API key
	services  map[string]cowslipproxy.RelayService
}

// New indexes a configuration.
func New(configuration cowslipproxy.RelayConfiguration) *Matcher {
	m := &Matcher{
		RelayConfiguration: configuration,
		hosts:              map[string][]cowslipproxy.Route{},
		customers:          map[string]cowslipproxy.RelayCustomer{},
		services:           map[string]cowslipproxy.RelayService{},
	}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		m.hosts[host] = append(m.hosts[host], route)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b cowslipproxy.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, customer := range configuration.Customers {
		for _, key := range customer.Keys {
			if key != "" { // the key of requests without one
				m.customers[key] = customer
			}
		}
	}
	for _, service := range configuration.Services {
		m.services[service.Name] = service
	}
	return m
}

// Route returns the route of the host with the longest prefix that matches the
// path.
func (m *Matcher) Route(host, path string) (cowslipproxy.Route, bool) {
	for _, route := range m.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return cowslipproxy.Route{}, false
}

// Customer returns the customer that owns an API key. It reports false if the
// route requires a key and no customer owns this one. No key is required if the
// configuration has no list of customers. An empty list has no valid key.
func (m *Matcher) Customer(route cowslipproxy.Route, key string) (cowslipproxy.RelayCustomer, bool) {
	if m.RelayConfiguration.Customers == nil {
		return cowslipproxy.RelayCustomer{}, true
	}
	customer, ok := m.customers[key]
	return customer, ok || route.Public
}

// Priority returns the priority of a customer's requests on a route. The
// customer's own setting takes precedence.
func (m *Matcher) Priority(route cowslipproxy.Route, customer cowslipproxy.RelayCustomer) int {
	if customer.Priority != nil {
		return *customer.Priority
	}
	return route.Priority
}

// Service selects the service for a request on a route, in proportion to the
// weights. The draw is a random number in [0,1).
func (m *Matcher) Service(route cowslipproxy.Route, draw float64) cowslipproxy.RelayService {
	var total float64
	for _, share := range route.Shares {
		total += share.Weight
	}
	draw *= total
	for _, share := range route.Shares {
		if draw -= share.Weight; draw < 0 {
			return m.services[share.Service]
		}
	}
	return m.services[route.Shares[0].Service]
}

// SplitServices returns the services that split a model's layers across engines.
func (m *Matcher) SplitServices() []cowslipproxy.RelayService {
	var found []cowslipproxy.RelayService
	for _, service := range m.RelayConfiguration.Services {
		if service.IsSplit() {
			found = append(found, service)
		}
	}
	return found
}
