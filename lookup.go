package cowslipproxy

import "crypto/subtle"

// Indexed returns a copy of s with indexes, so that the cost of a lookup by name
// or key doesn't grow with the number of customers.
func (s ActiveConfiguration) Indexed() ActiveConfiguration {
	s.customers = make(map[string]int, len(s.Customers))
	for i, customer := range s.Customers {
		for _, key := range customer.Keys {
			s.customers[key] = i
		}
	}
	s.models = make(map[string]int, len(s.Models))
	for i, model := range s.Models {
		s.models[model.Name] = i
	}
	s.services = make(map[string]int, len(s.Services))
	for i, service := range s.Services {
		s.services[service.Name] = i
	}
	return s
}

// Customer returns the customer to whom a hashed bearer key belongs. The map is
// keyed by hashes, so the timing of a lookup reveals nothing about a key.
func (s ActiveConfiguration) Customer(hash string) (Customer, bool) {
	i, ok := s.customers[hash]
	if !ok {
		return Customer{}, false
	}
	customer := s.Customers[i]
	for _, key := range customer.Keys {
		if subtle.ConstantTimeCompare([]byte(key), []byte(hash)) == 1 {
			return customer, true
		}
	}
	return Customer{}, false
}

// Model returns the declared model of a name.
func (s ActiveConfiguration) Model(name string) (Model, bool) {
	i, ok := s.models[name]
	if !ok {
		return Model{}, false
	}
	return s.Models[i], true
}

// Service returns the declared service of a name.
func (s ActiveConfiguration) Service(name string) (Service, bool) {
	i, ok := s.services[name]
	if !ok {
		return Service{}, false
	}
	return s.Services[i], true
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
