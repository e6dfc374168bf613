package cowslipproxy

import "crypto/subtle"

// Indexed returns a copy of c with indexes, so that the cost of a lookup by name
// or key doesn't grow with the number of customers.
func (c ActiveConfiguration) Indexed() ActiveConfiguration {
	c.customers = make(map[string]int, len(c.Customers))
	for i, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.customers[key] = i
		}
	}
	c.models = make(map[string]int, len(c.Models))
	for i, model := range c.Models {
		c.models[model.Name] = i
	}
	c.services = make(map[string]int, len(c.Services))
	for i, service := range c.Services {
		c.services[service.Name] = i
	}
	return c
}

// Customer returns the customer to whom a hashed bearer key belongs. The map is
// keyed by hashes, so the timing of a lookup reveals nothing about a key.
func (c ActiveConfiguration) Customer(hash string) (Customer, bool) {
	i, ok := c.customers[hash]
	if !ok {
		return Customer{}, false
	}
	customer := c.Customers[i]
	for _, key := range customer.Keys {
		if subtle.ConstantTimeCompare([]byte(key), []byte(hash)) == 1 {
			return customer, true
		}
	}
	return Customer{}, false
}

// Model returns the declared model with the given name.
func (c ActiveConfiguration) Model(name string) (Model, bool) {
	i, ok := c.models[name]
	if !ok {
		return Model{}, false
	}
	return c.Models[i], true
}

// Service returns the declared service with the given name.
func (c ActiveConfiguration) Service(name string) (Service, bool) {
	i, ok := c.services[name]
	if !ok {
		return Service{}, false
	}
	return c.Services[i], true
}

// HasAdapter reports whether the model declares an adapter.
func (m Model) HasAdapter(name string) bool {
	for _, adapter := range m.Adapters {
		if adapter == name {
			return true
		}
	}
	return false
}
