//go:build !race

package relay_test

var fleetSizes = []int{10, 40, 120}

var deploymentSizes = []int{4, 15, 126}
