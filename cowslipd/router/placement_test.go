package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

func placementConfiguration() cowslipproxy.Configuration {
	c := configuration()
	c.Models[0].Stage = 3
	return c
}

// Guards against a model without engines although spare engines are available, a range
// that stays short of replicas after an engine crashes, and two daemons that both
// send placement orders.
func TestPlacementCoversModelAndRecovers(t *testing.T) {
	d := newDeployment(t)
	for i := range 5 {
		d.startEngine(fmt.Sprint("e", i), 0, 0)
	}
	first, second := d.startDaemon("entry-1"), d.startDaemon("entry-2")
	d.publishConfiguration(placementConfiguration())
	replicas := func() map[string]int {
		count := map[string]int{}
		for _, engine := range d.engines {
			select {
			case <-engine.Crashed():
			default:
				count[engine.HeldRange().String()]++
			}
		}
		return count
	}
	covered := func() bool {
		count := replicas()
		return count["[0,3)"] >= 2 && count["[3,6)"] >= 2
	}
	require.Eventually(t, covered, 40*time.Second, 100*time.Millisecond, "%v", replicas())
	d.awaitReady(first, second)
	for _, engine := range d.engines {
		if engine.HeldRange().First == 0 && engine.HeldRange().Len() > 0 {
			engine.SetFaults(emulator.Faults{CrashAtStep: 1})
			break
		}
	}
	_, text := d.complete(first, officerKey, "heal", 20)
	require.Equal(t, expectedText("heal", 20), text)
	for range 20 { // until the engine has run its step and crashed
		_, _ = d.complete(second, officerKey, "again", 5)
	}
	require.Equal(t, 1, d.crashCount())
	require.Eventually(t, covered, 40*time.Second, 100*time.Millisecond, "%v", replicas())
	orders := int64(0)
	for _, engine := range d.engines {
		orders += engine.Stats().AppliedOrders
	}
	require.Equal(t, int64(5), orders, "four orders to cover the model and one to replace the crashed engine")
}
