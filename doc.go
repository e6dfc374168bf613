// Package cowslipproxy defines the domain types of the router and the interfaces
// of the systems that it talks to. The subpackages implement them.
package cowslipproxy
