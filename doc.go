// Package cowslipproxy holds the domain types of the router and the interfaces
// of the peers that it talks to. Implementations live in the packages below it.
package cowslipproxy
