package gossiper_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var allSlots = func() []int {
	all := make([]int, 64)
	for i := range all {
		all[i] = i
	}
	return all
}()

func owner(i int) cowslipproxy.Owner {
	return cowslipproxy.Owner{Name: "entry-" + strconv.Itoa(i), Incarnation: 1}
}

// trial is three stores that exchange items, and what they shall hold.
type trial struct {
	*rapid.T
	stores [3]*gossiper.Store
	acked  [3][3]uint64                 // position in the first's journal that the second has
	want   map[string]map[string]uint64 // versions by owner and key; withdrawn items are absent
}

func (t *trial) put(i int) {
	key := strconv.Itoa(rapid.IntRange(0, 3).Draw(t.T, "key"))
	item := gossiper.Item{Owner: owner(i), Reach: gossiper.ReachAll, Kind: gossiper.KindDemand, Key: key,
		Gone: rapid.Bool().Draw(t.T, "gone"), Data: make([]byte, rapid.IntRange(0, 8<<10).Draw(t.T, "size"))}
	put, err := t.stores[i].Put(item, start)
	require.NoError(t, err)
	t.want[item.Owner.Name][key] = put.Version
	if put.Gone {
		delete(t.want[item.Owner.Name], key)
	}
}

func (t *trial) pass(i, k int) {
	items, position := t.stores[i].Since(t.acked[i][k], owner(k).Name, true)
	if !rapid.Bool().Draw(t.T, "arrives") {
		return
	}
	t.stores[k].Apply(items, owner(i).Name, start)
	if rapid.Bool().Draw(t.T, "acknowledged") {
		t.acked[i][k] = position
	}
}

func (t *trial) compare() {
	for i, from := range t.stores {
		for _, to := range t.stores {
			to.Apply(from.Newer(allSlots, to.Vector(allSlots, true), true), owner(i).Name, start)
		}
	}
}

func (t *trial) check(store *gossiper.Store) {
	require.Equal(t, t.stores[0].Hash(gossiper.ReachAll), store.Hash(gossiper.ReachAll))
	require.Equal(t, t.stores[0].Slots(true), store.Slots(true))
	got := map[string]map[string]uint64{owner(0).Name: {}, owner(1).Name: {}, owner(2).Name: {}}
	for _, item := range store.Items(gossiper.KindDemand) {
		got[item.Owner.Name][item.Key] = item.Version
	}
	require.Equal(t, t.want, got)
}

// Guards against items that are lost, restored after they were withdrawn, or
// that differ between daemons once each has talked to the others, when messages
// of the journal are lost, repeated and cut.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		t := &trial{T: r, want: map[string]map[string]uint64{}}
		for i := range t.stores {
			t.stores[i] = gossiper.NewStore()
			t.want[owner(i).Name] = map[string]uint64{}
		}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			i, k := rapid.IntRange(0, 2).Draw(r, "from"), rapid.IntRange(0, 2).Draw(r, "to")
			if i == k {
				t.put(i)
			} else {
				t.pass(i, k)
			}
		}
		for range 20 { // messages are cut at 64 KiB
			t.compare()
		}
		for _, store := range t.stores {
			t.check(store)
		}
	})
}

// Guards against items of an earlier run that come back after a restart, and
// against forgotten daemons that return from peers that still know them.
func TestStoreDropsEarlierRuns(t *testing.T) {
	store := gossiper.NewStore()
	empty := store.Slots(true)
	item := gossiper.Item{Owner: owner(1), Reach: gossiper.ReachAll, Kind: gossiper.KindDemand, Version: 5}
	require.Len(t, store.Apply([]gossiper.Item{item}, "x", start), 1)
	later := item
	later.Owner.Incarnation, later.Version = 2, 1
	require.Len(t, store.Apply([]gossiper.Item{later, item}, "x", start), 1)
	require.Equal(t, []gossiper.Item{later}, store.Items(gossiper.KindDemand))
	store.Forget(later.Owner, start)
	require.Empty(t, store.Apply([]gossiper.Item{later}, "x", start))
	require.Equal(t, empty, store.Slots(true))
}

// Guards against false alarms after this process was paused, and against
// daemons that are never reported missing or never return.
func TestDetector(t *testing.T) {
	d := gossiper.Detector{Timeout: 3 * time.Second}
	watched := []cowslipproxy.Owner{owner(1), owner(2)}
	now := start
	tick := func(hear ...int) []cowslipproxy.Owner {
		now = now.Add(time.Second)
		for _, i := range hear {
			d.Heard(owner(i), now)
		}
		d.Watch(watched, now)
		return d.Tick(now)
	}
	for range 3 {
		require.Empty(t, tick(1, 2))
	}
	now = now.Add(time.Minute)
	require.Empty(t, tick(), "paused")
	require.Empty(t, tick(1))
	require.Empty(t, tick(1))
	require.Equal(t, []cowslipproxy.Owner{owner(2)}, tick(1))
	require.Empty(t, tick(1), "reported once")
	require.True(t, d.Heard(owner(2), now))
	missing, known := d.Missing(owner(2))
	require.True(t, known)
	require.False(t, missing)
}

// Guards against news that can't reach every daemon, or takes more rounds than
// the logarithm of the fleet's size, also after a tenth of the fleet failed.
func TestNeighboursReachAll(t *testing.T) {
	for _, n := range []int{2, 15, 1900} {
		var fleet []gossiper.Contact
		for i := range n {
			fleet = append(fleet, gossiper.Contact{Owner: owner(i), Centre: strconv.Itoa(i % 13)})
		}
		for _, alive := range [][]gossiper.Contact{fleet, fleet[n/10:]} {
			rounds := roundsToReach(t, alive)
			t.Logf("%d daemons: %d rounds", len(alive), rounds)
			require.LessOrEqual(t, rounds, 14)
		}
	}
}

func roundsToReach(t *testing.T, fleet []gossiper.Contact) int {
	next := map[string][]string{}
	for _, self := range fleet {
		for _, neighbour := range gossiper.Neighbours(self, fleet) {
			require.NotEqual(t, self.Owner, neighbour.Owner)
			next[self.Owner.Name] = append(next[self.Owner.Name], neighbour.Owner.Name)
		}
		require.Len(t, next[self.Owner.Name], min(3, len(fleet)-1))
	}
	reached := map[string]bool{fleet[0].Owner.Name: true}
	frontier := []string{fleet[0].Owner.Name}
	for rounds := 0; ; rounds++ {
		var following []string
		for _, name := range frontier {
			for _, to := range next[name] {
				if !reached[to] {
					reached[to] = true
					following = append(following, to)
				}
			}
		}
		if len(following) == 0 {
			require.Len(t, reached, len(fleet))
			return rounds
		}
		frontier = following
	}
}

// BenchmarkNeighbours measures the choice that each round makes, in a fleet of
// the size that is expected within two years.
func BenchmarkNeighbours(b *testing.B) {
	var fleet []gossiper.Contact
	for i := range 1900 {
		fleet = append(fleet, gossiper.Contact{Owner: owner(i), Centre: strconv.Itoa(i % 13)})
	}
	for b.Loop() {
		gossiper.Neighbours(fleet[7], fleet)
	}
}
