package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

func placed() cowslipproxy.Configuration {
	c := configuration()
	c.Models[0].Stage = 3
	return c
}

// Guards against a model that nobody holds though spare engines are there, an
// engine's death that leaves a range without its replicas, and two daemons that
// both give orders.
func TestPlacementCoversTheModelAndHeals(t *testing.T) {
	d := newDeployment(t)
	for i := range 5 {
		d.engine(fmt.Sprint("e", i), 0, 0)
	}
	first, second := d.daemon("entry-1"), d.daemon("entry-2")
	d.publishThis(placed())
	holders := func() map[string]int {
		count := map[string]int{}
		for _, engine := range d.engines {
			select {
			case <-engine.Crashed():
			default:
				count[engine.Held().String()]++
			}
		}
		return count
	}
	whole := func() bool {
		count := holders()
		return count["[0,3)"] >= 2 && count["[3,6)"] >= 2
	}
	require.Eventually(t, whole, 40*time.Second, 100*time.Millisecond, "%v", holders())
	d.ready(first, second)
	for _, engine := range d.engines {
		if engine.Held().First == 0 && engine.Held().Len() > 0 {
			engine.SetFaults(emulator.Faults{After: 1})
			break
		}
	}
	_, text := d.complete(first, officerKey, "heal", 20)
	require.Equal(t, expected("heal", 20), text)
	for range 20 { // until the engine got its step
		_, _ = d.complete(second, officerKey, "again", 5)
	}
	require.Equal(t, 1, d.crashed())
	require.Eventually(t, whole, 40*time.Second, 100*time.Millisecond, "%v", holders())
	orders := int64(0)
	for _, engine := range d.engines {
		orders += engine.Account().Orders
	}
	require.Equal(t, int64(5), orders, "four orders to cover the model, and one to heal it")
}
