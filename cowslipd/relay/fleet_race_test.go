//go:build race

package relay_test

// fleetSizes omits the largest fleet: with the race detector, 120 daemons need several
// times the processors of a test machine. `make test` runs it without the detector.
var fleetSizes = []int{10, 40}

// deploymentSizes omits the largest fleet for the same reason.
var deploymentSizes = []int{4, 15}
