package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func members(count int, centre string) (all []cowslipproxy.Member) {
	for i := range count {
		all = append(all, cowslipproxy.Member{Owner: cowslipproxy.Owner{Name: fmt.Sprintf("%s-%d", centre, i), Incarnation: 1}, Hello: cowslipproxy.Hello{Centre: centre}})
	}
	return all
}

// Guards against electing a reader that is stopping or in another data centre.
func TestStoppingReaderIsReplaced(t *testing.T) {
	all := append(members(4, "a"), members(3, "b")...)
	first, ok := sharer.NewTree(all, "a").Reader()
	require.True(t, ok)
	require.Equal(t, "a", first.Centre)
	for i := range all {
		if all[i].Owner == first.Owner {
			all[i].Stopping = true
		}
	}
	second, ok := sharer.NewTree(all, "a").Reader()
	require.True(t, ok)
	require.NotEqual(t, first.Owner, second.Owner)
	_, ok = sharer.NewTree(all, "c").Reader()
	require.False(t, ok)
}

// Guards against loads that are counted twice, that are returned to the daemon
// that reported them, or that outlive their daemon.
func TestLoadReportsAreSummed(t *testing.T) {
	var loads sharer.Loads
	loads.Put(start, "one", map[string]float64{"e": 1})
	loads.Put(start, "two", map[string]float64{"e": 2, "f": 5})
	loads.Put(start, "one", map[string]float64{"e": 4})
	require.Equal(t, map[string]float64{"e": 6, "f": 5}, loads.Sum(start))
	require.Equal(t, map[string]float64{"e": 4}, loads.Sum(start, "two"))
	require.Empty(t, loads.Sum(start.Add(time.Minute)))
}
