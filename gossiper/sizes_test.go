//go:build !race

package gossiper_test

var fleetSizes = []int{4, 15, 126}
