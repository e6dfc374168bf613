package refresher_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/picker"
	"github.com/cowslipproxy/cowslipproxy/refresher"
	"github.com/cowslipproxy/cowslipproxy/registrar"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const listed = 60 // servers in the list before the updates

func server(number int) cowslipproxy.Instance {
	return cowslipproxy.Instance{ID: fmt.Sprint("server-", number), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: cowslipproxy.VMLive, StartedAt: start, Heartbeats: 1}
}

// daemon is what one daemon knows of the servers, and those that it may choose.
type daemon struct {
	known   registrar.Registrar
	usable  picker.Picker
	refresh refresher.Refresher[[]cowslipproxy.Instance]
}

// takeSlowly copies the list and returns some time later, as on a busy processor.
func (d *daemon) takeSlowly() []cowslipproxy.Instance {
	instances := d.known.Instances()
	time.Sleep(rand.N(100 * time.Microsecond))
	return instances
}

func (d *daemon) add(numbers ...int) {
	var changes cowslipproxy.Changes[cowslipproxy.Instance]
	for _, number := range numbers {
		changes.Items = append(changes.Items, cowslipproxy.Record[cowslipproxy.Instance]{Key: server(number).ID, Value: server(number)})
	}
	d.known.Apply(start, changes)
	d.refresh.Refresh()
}

// update makes servers leave at once, while other servers are added to the list.
func (d *daemon) update(leaving int) {
	var group sync.WaitGroup
	for number := range leaving {
		group.Go(func() {
			d.known.MarkLeaving(start, server(number).Incarnation())
			d.refresh.Refresh()
		})
		group.Go(func() { d.add(listed + number) })
	}
	group.Wait()
}

// chosen returns the servers that the daemon chooses.
func (d *daemon) chosen() (ids []string) {
	for {
		found, ok := d.usable.Pick(start, ids)
		if !ok {
			return ids
		}
		ids = append(ids, found.ID)
	}
}

// Guards against a leaving server that stays in use, and a new one that is not used, because an older copy of the list is set last.
func TestOlderCopyDoesNotReplaceNewerOne(t *testing.T) {
	var all []int
	for number := range listed {
		all = append(all, number)
	}
	for _, daemons := range []int{4, 15, 126} {
		for _, leaving := range []int{2, 8, 40} {
			t.Run(fmt.Sprintf("%d daemons, %d servers", daemons, leaving), func(t *testing.T) {
				for range daemons {
					d := &daemon{}
					d.usable.Random = rand.New(rand.NewPCG(1, uint64(leaving)))
					d.refresh.Take, d.refresh.Set = d.takeSlowly, d.usable.Set
					d.add(all...)
					d.update(leaving)
					var want []string
					for number := leaving; number < listed+leaving; number++ {
						want = append(want, server(number).ID)
					}
					got := d.chosen()
					slices.Sort(want)
					slices.Sort(got)
					require.Equal(t, want, got)
				}
			})
		}
	}
}

// Guards against a call that returns before its change is set, because it joined an earlier copy.
func TestRefreshCoversItsOwnChange(t *testing.T) {
	var state, set int
	taken, resume := make(chan bool), make(chan bool)
	r := refresher.Refresher[int]{Take: func() int { return state }}
	r.Set = func(latest int) {
		if latest == 1 {
			taken <- true
			<-resume
		}
		set = latest
	}
	state = 1
	var group sync.WaitGroup
	group.Go(r.Refresh)
	<-taken
	state = 2
	group.Go(r.Refresh)
	resume <- true
	group.Wait()
	require.Equal(t, 2, set)
}
