//go:build race

package gossiper_test

// fleetSizes omits the largest fleet: with the race detector, its daemons need several
// times the processors of a test machine.
var fleetSizes = []int{4, 15}
