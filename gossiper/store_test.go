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

// storeModel has three stores that exchange items, and their expected content.
type storeModel struct {
	*rapid.T
	stores [3]*gossiper.Store
	acked  [3][3]uint64                 // by sender and receiver: position in the sender's journal that the receiver acknowledged
	want   map[string]map[string]uint64 // version by owner and key, without withdrawn items
}

func (t *storeModel) put(i int) {
	key := strconv.Itoa(rapid.IntRange(0, 3).Draw(t.T, "key"))
	item := gossiper.Item{Owner: owner(i), Reach: gossiper.ReachAll, Kind: gossiper.KindDemand, Key: key,
		Withdrawn: rapid.Bool().Draw(t.T, "gone"), Data: make([]byte, rapid.IntRange(0, 8<<10).Draw(t.T, "size"))}
	put, err := t.stores[i].Put(item, start)
	require.NoError(t, err)
	t.want[item.Owner.Name][key] = put.Version
	if put.Withdrawn {
		delete(t.want[item.Owner.Name], key)
	}
}

func (t *storeModel) send(i, k int) {
	items, position := t.stores[i].Since(t.acked[i][k], owner(k).Name, true)
	if !rapid.Bool().Draw(t.T, "arrives") {
		return
	}
	t.stores[k].Apply(items, owner(i).Name, start)
	if rapid.Bool().Draw(t.T, "acknowledged") {
		t.acked[i][k] = position
	}
}

func (t *storeModel) compare() {
	for i, from := range t.stores {
		for _, to := range t.stores {
			to.Apply(from.Newer(allSlots, to.Vector(allSlots, true), true), owner(i).Name, start)
		}
	}
}

func (t *storeModel) check(store *gossiper.Store) {
	require.Equal(t, t.stores[0].Hash(gossiper.ReachAll), store.Hash(gossiper.ReachAll))
	require.Equal(t, t.stores[0].Slots(true), store.Slots(true))
	got := map[string]map[string]uint64{owner(0).Name: {}, owner(1).Name: {}, owner(2).Name: {}}
	for _, item := range store.Items(gossiper.KindDemand) {
		got[item.Owner.Name][item.Key] = item.Version
	}
	require.Equal(t, t.want, got)
}

// Guards against items that are lost, that reappear after they were withdrawn,
// or that differ between daemons once each has compared with the others, when
// journal messages are lost, repeated or truncated.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		t := &storeModel{T: r, want: map[string]map[string]uint64{}}
		for i := range t.stores {
			t.stores[i] = gossiper.NewStore()
			t.want[owner(i).Name] = map[string]uint64{}
		}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			i, k := rapid.IntRange(0, 2).Draw(r, "from"), rapid.IntRange(0, 2).Draw(r, "to")
			if i == k {
				t.put(i)
			} else {
				t.send(i, k)
			}
		}
		for range 20 { // messages are truncated at 64 KiB
			t.compare()
		}
		for _, store := range t.stores {
			t.check(store)
		}
	})
}

// Guards against items of an earlier incarnation that reappear after a restart,
// and against forgotten daemons that peers restore.
func TestStoreRejectsEarlierIncarnations(t *testing.T) {
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

// Guards against false down reports after this process was paused, and against
// daemons that are never reported as down or never as up again.
func TestDetectorReportsFailureOnce(t *testing.T) {
	d := gossiper.Detector{Timeout: 3 * time.Second}
	watched := []cowslipproxy.Owner{owner(1), owner(2)}
	now := start
	tick := func(heartbeats ...int) []cowslipproxy.Owner {
		now = now.Add(time.Second)
		for _, i := range heartbeats {
			d.RecordHeartbeat(owner(i), now)
		}
		d.Watch(watched, now)
		return d.Tick(now)
	}
	for range 3 {
		require.Empty(t, tick(1, 2))
	}
	now = now.Add(time.Minute)
	require.Empty(t, tick(), "a pause of the process must not count as missing heartbeats")
	require.Empty(t, tick(1))
	require.Empty(t, tick(1))
	require.Equal(t, []cowslipproxy.Owner{owner(2)}, tick(1))
	require.Empty(t, tick(1), "must be reported only once")
	require.True(t, d.RecordHeartbeat(owner(2), now))
	down, watching := d.IsDown(owner(2))
	require.True(t, watching)
	require.False(t, down)
}

// Guards against items that don't reach every daemon, or need more rounds than
// logarithmic in the fleet size, also after a tenth of the fleet failed.
func TestNeighboursReachAllDaemons(t *testing.T) {
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

// BenchmarkNeighbours measures the selection of neighbours in a round, in a
// fleet of the size that is expected within two years.
func BenchmarkNeighbours(b *testing.B) {
	var fleet []gossiper.Contact
	for i := range 1900 {
		fleet = append(fleet, gossiper.Contact{Owner: owner(i), Centre: strconv.Itoa(i % 13)})
	}
	for b.Loop() {
		gossiper.Neighbours(fleet[7], fleet)
	}
}
