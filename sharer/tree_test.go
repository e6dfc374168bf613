package sharer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

// Guards against daemons that no share reaches, and against traffic that grows with them.
func TestTreeReachesAllDaemonsWithBoundedFanOut(t *testing.T) {
	for _, count := range []int{1, 2, 9, 42, 160, 640} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			all := append(members(count, "a"), members(3, "b")...)
			all[count/2].Starting = count > 1
			all[count/3].LinkMbps = 200
			tree := sharer.NewTree(all, "a")
			root, ok := tree.Reader()
			require.True(t, ok)
			depths := map[string]int{root.Name: 0}
			for queue := []cowslipproxy.Member{root}; len(queue) > 0; queue = queue[1:] {
				children := tree.Children(queue[0].Name)
				require.LessOrEqual(t, len(children), 24)
				for _, child := range children {
					require.NotContains(t, depths, child.Name)
					depths[child.Name] = depths[queue[0].Name] + 1
					require.LessOrEqual(t, depths[child.Name], 4)
					parent, ok := tree.Parent(child.Name)
					require.True(t, ok)
					require.Equal(t, queue[0], parent)
				}
				queue = append(queue, children...)
			}
			require.Len(t, depths, count)
		})
	}
}

// Guards against a reader with a slow link while a faster one is available.
func TestReaderHasFastestLink(t *testing.T) {
	all := members(40, "a")
	for i := range all {
		all[i].LinkMbps = 14
	}
	all[7].LinkMbps, all[8].LinkMbps = 200, 700
	all[8].Stopping = true
	reader, ok := sharer.NewTree(all, "a").Reader()
	require.True(t, ok)
	require.Equal(t, all[7], reader)
}

// Guards against a daemon that comes or goes and changes the parents of most others.
func TestTreeKeepsMostParentsWhenADaemonLeaves(t *testing.T) {
	all := members(160, "a")
	before := sharer.NewTree(all, "a")
	for gone := range all {
		after := sharer.NewTree(append(append([]cowslipproxy.Member{}, all[:gone]...), all[gone+1:]...), "a")
		if reader, _ := before.Reader(); reader.Owner == all[gone].Owner {
			continue // its children get another parent
		}
		changed := 0
		for _, member := range all {
			old, _ := before.Parent(member.Name)
			if current, ok := after.Parent(member.Name); ok && current.Owner != old.Owner {
				changed++
			}
		}
		require.LessOrEqual(t, changed, 50, all[gone].Name)
	}
}
